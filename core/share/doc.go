// Package share divides limits that apply to the whole fleet, such as a
// customer's requests per second or a pool's concurrency, among the daemons,
// without a shared counter.
//
// It does no I/O, reads no clock and starts no goroutine. A Machine is driven by
// Step, which takes the current time and one typed event and returns the
// messages to send. Messages may be lost, delayed, duplicated and reordered. A
// Machine is not safe for concurrent use; View is an immutable snapshot for any
// number of concurrent readers.
//
// # Mechanism
//
// Every daemon may use an equal share of each resource, its limit divided by the
// number of hosts in the bundle, without any communication. For each resource,
// rendezvous hashing selects one host as its allocator, to which the daemons report
// their demand. When a daemon wants more than its equal share, the allocator asks
// the others to release what they do not use, and leases that to the daemon.
//
//   - A cap limits a daemon below its equal share for CapDuration after the daemon
//     last received a message from the allocator. The allocator relies on the cap
//     only for CapDuration after it sent the message that the daemon echoes, which
//     is earlier.
//   - A lease allows a daemon more than its equal share for LeaseDuration after the
//     daemon sent the report to which the lease is the reply. The allocator counts
//     it for LeaseDuration after its reply, which is later.
//   - A lease is backed only by caps that outlast it.
//
// So delay, loss, reordering, partitions and pauses never make the sum of the
// shares exceed the limit. A daemon that cannot reach its allocator is back at its
// equal share once the leases that its cap backed have ended. Clocks need not
// agree; only their rates are assumed to differ by less than 1/driftDivisor. Safety
// does not depend on the daemons agreeing on the allocator: each daemon binds
// itself to one allocator at a time.
//
// The sum may exceed the limit in two cases, by a bounded amount. A daemon that is
// restarted loses its cap and starts at its equal share. That exceeds the limit by
// at most 1/hosts of the limit for each restart, for at most LeaseDuration after the
// first report of the new process reaches the allocator, and for at most CapDuration
// in any case. While a changed host list is rolled out, daemons divide by the old or
// the new number of hosts. That exceeds the limit by at most the fraction
// |difference| / smaller number of hosts.
package share
