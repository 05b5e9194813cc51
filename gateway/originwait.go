package gateway

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
	"github.com/wheatseam/wheatseam/logging"
	"github.com/wheatseam/wheatseam/problem"
)

const (
	// originWaitInterval is the time between the first lookups, and maxOriginWaitInterval that between
	// later ones. A request has maxOriginLookups of them at most.
	originWaitInterval    = 250 * time.Millisecond
	maxOriginWaitInterval = time.Second
	maxOriginLookups      = 12
	// originWait is for how long the version is awaited though the stages are done, from the first
	// lookup, and originWaitAfterStages from their end.
	originWait            = 2 * time.Second
	originWaitAfterStages = 300 * time.Millisecond
	// originWaitFraction is the most of the time left to the deadline for which the version is awaited:
	// the rest of the answer takes time, too, or the caller's next attempt.
	originWaitFraction = 0.5
	// maxAwaitedOrigins limits the streams of a host that are looked up again.
	maxAwaitedOrigins = 128
)

// mayAwaitOrigin reports whether the version of a stream may become known while the request waits.
func (x *exchange) mayAwaitOrigin(v origin.Verdict) bool {
	left := clock.Until(x.deadline)
	return !v.Known && v.MayCome && v.After <= min(originWait, time.Duration(originWaitFraction*float64(left)))
}

// asksReplicas reports whether replicas are asked whether they keep the request's prompt.
func (x *exchange) asksReplicas(services ...string) bool {
	return x.lastPart().ID != "" && !slices.ContainsFunc(services, func(s string) bool {
		return len(x.g.memoryReplicas(s)) > origin.MaxLookupReplicas
	})
}

// prepare runs the stages of the request. The version of a stream that is taken up need not be known
// before they are done: while it may become known, it is looked up again beside them.
func (x *exchange) prepare() *problem.Error {
	if x.undecided == nil {
		return x.prepareInputs()
	}
	first := *x.undecided
	x.undecided = nil
	end, begun := x.g.origins.await(x.originKey())
	if !begun {
		x.countOriginWait(first.verdict, "too_many")
		return x.settleOrigin(first.verdict)
	}
	defer end()
	return x.prepareAwaiting(first)
}

// await records that a stream's version is looked up again, until end is called. It returns false if
// it is already, or too many are.
func (s *streamOrigins) await(stream origin.Key) (end func(), begun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.awaited[stream] || len(s.awaited) >= maxAwaitedOrigins {
		return nil, false
	}
	s.awaited[stream] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.awaited, stream)
	}, true
}

// prepareAwaiting runs the stages beside the lookups. A verdict that refuses the request cancels the
// stages.
func (x *exchange) prepareAwaiting(first originLookup) *problem.Error {
	began := clock.Now()
	longest := time.Duration(originWaitFraction * float64(clock.Until(x.deadline)))
	lookups, stop := context.WithCancel(x.ctx)
	defer stop()
	whole := x.ctx
	staged, cancelStages := context.WithCancel(whole)
	defer cancelStages()
	decided := make(chan origin.Verdict, 1)
	go func() {
		v := x.awaitOrigin(lookups, first, began.Add(longest))
		if lookups.Err() == nil && x.originRefusal(v) != nil {
			cancelStages()
		}
		decided <- v
	}()
	x.ctx = staged
	perr := x.prepareInputs()
	x.ctx = whole
	refused := staged.Err() != nil && whole.Err() == nil
	if perr == nil {
		until := min(max(originWait-clock.Since(began), originWaitAfterStages), longest-clock.Since(began))
		defer clock.AfterFunc(until, stop).Stop()
	} else {
		stop()
	}
	v := <-decided
	if perr != nil && !refused {
		x.logOriginWait(first.verdict, v, "stages_refused", began)
		return perr
	}
	settled := x.settleOrigin(v)
	result := "known"
	if settled != nil {
		result = string(settled.Kind)
	}
	x.logOriginWait(first.verdict, v, result, began)
	return cmp.Or(settled, perr) // a replica may have come back since the stages were cancelled
}

