// Package claim decides who may run a request that must not be repeated, so
// that it runs at most once, without a shared store.
//
// A request is known by its Key: the customer and the Idempotency-Key, a UUIDv7
// that carries its own time. Before the first non-repeatable call of a request
// may leave, its owner needs grants of a majority of the key's claim group. The
// group is computed (Group), never elected. A Holder grants a key to one owner
// for good: only that owner may release it, and only if it never sent.
//
// The package is a set of state machines in the manner of etcd's raft: no I/O,
// no clock, no goroutine, no global randomness. The caller passes the time and
// the messages in and carries the returned actions out. No type here is safe
// for concurrent use; the caller holds a lock around each (see package claims).
//
//   - Claim is the owner's side, one per attempt at a request.
//   - Holder is the side that grants, one per shard of keys.
//   - Views is a daemon's knowledge of the host lists: which one is current,
//     which earlier ones still need a majority (joint phase), and whether the
//     daemon has caught up since its start.
//
// docs/decisions/0004-claims.md gives the reasons and the proof.
package claim
