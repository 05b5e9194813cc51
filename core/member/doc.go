// Package member decides which hosts of the fleet are alive, which leave, and
// which upstreams leave. It follows SWIM with the Lifeguard additions, over a
// fixed overlay: a daemon probes at most Config.Rings neighbours, whatever the
// size of the fleet, so sessions and bytes a second stay bounded.
//
// A Machine is deterministic. It does no I/O, reads no clock, starts no
// goroutine and draws randomness only from the source that it is given. The
// caller passes events to Machine.Step with the present time and carries out
// the returned actions in order; messages are those of wire/member.proto. One
// goroutine at a time may call a Machine; the slices and messages that it
// returns belong to the caller and are never changed afterwards.
//
// Other parts put a few bytes on the heartbeats by registering an Extension:
// direct values reach the neighbours only, fleet values reach every host.
package member
