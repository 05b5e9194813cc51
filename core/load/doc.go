// Package load holds what the daemons know about the load of upstreams.
//
// No daemon polls all upstreams. Each upstream is polled by a few daemons, which are
// chosen by rendezvous hashing and spread over failure domains. The daemons forward the
// reports to each other in digests of bounded size, which are sent with their
// heartbeats. Of two reports about an upstream, the one with the later AsOf replaces
// the other.
//
// A Table is pure decision logic: it does no I/O, reads no clock and starts no
// goroutines. The caller asks it which polls are due, polls the upstreams, and passes
// it the reports. The Table builds digests and merges the digests of other daemons. It
// is safe for concurrent use.
package load
