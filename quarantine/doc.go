// Package quarantine stops requests that crash replicas from reaching further
// replicas, across all daemons of a fleet. The rules by which a request is
// quarantined are in core/poison; this package detects replica crashes, collects the
// reports about them on a few hosts and propagates the verdicts.
//
// # How the fleet decides
//
// When attempts at a replica are interrupted, the daemon checks whether the replica's port
// still listens. If it does not, the replica has crashed, and the daemon reports which
// of its requests were running there to two coordinators, the first hosts in rank
// order. It resends a report until both have acknowledged it, and also sends it to a
// host that becomes a coordinator later. A daemon that reaches neither coordinator
// evaluates its own reports.
//
// Verdicts propagate by gossip: each host that receives a new verdict sends it to its
// neighbours in the membership overlay, at most eight. This costs each host about 8
// messages of about 60 bytes, and a verdict reaches 3,000 hosts in four hops.
// Heartbeats carry a digest of the verdicts, and neighbours whose digests differ
// exchange all verdicts. A host that starts later, was disconnected or was suspended
// therefore has all verdicts one heartbeat after it is back. Without verdicts this
// costs nothing.
//
// Nothing is persisted and no host has a fixed role: the collected reports are lost if
// both coordinators fail, a verdict only if the whole fleet fails.
package quarantine
