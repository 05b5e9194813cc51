package route

import (
	"time"

	"github.com/wheatseam/wheatseam/core/intake"
	"github.com/wheatseam/wheatseam/core/request"
)

// Candidate is one upstream in a View.
type Candidate struct {
	Name   string
	Domain string
	Region string
	// Version is the version of the upstream's software.
	Version string
	// Hash is the hash of the name, used for rendezvous hashing.
	Hash uint64
	// OwnCalls is the number of this daemon's calls in flight at the upstream.
	OwnCalls int
	// OtherCalls is the estimated number of other daemons' calls at the upstream. It is
	// the mean of the number by the load report and the pool's mean, weighted by the
	// report's age.
	OtherCalls float64
	// SampledOtherCalls is at random either the number of other daemons' calls by the
	// load report or the pool's mean. The probability of the former is the report's
	// weight, so that the expected value is OtherCalls. Daemons that have the same
	// report thus do not all rank the upstreams in the same order, even if the report
	// is almost worthless.
	SampledOtherCalls float64
	// Slowdown is the predicted slowdown of the upstream's machine for a call that starts
	// now. HomeSlowdown is its baseline in coarse steps. Both are 0 in a pool without
	// slowdowns.
	Slowdown, HomeSlowdown float64
	// Backlog is how long a prompt is expected to wait for the prefill of earlier
	// prompts, as far as this daemon knows. In a pool with slowdowns it includes the
	// prefill of the prompt itself, which takes longer at a slow upstream.
	Backlog time.Duration
	// Slowness is the smoothed latency as a multiple of the usual latency, at least 1.
	Slowness float64
	Leaving  bool
	// Ejected is the reason why the upstream is ejected, or "".
	Ejected string
	// Stalled means that calls are in flight and none has ended for a long time.
	Stalled bool
	// Unreachable means that no connection to the upstream is expected to be established.
	Unreachable bool
	// Busy means that the upstream refused a call a short time ago.
	Busy bool
	// IntakeLimited means that the upstream's limiter blocks further calls from this
	// daemon for now, because of the limit that IntakeLimitSource identifies.
	IntakeLimited     bool
	IntakeLimitSource intake.Source
	// RampShare is the share of its traffic that a readmitted upstream gets, 0 to 1.
	RampShare float64
	// RampDraw is a random number in [0, 1). It is drawn if RampShare is below 1.
	RampDraw float64
}

// Load returns the estimated number of calls at the candidate.
func (c *Candidate) Load() float64 { return float64(c.OwnCalls) + c.OtherCalls }

// View is the immutable snapshot of a pool on which one pick is decided. Steps must
// neither modify nor retain it.
type View struct {
	Now   time.Time
	Query *request.Query
	// Domain and Region are those of this daemon.
	Domain string
	Region string
	// Concurrency is the number of calls that an upstream can run without degradation.
	Concurrency float64
	// SaturationLimit is the number of calls from which an upstream is saturated.
	SaturationLimit float64
	// MedianLatency is the median latency of the stage, or 0 if it is not known yet.
	MedianLatency time.Duration
	// PrefixHome is the index of the candidate whose prefix cache should be used, or
	// -1.
	PrefixHome int
	Candidates []Candidate
	// HasSlowdowns means that upstreams of the pool have slowdowns.
	HasSlowdowns bool
	// UsualPause is the longest pause of a stream of this stage that is to be expected at an
	// upstream of the usual speed. It is set if the pool has slowdowns and the query has a gap
	// objective.
	UsualPause time.Duration
	// Sampled means that the candidates are a sample of a large pool: first the Homes
	// candidates among which the prefix has its home, then Uniform ones that represent the
	// pool, then further ones in preferred failure domains.
	Sampled        bool
	Homes, Uniform int
}

// mayBeHome reports whether the prefix may have its home at a candidate.
func (v *View) mayBeHome(index int) bool { return !v.Sampled || index < v.Homes }

// isUniform reports whether a candidate is one of those that represent the pool.
func (v *View) isUniform(index int) bool {
	return !v.Sampled || index >= v.Homes && index < v.Homes+v.Uniform
}

// slowdownOf returns the predicted slowdown of a candidate; 1 in a pool without slowdowns.
func (v *View) slowdownOf(c *Candidate) float64 {
	if !v.HasSlowdowns {
		return 1
	}
	return c.Slowdown
}

// sameRegion reports whether c is in this daemon's region. An unknown region is assumed
// to be the same.
func (v *View) sameRegion(c *Candidate) bool {
	return v.Region == "" || c.Region == "" || c.Region == v.Region
}
