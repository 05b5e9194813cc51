package route

import (
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/request"
)

// Candidate is one upstream as a View shows it.
type Candidate struct {
	Name   string
	Domain string
	Region string
	// Hash is the hash of the name, for rendezvous hashing.
	Hash uint64
	// Own is the number of this daemon's calls in flight there.
	OwnCalls int
	// Foreign is the estimated number of others' calls there: between the load
	// report and the pool's mean, by the report's age.
	OtherCalls float64
	// Believed is either the report's number of others' calls or the pool's
	// mean, the report's with the probability that its age leaves it. Its mean
	// is Foreign. Daemons that hear the same report thus do not all rank the
	// upstreams alike, whatever little it still says.
	SampledOtherCalls float64
	// Backlog is how long a prompt is expected to wait for those that are being
	// read there, as far as this daemon knows.
	Backlog time.Duration
	// Slowness is the smoothed multiple of the usual latency, 1 or more.
	Slowness float64
	Leaving  bool
	// Ejected says why the upstream is ejected; else empty.
	Ejected string
	// Stalled says that calls are in flight there and none ended for long.
	Stalled bool
	// Busy says that the upstream refused calls a moment ago.
	Busy bool
	// Bounded says that the upstream has had this daemon's part of the calls that it
	// takes for the moment, and BoundedBy by whose word.
	IntakeLimited     bool
	IntakeLimitSource intake.Source
	// Share is the share of its calls that a readmitted upstream gets, 0 to 1.
	RampShare float64
	// Coin is a random number in [0, 1), drawn when Share is under 1.
	RampDraw float64
}

// Load is the estimated number of calls at the candidate.
func (c *Candidate) Load() float64 { return float64(c.OwnCalls) + c.OtherCalls }

// View is the immutable picture of a pool that one pick is decided on. Steps
// must neither change nor keep it.
type View struct {
	Now   time.Time
	Query *request.Query
	// Domain and Region are those of this daemon.
	Domain string
	Region string
	// Concurrency is the number of calls that an upstream runs well.
	Concurrency float64
	// Limit is the number of calls from which an upstream is saturated.
	SaturationLimit float64
	// Typical is the median latency of the stage, 0 while it is not measured.
	MedianLatency time.Duration
	// Home is the index of the candidate whose prefix cache is to be used; -1
	// when there is none.
	PrefixHome int
	Candidates []Candidate
}

// sameRegion says whether c is in this daemon's region; an unknown region is
// taken for the own one.
func (v *View) sameRegion(c *Candidate) bool {
	return v.Region == "" || c.Region == "" || c.Region == v.Region
}
