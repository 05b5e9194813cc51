// Package cluster connects a daemon to the rest of the fleet. It runs the state
// machines of core/member and core/rollout with the real clock, with the other daemons
// (package peer) and with the platform, and publishes their decisions as immutable
// snapshots.
//
// Each machine is stepped by one goroutine; all other code posts events to its queue.
// Calls to peers and to the platform run in their own goroutines, bounded in number and
// in time.
package cluster
