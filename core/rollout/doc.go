// Package rollout decides which bundle (signed configuration document) is active
// at a daemon: the highest validly signed version available from the
// configuration service or from another daemon. The version never decreases.
//
// There is no designated reader. Each daemon polls the service at random
// intervals whose mean grows with the number of live hosts, so that the whole
// fleet, or each partition of it, makes a constant number of reads per second. A
// daemon that finds a new version announces it with a mark (version, digest and
// service revision) in its heartbeats. The others fetch the manifest and the
// parts they lack from a daemon that announced it.
//
// A Machine is deterministic: it does no I/O, reads no clock, starts no goroutine
// and takes randomness only from the source it is given. The caller passes events
// to Machine.Step with the current time and carries out the returned actions in
// order. Only one goroutine may call a Machine at a time; an ActiveBundle is immutable
// and may be shared.
package rollout