// awaitOrigin looks the version of a stream up again, less and less often, until it is known, can't
// become known, the next lookup would begin after until, or ctx ends. It changes nothing of the exchange.
func (x *exchange) awaitOrigin(ctx context.Context, last originLookup, until time.Time) origin.Verdict {
	interval := originWaitInterval
	var left []serviceReplica
	for range maxOriginLookups {
		wait := max(interval, last.verdict.After)
		if !x.mayAwaitOrigin(last.verdict) || clock.Until(until) < wait || !periodic.Sleep(ctx, wait) {
			break
		}
		next := x.lookUpOriginOfListed(ctx)
		if ctx.Err() != nil {
			break // replicas and hosts were not awaited
		}
		left = append(left, x.unlisted(last.silent())...)
		if next.verdict.Reason == origin.PromptKept && x.hasOtherVersion(left, next.verdict) {
			return origin.Verdict{Reason: origin.SeveralVersions, Evidence: next.verdict.Evidence}
		}
		last, interval = next, min(2*interval, maxOriginWaitInterval)
	}
	return last.verdict
}

// originLookup is one lookup of the version that began a stream, and the replicas that were listed when
// it began or ended.
type originLookup struct {
	verdict origin.Verdict
	listed  []serviceReplica
}

// serviceReplica is a listed replica of a service.
type serviceReplica struct {
	service string
	memoryReplica
}

// lookUpOriginOfListed is lookUpOrigin with the replicas that were listed.
func (x *exchange) lookUpOriginOfListed(ctx context.Context) originLookup {
	listed := x.listedReplicas()
	v := x.lookUpOrigin(ctx)
	return originLookup{v, append(listed, x.listedReplicas()...)}
}

func (x *exchange) listedReplicas() []serviceReplica {
	var listed []serviceReplica
	for _, service := range x.route.Services() {
		for _, r := range x.g.memoryReplicas(service) {
			listed = append(listed, serviceReplica{service, r})
		}
	}
	return listed
}

// silent returns the replicas of which the lookup did not tell whether they keep the prompt.
func (l originLookup) silent() []serviceReplica {
	memory := l.verdict.Evidence.Memory
	return slices.DeleteFunc(slices.Clone(l.listed), func(r serviceReplica) bool {
		return memory != nil && !slices.Contains(memory.Silent, r.version)
	})
}

// unlisted returns those of some replicas that are no longer listed: they can't be asked any more.
func (x *exchange) unlisted(replicas []serviceReplica) []serviceReplica {
	return slices.DeleteFunc(replicas, func(r serviceReplica) bool { return x.g.isListed(r.memoryReplica) })
}

// hasOtherVersion reports whether one of some replicas has another version than the one decided for.
func (x *exchange) hasOtherVersion(replicas []serviceReplica, decided origin.Verdict) bool {
	service := cmp.Or(decided.Service, x.service)
	return slices.ContainsFunc(replicas, func(r serviceReplica) bool { return r.service != service || r.version != decided.Version })
}

// logOriginWait writes what became of the wait for the version of a stream.
func (x *exchange) logOriginWait(first, last origin.Verdict, result string, began time.Time) {
	x.countOriginWait(first, result)
	x.g.log.Info("version of a stream awaited", logging.Request(x.req.ID), zap.String("resumes", x.req.ResumedID), zap.String("cause", string(first.Reason)),
		zap.String("evidence", string(last.Reason)), zap.String("result", result), zap.Duration("waited", clock.Since(began)))
}

// countOriginWait counts a wait by why the version was not known at first, and what became of it.
func (x *exchange) countOriginWait(first origin.Verdict, result string) {
	x.g.metrics.GetOrCreateCounter(fmt.Sprintf("wheatseam_stream_origin_waits_total{cause=%q,result=%q}", first.Reason, result)).Inc()
}
