package intake

import (
	"math"
	"time"
)

// Notice is what a replica announces about itself in the headers of a response. The zero
// value announces nothing.
type Notice struct {
	Limit Limit
	// RefusalLimit is how many calls the replica can refuse in one second, to all hosts
	// together; it fails if it has to refuse more.
	RefusalLimit Limit
	// Leaving says that the replica accepts no new work from now on.
	Leaving bool
	// Backoff is the time for which the replica, as it refuses a call, asks this host to
	// send nothing; 0 for none. UnparsedBackoff is the header's value if it could not be
	// parsed.
	Backoff         time.Duration
	UnparsedBackoff string
}

// Limit is a rate that holds for all hosts together: of the requests that a replica accepts,
// or of the calls that it can refuse.
type Limit struct {
	// Announced says that the response announces a limit.
	Announced bool
	// PerSecond is finite and not negative.
	PerSecond float64
}

// Valid reports whether the rate is one that a replica may announce.
func (l Limit) Valid() bool { return l.PerSecond >= 0 && !math.IsInf(l.PerSecond, 0) }

// ReplicaResponse is a response of the replica that the call was meant for.
type ReplicaResponse struct {
	// Replica is the ID of the replica's start that was called, and Address its address.
	Replica, Address string
	// Sent is when the request of this response was sent.
	Sent time.Time
	// Served says that the response is to a request, or a call for pieces, that was
	// executed. Such responses always carry the replica's notices; refusals and responses
	// to other calls may omit them.
	Served bool
	Notice Notice
}
