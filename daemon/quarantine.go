package daemon

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

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

// addQuarantine makes this daemon's part in keeping requests that crash upstreams
// away from them.
func (d *Daemon) addQuarantine() {
	d.quarantine = quarantine.New(quarantine.Config{
		Self: d.settings.Host, Members: fellows{d}, Replicas: replica.NewClient(nil), Caller: lateCaller{d}, Mux: d.peerMux, Logger: d.log,
	})
	d.cluster.OnSlot(member.SlotQuarantine, d.quarantine.DigestReceived)
}

// fellows are this daemon's fellows as the quarantine takes them.
type fellows struct{ d *Daemon }

// Reachable implements quarantine.Members.
func (f fellows) Reachable() []fleet.Host {
	var hosts []fleet.Host
	for _, m := range f.d.cluster.Members() {
		if m.Live() {
			hosts = append(hosts, fleet.Host{Host: m.Host, Incarnation: m.Incarnation})
		}
	}
	return hosts
}

// Neighbours implements quarantine.Members.
func (f fellows) Neighbours() []string { return f.d.cluster.Neighbours() }

// SetSlot implements quarantine.Members.
func (f fellows) SetSlot(id member.SlotID, value []byte) { f.d.cluster.SetSlot(id, value, false) }

// contentOf names what a stage of a request works on, whatever the request's id and
// key: one stage may crash its upstreams, and the others end well.
func contentOf(customer, pipeline, stage string, digest [32]byte) poison.Fingerprint {
	h := poison.NewHasher(customer, pipeline, stage, "")
	_, _ = h.Write(digest[:]) // never fails
	return h.Sum()
}

func (s *session) content(stage string) poison.Fingerprint {
	return contentOf(s.sub.Customer.Name, s.sub.Pipeline.Name, stage, s.digest)
}

// quarantined refuses a request one of whose stages crashes upstreams, before
// anything of it runs; a trial that is granted is for one call of that stage. Under a
// key an earlier try may have run.
func (d *Daemon) quarantined(ctx context.Context, s *session) *problem.Error {
	for _, stage := range s.sub.Pipeline.Stages {
		v, condemned := d.quarantine.Quarantined(s.content(stage.Name))
		if !condemned {
			continue
		}
		if d.quarantine.RequestTrial(ctx, v) {
			s.trial.Store(&v.Request)
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

// mayCall asks whether a call may reach an upstream: also a retry or a hedge of a
// request that was condemned meanwhile.
func (d *Daemon) mayCall(s *session, c request.Call) bool {
	_, condemned := d.quarantine.Quarantined(s.content(c.Stage.Name))
	return !condemned || s.trial.Swap(nil) != nil
}

// returnTrial gives a trial back that came to no call.
func (d *Daemon) returnTrial(s *session) {
	if content := s.trial.Swap(nil); content != nil {
		d.quarantine.ReturnTrial(*content)
	}
}

// callStart is when a call began, and for how long this host had slept by then.
type callStart struct {
	at     time.Time
	asleep time.Duration
}

func startCall() callStart { return callStart{clock.Now(), clock.SuspendedTime()} }

// noteCall passes on what the end of a call says of its upstream: that it lives, or
// that it broke off and may have ended.
func (d *Daemon) noteCall(s *session, c request.Call, began callStart, err error) {
	content := s.content(c.Stage.Name)
	switch {
	case ranWell(err):
		d.quarantine.RunSucceeded(content)
	case !httpbody.BrokenOff(err) || clock.SuspendedTime() > began.asleep || slices.Contains(d.cluster.LeavingUpstreams(), c.Choice.Upstream):
		// It says nothing of the upstream, or has its reason.
	default:
		d.quarantine.AttemptInterrupted(quarantine.InterruptedAttempt{
			Service: c.Stage.Pool, Replica: c.Choice.Upstream, Address: c.Choice.Address, Request: content, Began: began.at,
		})
	}
}

// ranWell says whether a call ran and its upstream lives: it answered, if only with
// an error.
func ranWell(err error) bool {
	if err == nil {
		return true
	}
	var e *service.Error
	return errors.As(err, &e) && e.Status >= http.StatusBadRequest && !e.NotExecuted && !httpbody.BrokenOff(err)
}

// condemnedCall ends a call that must not reach an upstream.
func condemnedCall(c request.Call) request.CallEnded {
	return request.CallEnded{
		Attempt: c.Attempt, Result: request.CallFailed, NotExecuted: true, Rejected: true, Detail: string(problem.Quarantined),
	}
}
