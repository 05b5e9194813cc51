// Package member tracks which hosts of the fleet are alive, which hosts are
// draining, and which upstreams are leaving. It implements SWIM failure
// detection with the Lifeguard extensions over a fixed overlay: a daemon probes
// at most Config.Rings neighbours regardless of the size of the fleet, which
// bounds the number of sessions and the bytes sent per second.
//
// Pings and acks are called heartbeats. They carry gossip items (host records,
// leaving marks of upstreams and fleet-wide slots) and the sender's direct
// slots.
//
// A Machine is deterministic. It does no I/O, reads no clock, starts no
// goroutine and takes randomness only from the source it is given. The caller
// passes events to Machine.Step with the current time and carries out the
// returned actions in order; messages are those of wire/member.proto. Only one
// goroutine may call a Machine at a time; the slices and messages that it
// returns belong to the caller and are not modified afterwards.
//
// Other packages attach a few bytes to the heartbeats by registering a
// SlotConfig, which defines a slot: the values of direct slots reach only the
// neighbours, the values of fleet-wide slots reach every host.
package member
