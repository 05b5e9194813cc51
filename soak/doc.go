// Package soak runs real gateway daemons as processes on this machine, injects
// faults into them from outside on a seeded schedule, and checks the daemons'
// guarantees against what callers and replicas observe.
//
// The faults, which may overlap:
//   - Daemons are stopped, suspended, killed and restarted by signals, and told to
//     reload their settings.
//   - Relays on the loopback interface delay, reset or blackhole the daemons'
//     connections to the store and to each other, in one or both directions, or
//     make the connections that are open at one moment a permanent blackhole.
//   - The store fails or is slow.
//   - Replicas abort answers, refuse, hang, drain and are replaced.
//   - API keys are revoked.
//   - Requests crash the replicas that run them.
//   - Hosts are suspended; a signal simulates this to the daemon.
//
// The guarantees:
//   - A request that may not be repeated runs at most once.
//   - A successful answer is complete, signed and belongs to the caller's request.
//   - If an answer says that the request has not run, it has not run and does not
//     run later.
//   - The results of stages go to the request that they belong to.
//   - A draining replica gets no new work after the drain bound.
//   - A daemon does not revert to an older configuration.
//   - Retries stay within the retry budget.
//   - A graceful shutdown aborts no request.
//   - A request that has crashed three replicas is sent to only a few more.
//
// A run ends only processes that it started itself, by their process ids.
package soak
