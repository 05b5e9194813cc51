// Package shares runs the division of fleet-wide limits in a daemon: it drives
// a share.Machine by the clock, carries its messages to fellow daemons and
// gives admission the shares in force.
package shares
