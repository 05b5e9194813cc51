// Package admit implements admission control. It admits or refuses whole requests
// on arrival, and grants one slot of a pool for each call of a stage.
//
// It does no I/O, reads no clock and starts no goroutine. The caller passes the
// current time to each method and carries out the returned decisions. A Controller
// is safe for concurrent use. Its state is sharded by pool and by customer, each
// shard under its own lock, and no goroutine holds the locks of two shards at the
// same time.
//
// # Decisions
//
// Admit predicts when a request would finish, from the work that is already
// reserved at each pool of its pipeline, and refuses the request if that is after
// its deadline. An admitted request has a reservation at each of its pools until
// the stage there has succeeded or Finish is called.
//
// Acquire grants a slot if the pool's adaptive concurrency limit allows it, and
// queues the ticket otherwise. Queues are bounded and weighted fair among customers.
// Among customers within the fairness window, the ticket with the earliest latest
// start goes first. Release and Tick refuse tickets that can no longer meet their
// deadline.
//
// Each limit is this daemon's share of the limit of the whole fleet; see Shares.
package admit
