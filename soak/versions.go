package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// softwareVersions are the versions of the engines, side by side.
var softwareVersions = [...]string{"v1", "v2"}

// The guarantee for streams that callers take up, at any daemon: their events are all of one
// version. Of at least minTakenUp streams that are taken up at undisturbed daemons while two
// healthy engines of their version serve, the share that goes on is at least half of the share
// of new streams that begin there.
//
// The bound comes from the users' rule for streams that are taken up: they go on at least half as
// often as new streams begin, while two sound replicas of their version are listed. The rule makes
// no exception for a loss of all daemons, so that it is checked after one as well, for streams
// that were taken up within streamPatience after it, with replicas that were sound and listed since
// the stream began.
const (
	minTakenUp         = 12
	minTakenUpFraction = 0.5
	minEngines         = 2
	// maxTakeUpDelay is the longest time until a caller takes up a stream that broke off.
	maxTakeUpDelay = 300 * time.Millisecond
	// In runs with losses, callers take a stream up to maxTakeUps times, for up to
	// streamPatience after its beginning (see patience), up to maxLateTakeUpDelay after an attempt.
	maxTakeUps         = 4
	streamPatience     = 10 * time.Second
	maxLateTakeUpDelay = 3 * time.Second
	// minConnectDelay is the shortest time after which a caller tries another daemon if it could
	// not connect to one.
	minConnectDelay = 50 * time.Millisecond
)

// takeUp takes up a resumable stream that broke off, at a random daemon.
func (c *caller) takeUp(ctx context.Context, att attempt) {
	if c.r.cfg.Losses {
		c.keepStream(ctx, att)
		return
	}
	last := att.lastEvent()
	left := att.call.Deadline - time.Since(att.startedAt) - maxTakeUpDelay
	if !att.call.Resumable() || att.abandoned || att.response.Err == nil || last == 0 || last == eventsPerStream || left <= 0 {
		return
	}
	time.Sleep(randomDuration(c.rng, 0, maxTakeUpDelay))
	call := att.call
	call.ID, call.Content, call.Resumes, call.LastEvent, call.Deadline = att.call.ID+"-again", att.call.Payload(), att.call.ID, last, left
	c.r.send(http.DefaultClient, c.rng, c.r.daemons[c.rng.IntN(len(c.r.daemons))], call)
}

// keepStream takes up a resumable stream that broke off, at random daemons, until it is complete,
// maxTakeUps attempts have failed, or its patience or ctx has ended. Daemons that can't be
// connected to don't count. It uses the caller's open connections.
func (c *caller) keepStream(ctx context.Context, first attempt) {
	if !first.call.Resumable() || first.response.Err == nil {
		return
	}
	att, last, connected := first, first.lastEvent(), 0
	for n := 1; connected < maxTakeUps && last > 0 && last < eventsPerStream && !att.abandoned && !att.complete(); n++ {
		if att.connected() {
			sleep(ctx, randomTakeUpDelay(c.rng))
		} else {
			sleep(ctx, randomDuration(c.kinds, minConnectDelay, maxTakeUpDelay))
		}
		left := min(first.call.Deadline, c.r.patience(first.call)-time.Since(first.startedAt))
		if left <= 0 || ctx.Err() != nil {
			return
		}
		call := first.call
		call.ID, call.Content, call.Resumes = fmt.Sprintf("%s-again-%d", first.call.ID, n), first.call.Payload(), first.call.ID
		call.LastEvent, call.Deadline = last, left
		att = c.r.send(c.client, c.rng, c.r.daemons[c.rng.IntN(len(c.r.daemons))], call)
		last = max(last, att.lastEvent())
		if att.connected() {
			connected++
		}
	}
}

// randomTakeUpDelay is at once, after a moment, or after seconds.
func randomTakeUpDelay(rng *rand.Rand) time.Duration {
	switch rng.IntN(3) {
	case 0:
		return 0
	case 1:
		return randomDuration(rng, 0, maxTakeUpDelay)
	}
	return randomDuration(rng, time.Second, maxLateTakeUpDelay)
}

