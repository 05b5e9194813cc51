// Package cluster is the daemon's side of acting together: it drives
// core/member and core/rollout with the real clock, fellow daemons (package
// peer) and the platform, and publishes what they decide as immutable
// snapshots.
//
// Each machine has one goroutine that steps it; everything else posts events
// to its queue. Calls to peers and to the platform run in goroutines of their
// own, bounded in number and in time.
package cluster
