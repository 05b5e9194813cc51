// Package soak runs real gateway daemons as processes on this machine, injects
// faults from outside them by a seeded schedule, and checks their promises from
// what callers and replicas see.
//
// The faults: processes are stopped, paused, killed and restarted by signals and
// told to reload; a relay on the loopback interface delays, cuts, resets and
// silences their connections to the store and to each other, also one way, and
// those that are open for good;
// the store fails and is slow; replicas break off, refuse, hang, drain and are
// replaced; keys are taken away; requests crash the replicas that run them; hosts
// sleep, of which the daemon is told by a signal. Series overlap.
//
// The promises: a request that may not be repeated runs at most once; a success
// is whole, signed and the caller's own; an answer that promises that nothing
// has run is true, also later; results of stages go to their own request; a
// draining replica gets no new work after the bound; a daemon does not go back
// to an older configuration; repeats stay within the budget; a graceful stop
// breaks no request off; a request that has crashed three replicas reaches few more.
//
// A Run ends only processes that it started, by their ids.
package soak
