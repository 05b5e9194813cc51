// Package admit decides what enters the system and what each pool runs: whole
// requests on arrival, and one slot of a pool for each call of a stage.
//
// It is part of the decision core: no I/O, no clock, no goroutine. The caller
// passes the time into each method and acts on what is answered. A Controller
// is safe for concurrent use; its state is sharded by pool and by customer,
// each shard under its own lock, and no two locks are ever held together.
//
// # Decisions
//
// Arrive predicts when a request would finish, from the work that is already
// planned at each pool of its pipeline, and refuses it when that is past its
// deadline. An admitted request is planned at every one of its pools until the
// stage there has succeeded or the request leaves.
//
// Acquire grants a slot while the pool's adaptive limit allows it and else
// queues the ticket. Queues are bounded, fair among customers by weight, and
// ordered by earliest feasible start within the fair window. Release and Tick
// answer tickets whose start can no longer meet the deadline.
//
// The limits are this daemon's share of the fleet's, see Shares.
package admit
