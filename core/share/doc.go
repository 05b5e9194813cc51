// Package share divides limits that hold over the whole fleet, such as a
// customer's requests per second or a pool's concurrency, among the daemons,
// without a shared counter.
//
// It is part of the decision core: no I/O, no clock, no goroutine. A Machine is
// driven by Step, which takes the time and one typed event and returns the
// messages to send; messages may be lost, delayed, repeated and reordered. One
// goroutine at a time may call it. View is an immutable snapshot for any number
// of readers.
//
// # Mechanism
//
// Every daemon may use an equal share of each resource, limit / hosts of the
// bundle, without a word from another. Rendezvous hashing names one allocator
// among the hosts for each resource. Daemons report their demand to it. When one
// wants more than its equal share, the allocator asks the others to cede what
// they do not use and lends it out.
//
//   - A cession binds a daemon to a ceiling for Cession after it last heard
//     from the allocator. The allocator counts on it for Cession after the
//     message that the daemon echoes was sent, which is earlier.
//   - A loan may be used for Loan after the report that it answers was sent.
//     The allocator counts it for Loan after its own answer, which is later.
//   - A loan is backed only by cessions that outlast it.
//
// So the sum of the shares never exceeds the limit by delay, loss, reordering,
// partition or pauses: whoever cannot hear its allocator is back at its equal
// share when loans made from its cession have ended. Clocks need not agree; only
// their rates are assumed to differ by less than drift. Safety does not rest
// on daemons agreeing on the allocator: each daemon binds itself to one
// allocator at a time.
//
// The sum may exceed the limit in two cases, which are bounded. A daemon that is
// restarted has forgotten its cession and starts at its equal share: at most
// 1/hosts of the limit each, for at most Loan after its first report reaches
// the allocator and at most Cession in any case. While a changed host list is rolled
// out, daemons divide by the old and the new number of hosts: at most
// |difference| / smaller number of the limit.
package share
