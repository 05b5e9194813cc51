package stage

import (
	"math"
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/fairshare"
	"github.com/wheatseam/wheatseam/core/intake"
)

type service struct {
	name     string
	params   catalog.StageProfile
	replicas []*replica
	// maxScanned is Config.MaxScannedReplicas.
	maxScanned int
	// byDomain lists the replicas by failure domain.
	byDomain map[string][]*replica
	// idle are the replicas with a free place, and domainWaits the waits for a place in
	// each failure domain as last computed; see idle.go.
	idle        idleReplicas
	domainWaits map[string]domainWait
	// capacity is the number of pieces that all usable replicas run per second, as of
	// capacityAt.
	capacity   float64
	capacityAt time.Time
	// returnsAt is when the first of the replicas is usable again that were suspected at
	// capacityAt, and capacityAtReturn the capacity from then on; zero if none is expected, or
	// a usable replica is not limited.
	returnsAt        time.Time
	capacityAtReturn float64
	queue            queue
	// backlog counts the pieces of all jobs that are not completed.
	backlog     backlog
	recentRanks recentRanks
	shares      serviceShares
	// continuations has the work of jobs that continue streams; nil before the first one.
	continuations *fairshare.Table
	// dirty says that something that may allow a call has happened since the last pass over
	// the queue, which was at lastPass. Otherwise the next pass is due at nextPass.
	dirty              bool
	lastPass, nextPass time.Time
	// queryBudget is the number of memory queries that may still be sent.
	queryBudget int
	// readerLoad is what Machine.readerLoad counted at readerLoadAt, plus the work that was
	// assigned since.
	readerLoad   map[string]float64
	readerLoadAt time.Time
	// latencyRatio is the smoothed ratio of measured to nominal call times.
	latencyRatio float64
	// meanCallPieces is the smoothed number of pieces of a call, meanResultBytes that of
	// the bytes of a result.
	meanCallPieces, meanResultBytes float64
}

// callTime returns the expected time of a call with n pieces.
func (s *service) callTime(n int) time.Duration {
	return time.Duration(s.latencyRatio * float64(s.nominalTime(n)))
}

// typicalCallTime returns the expected time of a call that contains n given pieces and
// typically others.
func (s *service) typicalCallTime(n int) time.Duration {
	return s.callTime(min(s.params.Batch, max(n, int(s.meanCallPieces))))
}

// nominalTime returns the configured time of a call with n pieces.
func (s *service) nominalTime(n int) time.Duration {
	return s.params.CallTime + time.Duration(n)*s.params.PieceTime
}

type replica struct {
	catalog.Replica
	service *service
	// limiter limits the calls to the replica, together with the other calls of this host.
	limiter *intake.Limiter
	// listed says that the replica is in the current configuration.
	listed bool
	// replaced says that the restarted replica, or another one, has this replica's address.
	replaced bool
	calls    []*call
	// idleAt is the replica's position in the list of idle ones of its failure domain,
	// counted from 1; 0 if it is not idle.
	idleAt int
	// timedOutCalls are the calls that have timed out but may still return results.
	timedOutCalls []*call
	// usedBytes is the size of the results that are held or being computed there.
	usedBytes int64
	// latencyRatio is the smoothed ratio of measured to nominal call times there, as of
	// latencyRatioAt; see currentLatencyRatio.
	latencyRatio   float64
	latencyRatioAt time.Time
	// failures counts consecutive failures; no calls are made to the replica until
	// suspectUntil.
	failures     int
	suspectUntil time.Time
	// unreachable says that the last failure was a connection that was not established.
	unreachable bool
	// busyUntil is the end of the backoff after a refused call, and refusals counts
	// consecutive refusals.
	busyUntil time.Time
	refusals  int
	// No calls are made to the replica until noMemoryUntil, because it had no memory for a
	// result.
	noMemoryUntil time.Time
	// foreignBytes is the memory that other planners' results took at foreignBytesAt; see
	// currentForeignBytes.
	foreignBytes   int64
	foreignBytesAt time.Time
	// queryAt is when the replica is to be queried for its free memory; zero if it is not.
	// queriedAt is when it was queried last, until it answers.
	queryAt, queriedAt time.Time
	// memoryAsked says that the replica was queried before, and queryScheduled that it is
	// in Machine.memoryQueries.
	memoryAsked, queryScheduled bool
}

type call struct {
	id      uint64
	replica *replica
	pieces  []*piece
	started time.Time
	// expectedEnd is when the call is expected to end, overdueAt when its pieces are queued
	// for another replica too. hedged says that they have been.
	expectedEnd, overdueAt time.Time
	hedged                 bool
	// timeoutAt is when the call times out or, once timedOut is set, when it is next
	// checked whether the call is still needed.
	timeoutAt time.Time
	timedOut  bool
	// laterAnswers counts the calls that were made later than this one and have been
	// answered.
	laterAnswers int
}

// usable reports whether calls may be made to the replica in general.
func (r *replica) usable(now time.Time) bool {
	return r.acceptsWork() && !now.Before(r.suspectUntil) && !r.blockedForLong(now)
}

// acceptsWork reports whether the replica accepts new work, according to itself and the
// configuration.
func (r *replica) acceptsWork() bool { return r.listed && !r.Draining && !r.limiter.IsLeaving() }

