// Package fairshare divides the scarce capacity of one service among customers by max-min
// fairness: nobody gets more than it asks for, and what some do not use is divided equally
// among the others. More urgent priorities are served first, each with its own level.
//
// A Table counts, within a sliding Window, the work that each customer asked for and the
// work that was admitted. Work is in seconds of a replica's time, so that requests of
// different sizes and services compare. While the service is short of capacity, Decide says
// whether a further request exceeds its customer's share.
//
// # Contract
//
// The package does no I/O, reads no clock and starts no goroutine: the caller passes the
// time, whose monotonic reading counts if it has one, and the capacity of the service in the
// Window. A Table is not safe for concurrent use. It holds at most MaxAccounts
// accounts of about 400 bytes each.
package fairshare
