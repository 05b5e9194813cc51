// Package claim implements the protocol by which one attempt at a non-repeatable
// request obtains the exclusive right to run it. The request runs at most once,
// without a shared store.
//
// A request is identified by its Key: the customer and the Idempotency-Key, a
// UUIDv7 that contains the time at which it was created. Before the owner of a
// request sends its first non-repeatable call, it needs grants from a majority of
// the key's claim group. The members of the group, its holders, are computed from
// the host list (Group), never elected. A Holder grants a key permanently to one
// owner: only that owner may release the key, and only if it has not sent the
// request.
//
// The package consists of state machines in the style of etcd's raft: they do no
// I/O, read no clock, start no goroutine and use no global random source. The
// caller passes in the time and the messages and carries out the returned actions.
// No type in this package is safe for concurrent use; the caller holds a lock
// around each (see package claims).
//
//   - Claim is the owner's side, one per attempt at a request.
//   - Holder is the granting side, one per shard of keys.
//   - Views is a daemon's knowledge of the host lists: which one is current, of
//     which earlier ones a claim still needs a majority (joint quorums during a
//     change of the host list), and whether the daemon has synced since its start.
//
// docs/decisions/0004-claims.md gives the reasons and the proof.
package claim
