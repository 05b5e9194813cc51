// Package crash decides whether replicas have crashed while attempts ran on them, from
// evidence of several kinds that may come seconds later.
//
// An attempt that ends without a complete answer does not tell a crash of its replica from
// an aborted answer, a network reset or a path that was lost. What tells them apart is
// whether the replica's address still accepts connections, as hosts that reach other
// replicas find, and what the store lists about the replica afterwards.
//
// # Contract
//
// A Table is passed interrupted attempts, results of checks and listings, each with the time,
// and returns the checks that are due and the crashes that are confirmed. It is deterministic,
// does no I/O, reads no clock and is not safe for concurrent use. A crash is returned once for
// each attempt that it interrupted. Memory is bounded by MaxReplicas, MaxInterruptions and
// Retention.
package crash