// blockedForLong reports whether the replica accepts no calls of this host for longer than
// one call takes.
func (r *replica) blockedForLong(now time.Time) bool {
	rate, bounded := r.limiter.Rate(now)
	return bounded && rate == 0 && now.Add(r.service.callTime(1)).Before(r.limiter.NextAllowed(now))
}

// available reports whether a call to the replica may start now.
func (r *replica) available(now time.Time) bool {
	return r.usable(now) && len(r.calls) < r.service.params.Concurrency && !now.Before(r.busyUntil) && !now.Before(r.limiter.NextAllowed(now))
}

// availableAt returns when the replica is expected to accept its next call.
func (r *replica) availableAt(now time.Time) time.Time {
	at := now
	if len(r.calls) >= r.service.params.Concurrency {
		at = r.calls[0].expectedEnd
		for _, c := range r.calls[1:] {
			if c.expectedEnd.Before(at) {
				at = c.expectedEnd
			}
		}
	}
	if r.busyUntil.After(at) {
		at = r.busyUntil
	}
	if nextAllowed := r.limiter.NextAllowed(now); nextAllowed.After(at) {
		at = nextAllowed
	}
	if at.Before(now) {
		return now
	}
	return at
}

// fits reports whether results of n bytes fit into the replica's memory beside those that
// it holds. Results that are larger than the whole memory fit a replica that holds nothing.
func (r *replica) fits(now time.Time, n int64) bool {
	if now.Before(r.noMemoryUntil) {
		return false
	}
	capacity := r.service.params.ResultCapacityBytes
	occupied := r.usedBytes + r.currentForeignBytes(now)
	return capacity == 0 || occupied == 0 || occupied+n <= capacity
}

// noteOutOfMemory records that the replica had no memory for a result.
func (r *replica) noteOutOfMemory(now time.Time) {
	r.noMemoryUntil = now.Add(r.service.params.CallTime)
	capacity := r.service.params.ResultCapacityBytes
	if missing := capacity - r.usedBytes; missing > max(r.currentForeignBytes(now), int64(minMissingShare*float64(capacity))) {
		r.foreignBytes, r.foreignBytesAt = missing, now
	}
}

// minMissingShare is the share of a replica's memory that has to be missing before it is
// attributed to other planners' results: sizes are approximate.
const minMissingShare = 0.25

// currentForeignBytes returns the memory that is still taken by other planners' results.
// They are assumed to be released evenly until the last one has expired.
func (r *replica) currentForeignBytes(now time.Time) int64 {
	lifetime := r.service.params.ResultTTL
	if lifetime <= 0 {
		lifetime = defaultResultLifetime
	}
	remaining := lifetime - now.Sub(r.foreignBytesAt)
	if r.foreignBytes <= 0 || remaining <= 0 {
		return 0
	}
	return int64(float64(r.foreignBytes) * float64(remaining) / float64(lifetime))
}

// defaultResultLifetime is how long results are assumed to be kept if the configuration
// does not say.
const defaultResultLifetime = 4 * time.Second

// The weights of a new sample in the smoothed latency ratios.
const (
	serviceLatencyWeight = 0.05
	replicaLatencyWeight = 0.4
)

const (
	// latencyRatioDecay is the time in which the difference between a replica's latency
	// ratio and its service's decays to 1/e, so that a slow replica is used again.
	latencyRatioDecay = 4 * time.Second
	// slowRatio is the multiple of the service's latency ratio above which a replica is
	// slow: a call to another replica then ends sooner, even after waiting for that
	// replica.
	slowRatio = 1.8
)

// currentLatencyRatio returns the replica's latency ratio, decaying towards the service's.
func (r *replica) currentLatencyRatio(now time.Time) float64 {
	decay := math.Exp(-float64(now.Sub(r.latencyRatioAt)) / float64(latencyRatioDecay))
	return r.service.latencyRatio + (r.latencyRatio-r.service.latencyRatio)*decay
}

// slow reports whether calls to the replica take much longer than those to others.
func (r *replica) slow(now time.Time) bool {
	return r.currentLatencyRatio(now) > slowRatio*r.service.latencyRatio
}

// recordLatency records the time of an answered call.
func (r *replica) recordLatency(now time.Time, took time.Duration, pieces int) {
	ratio := float64(took) / float64(r.service.nominalTime(pieces))
	previous := r.currentLatencyRatio(now)
	r.latencyRatio, r.latencyRatioAt = previous+replicaLatencyWeight*(ratio-previous), now
	s := r.service
	s.latencyRatio += serviceLatencyWeight * (min(ratio, 2) - s.latencyRatio)
	s.meanCallPieces += serviceLatencyWeight * (float64(pieces) - s.meanCallPieces)
}

// noteRefusal records a call that was not executed, usually because the replica refused it
// while another planner's call runs there.
func (r *replica) noteRefusal(now time.Time, c Config) {
	r.busyUntil = now.Add(c.RefusalBackoff << min(r.refusals, maxBackoffDoublings))
	r.refusals++
}

// maxBackoffDoublings limits the backoff after consecutive refusals to 8 times the first,
// which is about one call.
const maxBackoffDoublings = 3

// noteFailure records a call without a usable answer.
func (r *replica) noteFailure(now time.Time, c Config) {
	wait := c.SuspectBase << min(r.failures, 10)
	r.failures++
	r.suspectUntil = now.Add(min(wait, c.SuspectMax))
}
