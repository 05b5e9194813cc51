// Package shares divides fleet-wide limits among the daemons. It drives a
// share.Machine by timers, sends its messages to peer daemons and gives the
// admission controller the current shares.
package shares
