package daemon

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/core/crash"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/quarantine"
	"github.com/wheatseam/wheatseam/replica"
	"github.com/wheatseam/wheatseam/service"
)

// addQuarantine creates the service that keeps requests that crash upstreams from
// reaching them.
func (d *Daemon) addQuarantine() {
	d.quarantine = quarantine.New(quarantine.Config{
		Self: d.settings.Host, Members: quarantineMembers{d}, Replicas: replica.NewClient(nil, nil), Caller: deferredCaller{d}, Mux: d.peerMux, Logger: d.log,
	})
	d.cluster.OnSlot(member.SlotQuarantine, d.quarantine.DigestReceived)
}

// quarantineMembers gives the quarantine service access to the cluster membership.
type quarantineMembers struct{ daemon *Daemon }

// Reachable implements quarantine.Members.
func (q quarantineMembers) Reachable() []fleet.Host {
	var hosts []fleet.Host
	for _, m := range q.daemon.cluster.Members() {
		if m.Live() {
			hosts = append(hosts, fleet.Host{Host: m.Host, Incarnation: m.Incarnation})
		}
	}
	return hosts
}

// Neighbours implements quarantine.Members.
func (q quarantineMembers) Neighbours() []string { return q.daemon.cluster.Neighbours() }

// SetSlot implements quarantine.Members.
func (q quarantineMembers) SetSlot(id member.SlotID, value []byte) {
	q.daemon.cluster.SetSlot(id, value, false)
}

// stageFingerprint identifies what one stage of a request processes, independent of
// the request's id and key. It is per stage, since one stage may crash its upstreams
// while the others succeed.
func stageFingerprint(customer, pipeline, stage string, digest [32]byte) poison.Fingerprint {
	h := poison.NewHasher(customer, pipeline, stage, "")
	_, _ = h.Write(digest[:]) // never fails
	return h.Sum()
}

func (s *session) stageFingerprint(stage string) poison.Fingerprint {
	return stageFingerprint(s.sub.Customer.Name, s.sub.Pipeline.Name, stage, s.digest)
}

// checkQuarantine refuses a request if one of its stages is quarantined because it
// crashes upstreams, before any stage runs. If the quarantine grants a trial, the trial
// allows one call of that stage. The refusal of a request with an idempotency key
// reports may_have_run, since an earlier request with the key may have run.
func (d *Daemon) checkQuarantine(ctx context.Context, s *session) *problem.Error {
	for _, stage := range s.sub.Pipeline.Stages {
		v, quarantined := d.quarantine.Quarantined(s.stageFingerprint(stage.Name))
		if !quarantined {
			continue
		}
		if d.quarantine.RequestTrial(ctx, v) {
			s.trialFingerprint.Store(&v.Subject)
			continue
		}
		e := problem.New(problem.Quarantined, "upstreams ended under its stage %s", stage.Name)
		e.RetryAfter = v.RetryAfter(d.Now())
		if s.sub.IdempotencyKey != "" {
			e.Execution = problem.MayHaveRun
		}
		return e
	}
	return nil
}

// callAllowed reports whether a call may be sent to an upstream. It is checked for each
// attempt, since the request may be quarantined before a retry or a hedge. A call of a
// quarantined stage is allowed once if a trial was granted, which it uses up.
func (d *Daemon) callAllowed(s *session, c request.Call) bool {
	_, quarantined := d.quarantine.Quarantined(s.stageFingerprint(c.Stage.Name))
	return !quarantined || s.trialFingerprint.Swap(nil) != nil
}

// returnUnusedTrial returns a granted trial that no call has used.
func (d *Daemon) returnUnusedTrial(s *session) {
	if fingerprint := s.trialFingerprint.Swap(nil); fingerprint != nil {
		d.quarantine.ReturnTrial(*fingerprint)
	}
}

// callStart holds the start time of a call and the total time for which this host had
// been suspended by then.
type callStart struct {
	at              time.Time
	suspendedBefore time.Duration
}

func startCall() callStart { return callStart{clock.Now(), clock.SuspendedTime()} }

// reportCall reports the end of a call to the quarantine service: whether the upstream
// answered, or broke off the response and may have crashed.
func (d *Daemon) reportCall(s *session, c request.Call, start callStart, err error) {
	fingerprint := s.stageFingerprint(c.Stage.Name)
	switch {
	case upstreamAnswered(err):
		d.quarantine.RunSucceeded(fingerprint)
	case !httpbody.IsConnectionBroken(err) || clock.SuspendedTime() > start.suspendedBefore || slices.Contains(d.cluster.LeavingUpstreams(), c.Choice.Upstream):
		// The connection was not broken off, or the cause is not a crash: this host
		// was suspended, or the upstream is leaving.
	default:
		now := clock.Now()
		d.quarantine.AttemptInterrupted(crash.Interruption{
			Service: c.Stage.Pool, Replica: c.Choice.Upstream, Address: c.Choice.Address, At: now,
			Suspect: poison.Suspect{Subject: fingerprint, RunTime: now.Sub(start.at)},
		})
	}
}

// upstreamAnswered reports whether a call ran and its upstream is still alive: the
// upstream sent a complete response, either a result or an error status.
func upstreamAnswered(err error) bool {
	if err == nil {
		return true
	}
	var e *service.Error
	return errors.As(err, &e) && e.Status >= http.StatusBadRequest && !e.NotExecuted && !httpbody.IsConnectionBroken(err)
}

// quarantinedCall returns the failure of a call that must not be sent to an upstream.
func quarantinedCall(c request.Call) request.CallEnded {
	return request.CallEnded{
		Attempt: c.Attempt, Result: request.CallFailed, NotExecuted: true, Rejected: true, Detail: string(problem.Quarantined),
	}
}
