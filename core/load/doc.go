// Package load holds what daemons know of the load of upstreams.
//
// No daemon hears all upstreams itself. Each upstream is polled by a few
// daemons, chosen by rendezvous hashing and spread over failure domains, and
// the daemons pass on what they heard in digests of bounded size that ride on
// their heartbeats. Of two reports about an upstream the later as-of counts.
//
// A Table is decision core: it does no I/O, reads no clock and starts no
// goroutine. The caller asks it what is due, polls, and hands it the reports;
// it builds digests and merges those of others. It may be used concurrently.
package load
