package intake

import (
	"math"
	"time"
)

// Notice is what a replica says of itself in the head of an answer. The zero value
// says nothing.
type Notice struct {
	Limit Limit
	// Leaving says that the replica takes no new work from now on.
	Leaving bool
	// Rest is for how long the replica wants nothing from this host, as it turns it away;
	// 0 for no wish. UnreadRest is what it said where that could not be read.
	Rest       time.Duration
	UnreadRest string
}

// Limit is the rate of requests that a replica takes from all hosts together.
type Limit struct {
	// Named says that the answer names one.
	Named bool
	// PerSecond is 0 or more, and finite.
	PerSecond float64
}

// Valid says whether the rate is one that a replica may name.
func (l Limit) Valid() bool { return l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0) }

// Answer is an answer of the replica that it was asked of.
type Answer struct {
	// Replica names the start of the replica that was asked, and Address is where.
	Replica, Address string
	// Sent is when what it answers was sent.
	Sent time.Time
	// Served says that it answers a request, or a call for pieces, that was run: what
	// the replica has to say of itself is said there. Refusals and answers to other
	// calls may leave it out.
	Served bool
	Notice Notice
}
