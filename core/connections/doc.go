// Package connections decides which connections a listener keeps while more clients connect, or
// send longer heads of requests, than there is room for.
//
// # Rules
//
// A connection is fresh until its first request is complete, then busy with that request, idle once
// it is answered, and reading while the head of its next request is incomplete. One that was given
// up is closing until the caller has closed it.
//
// Connections: at Limits.Connections, closing ones aside, a new connection takes the place of another one, in this order:
//
//  1. the longest idle one, if it has been idle for longer than Limits.IdleTimeout
//  2. the oldest fresh one, if a FreshShare of all connections is fresh or it is older than FreshAge
//  3. the longest idle one
//  4. the one that has been reading for the longest time
//  5. the oldest fresh one
//
// A busy connection is never closed for another one. If all are busy, the new one is refused.
//
// Heads: the heads of fresh, reading and busy connections together cost at most Limits.HeadBytes.
// Heads that cost more than SmallHeadBytes may use LargeHeadShare of it, so that ordinary requests
// are read beside large heads. When a head grows past its limit, the incomplete head that costs most
// is given up, the oldest of several; that may be the head itself.
//
// # Contract
//
// Nothing here reads a clock, does I/O or starts goroutines; the caller passes the time, which does
// not go backwards. A connection that is returned to be closed must be closed, and Close called once
// its memory is free; until then all other calls for it have no effect and report false. While
// MaxClosing connections or more are closing, the caller neither opens connections nor uses more memory
// for heads, since it would not be within the limits. Limits may change at any time; a lower one takes effect as
// connections come and heads grow. A Set is not safe for concurrent use. Its state is one entry for
// each connection. Opening a connection takes constant time, giving up a head looks at all
// incomplete ones.
package connections
