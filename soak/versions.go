package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// softwareVersions are the versions of the engines, side by side.
var softwareVersions = [...]string{"v1", "v2"}

// The guarantee for streams that callers take up, at any daemon: their events are all of one
// version. Of at least minTakenUp streams that are taken up at undisturbed daemons while two
// healthy engines of their version serve, the share that goes on is at least half of the share
// of new streams that begin there.
const (
	minTakenUp         = 12
	minTakenUpFraction = 0.5
	minEngines         = 2
	// maxTakeUpDelay is the longest time until a caller takes up a stream that broke off.
	maxTakeUpDelay = 300 * time.Millisecond
)

// takeUp takes up a resumable stream that broke off, at a random daemon.
func (r *runner) takeUp(rng *rand.Rand, att attempt) {
	last := site.CompleteEvents(att.response.Body)
	left := callDeadline - time.Since(att.startedAt) - maxTakeUpDelay
	if att.call.Path != site.ResumablePath || att.abandoned || att.response.Err == nil || last == 0 || last == eventsPerStream || left <= 0 {
		return
	}
	time.Sleep(randomDuration(rng, 0, maxTakeUpDelay))
	c := att.call
	c.ID, c.Content, c.Resumes, c.LastEvent, c.Deadline = att.call.ID+"-again", att.call.Payload(), att.call.ID, last, left
	r.send(http.DefaultClient, rng, r.daemons[rng.IntN(len(r.daemons))], c)
}

// checkVersions checks the streams that were taken up.
func (r *runner) checkVersions() {
	first := map[string]attempt{}
	begun, sent, continued, takenUp := 0, 0, 0, 0
	for _, att := range r.attempts {
		if att.call.Path != site.ResumablePath {
			continue
		}
		counts := !att.abandoned && att.daemon.undisturbedBetween(att.startedAt.Add(-undisturbedMargin), att.endedAt)
		served := site.CompleteEvents(att.response.Body) > 0
		if att.call.Resumes == "" {
			first[att.call.ID] = att
			if counts {
				sent++
				if served {
					begun++
				}
			}
			continue
		}
		whole := first[att.call.Resumes].response.Body + att.response.Body
		if versions := site.EventVersions(whole); len(versions) > 1 {
			r.recordViolation("order: %s, begun at %s by %s, went on at %s with events of versions %v", att.call.ID, first[att.call.Resumes].daemon.name, att.call.Resumes, att.daemon.name, versions)
		}
		if counts && r.healthyEngines(site.EventVersions(whole), att) >= minEngines {
			takenUp++
			if served {
				continued++
			}
		}
	}
	r.report.TakenUp, r.report.Continued = takenUp, continued
	if takenUp < minTakenUp || sent == 0 {
		return
	}
	if share, new := float64(continued)/float64(takenUp), float64(begun)/float64(sent); share < minTakenUpFraction*new {
		r.recordViolation("order: of %d streams that were taken up, %.2f went on; of %d new ones, %.2f began", takenUp, share, sent, new)
	}
}

// healthyEngines returns the number of engines of a version that were healthy and not draining
// during an attempt.
func (r *runner) healthyEngines(versions []string, att attempt) int {
	n := 0
	for _, rep := range r.replicas {
		since, draining := r.drainingSince[rep.ID]
		if slices.Contains(versions, rep.Version) && rep.HealthyThroughout(att.startedAt, att.endedAt) && !(draining && since.Before(att.endedAt)) {
			n++
		}
	}
	return n
}