// events is the part of the stream that the caller received.
func (att attempt) events() string {
	if att.response.Status != http.StatusOK {
		return ""
	}
	return att.response.Body
}

// lastEvent returns the ID of the last complete event that the caller received; 0 for none.
func (att attempt) lastEvent() int {
	events, _ := site.ParseEvents(att.events())
	if len(events) == 0 {
		return 0
	}
	return events[len(events)-1].ID
}

// connected reports whether the caller was connected to the daemon.
func (att attempt) connected() bool {
	var e *net.OpError
	return !errors.As(att.response.Err, &e) || e.Op != "dial"
}

// complete reports whether the caller received a whole successful answer.
func (att attempt) complete() bool {
	return att.response.Err == nil && att.response.Status == http.StatusOK
}

// callerStream is a resumable stream over all attempts of its caller, in order.
type callerStream []attempt

// callerStreams returns the resumable streams, by their first attempts.
func (r *runner) callerStreams() []callerStream {
	index := map[string]int{}
	var out []callerStream
	for _, att := range r.attempts {
		if !att.call.Resumable() {
			continue
		}
		if i, begun := index[att.call.Resumes]; begun && att.call.Resumes != "" {
			out[i] = append(out[i], att)
			continue
		}
		index[att.call.ID] = len(out)
		out = append(out, callerStream{att})
	}
	return out
}

// eventsOf returns the events of the first n attempts.
func (s callerStream) eventsOf(n int) string {
	var b strings.Builder
	for _, att := range s[:n] {
		b.WriteString(att.events())
	}
	return b.String()
}

// lastEvent returns the ID of the last complete event that the caller received; 0 for none.
func (s callerStream) lastEvent() int {
	last := 0
	for _, att := range s {
		last = max(last, att.lastEvent())
	}
	return last
}

// String describes the attempts that brought events.
func (s callerStream) String() string {
	var parts []string
	for _, att := range s {
		if versions := site.EventVersions(att.events()); len(versions) > 0 {
			parts = append(parts, fmt.Sprintf("%s by %s: %v", att.call.ID, att.daemon.name, versions))
		}
	}
	return strings.Join(parts, ", ")
}

// shareTally counts new streams, and those that were taken up.
type shareTally struct{ sent, begun, takenUp, continued int }

// add counts one attempt.
func (t *shareTally) add(att attempt) {
	served := 0
	if site.CompleteEvents(att.events()) > 0 {
		served = 1
	}
	if att.call.Resumes == "" {
		t.sent, t.begun = t.sent+1, t.begun+served
	} else {
		t.takenUp, t.continued = t.takenUp+1, t.continued+served
	}
}

// shares returns which shares went on and began; false if too few were taken up.
func (t shareTally) shares() (continued, begun float64, enough bool) {
	if t.takenUp < minTakenUp || t.sent == 0 {
		return 0, 0, false
	}
	return float64(t.continued) / float64(t.takenUp), float64(t.begun) / float64(t.sent), true
}

// checkVersions checks the streams that were taken up.
func (r *runner) checkVersions() {
	var all, afterLoss shareTally
	for _, s := range r.callerStreams() {
		for i, att := range s {
			versions := site.EventVersions(s.eventsOf(max(1, i)))
			if i > 0 {
				r.checkRefusedResume(att)
			}
			if r.counts(att) && (i == 0 || r.healthyEngines(versions, att) >= minEngines) {
				all.add(att)
			}
			if i == 0 && r.countsAfterLoss(s[0], att) || i > 0 && r.mustGoOnAfterLoss(s, i) {
				afterLoss.add(att)
			}
		}
	}
	r.report.TakenUp, r.report.Continued, r.report.Losses = all.takenUp, all.continued, len(r.lossesOfAll())
	r.report.TakenUpAfterLoss, r.report.ContinuedAfterLoss = afterLoss.takenUp, afterLoss.continued
	r.report.SentAfterLoss, r.report.BegunAfterLoss = afterLoss.sent, afterLoss.begun
	if continued, begun, enough := all.shares(); enough && continued < minTakenUpFraction*begun {
		r.recordViolation("order: of %d streams that were taken up, %.2f went on; of %d new ones, %.2f began", all.takenUp, continued, all.sent, begun)
	}
	if continued, begun, enough := afterLoss.shares(); enough && continued < minTakenUpFraction*begun {
		r.recordViolation("lost: of %d streams that were taken up after all daemons were lost, %.2f went on; of %d new ones, %.2f began", afterLoss.takenUp, continued, afterLoss.sent, begun)
	}
}

