// Package rollout decides which bundle is in force at a daemon: the highest
// validly signed version that the daemon can get hold of, from the
// configuration service or from a fellow daemon, and never a lower one.
//
// There is no designated reader. Each daemon polls the service at random times
// whose mean grows with the number of living hosts, so that the whole fleet
// (or each part of it that is cut off) makes a fixed number of reads a second.
// One that finds a new version puts its mark on its heartbeats; the others
// fetch the manifest and the parts that they lack from whom they heard it.
//
// A Machine is deterministic: no I/O, no clock, no goroutine, randomness only
// from the source given. The caller passes events to Machine.Step with the
// present time and carries out the returned actions in order. One goroutine at
// a time may call a Machine; an InForce is immutable and may be shared.
package rollout