// counts reports whether an attempt was made at an undisturbed daemon.
func (r *runner) counts(att attempt) bool {
	return !att.abandoned && att.daemon.undisturbedBetween(att.startedAt.Add(-undisturbedMargin), att.endedAt)
}

// countsAfterLoss reports whether an attempt was answered, by a daemon that nothing disturbed
// meanwhile, within streamPatience after a loss of all daemons. A stream that was taken up must
// have begun before that loss.
func (r *runner) countsAfterLoss(first, att attempt) bool {
	if att.abandoned || att.response.Status == 0 || !att.daemon.undisturbedBetween(att.startedAt, att.endedAt) {
		return false
	}
	return slices.ContainsFunc(r.lossesOfAll(), func(at time.Time) bool {
		within := att.startedAt.After(at) && att.startedAt.Before(at.Add(streamPatience))
		return within && (att.call.Resumes == "" || first.startedAt.Before(at))
	})
}

// mustGoOnAfterLoss reports whether the guarantee for streams that are taken up after a loss of all
// daemons applies to the attempt of a stream with an index of at least 1.
func (r *runner) mustGoOnAfterLoss(s callerStream, i int) bool {
	versions := site.EventVersions(s.eventsOf(i))
	return r.countsAfterLoss(s[0], s[i]) && r.soundEngines(versions, s[0].startedAt, s[i].endedAt) >= minEngines
}

// checkRefusedResume checks that a resume that was answered as not run has not run.
func (r *runner) checkRefusedResume(att attempt) {
	if runs := r.ledger.Runs(att.call.ID); att.response.NotExecuted() && len(runs) > 0 {
		r.recordViolation("refusal: %s, which takes up %s, was answered %d, which says that it did not run, but it ran at %s: %s", att.call.ID, att.call.Resumes, att.response.Status, runs[0].Replica, strings.TrimSpace(att.response.Body))
	}
}

// healthyEngines returns the number of engines of a version that were healthy and not draining
// during an attempt.
func (r *runner) healthyEngines(versions []string, att attempt) int {
	return r.enginesBetween(versions, att.startedAt, att.endedAt, func(*site.Replica) bool { return true })
}

// soundEngines returns the number of engines of a version that were healthy and listed as ready
// from one time to another, and did not announce that they are leaving.
func (r *runner) soundEngines(versions []string, from, to time.Time) int {
	return r.enginesBetween(versions, from, to, func(rep *site.Replica) bool {
		since, leaving := r.leavingSince[rep.ID]
		return r.listedBetween(rep, from, to) && !(leaving && since.Before(to))
	})
}

// listedBetween reports whether the store had the entry of a replica from one time to another,
// unless the replica drained.
func (r *runner) listedBetween(rep *site.Replica, from, to time.Time) bool {
	added := r.addedAt[rep.ID]
	lost := slices.ContainsFunc(r.restores, func(s restore) bool {
		return added.After(s.copiedAt) && s.from.Before(to) && s.until.After(from)
	})
	return added.Before(from) && !lost
}

// enginesBetween returns the number of engines of a version that were healthy and not draining
// between two times, and for which also holds.
func (r *runner) enginesBetween(versions []string, from, to time.Time, also func(*site.Replica) bool) int {
	n := 0
	for _, rep := range r.replicas {
		since, draining := r.drainingSince[rep.ID]
		if slices.Contains(versions, rep.Version) && rep.HealthyThroughout(from, to) && !(draining && since.Before(to)) && also(rep) {
			n++
		}
	}
	return n
}
