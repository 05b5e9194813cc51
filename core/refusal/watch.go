package refusal

import (
	"slices"
	"time"
)

// Reason says why a replica refused a request, as far as it can be seen.
type Reason string

// The reasons.
const (
	// Full: all places of the replica were taken, or requests waited there.
	Full Reason = "full"
	// LoadUntold: the replica does not tell its load, so nothing can be said.
	LoadUntold Reason = "load_untold"
	// InputsGone: results of stages that the request needs no longer exist.
	InputsGone Reason = "inputs_gone"
	// OtherReplica: another replica has the address now, or another version.
	OtherReplica Reason = "other_replica"
	// Unexplained: the replica had free places and nothing waited there.
	Unexplained Reason = "unexplained"
)

// Load is a replica's account of its load when it refused.
type Load struct {
	// Running and Waiting are requests, Slots the places for running ones.
	Running, Waiting, Slots int
}

// Explains says whether a replica with this load has reason to refuse.
func (l Load) Explains() bool { return l.Running >= l.Slots || l.Waiting > 0 }

const (
	// Window is the time over which attempts are counted: long enough for ten
	// refusals at the least busy services seen, five requests a second.
	Window = 10 * time.Second
	// MinRefusals is the number of unexplained refusals in a window, and
	// MinShare their share of the attempts, from which an alarm is raised. A
	// load header is as of when the answer was written, so that one or two
	// refusals of a full replica may look unexplained.
	MinRefusals = 10
	MinShare    = 0.05
	// MaxServices and MaxReplicas bound what a Watch remembers: beyond them
	// services are not watched and replicas not named.
	MaxServices = 256
	MaxReplicas = 8
)

// Attempt is the end of one attempt at a replica. Reason is "" unless it was
// refused.
type Attempt struct {
	Service, Replica string
	Reason           Reason
}

// Alarm says that a service refuses more than its load explains.
type Alarm struct {
	Service string
	// Attempts and Unexplained were counted over the last Window.
	Attempts, Unexplained int
	// Replicas names those that refused without a reason, MaxReplicas at most.
	Replicas []string
}

// Watch counts refusals by service.
type Watch struct {
	services map[string]*tally
}

// tally is what is counted of one service since began.
type tally struct {
	began                 time.Time
	attempts, unexplained int
	replicas              []string
	raised                bool
}

// New returns a Watch that has seen nothing.
func New() *Watch { return &Watch{services: map[string]*tally{}} }

// Observe takes the end of an attempt, and returns an alarm if it is the one
// from which the service's refusals are worth a line.
func (w *Watch) Observe(now time.Time, a Attempt) (Alarm, bool) {
	t := w.services[a.Service]
	if t == nil {
		if len(w.services) >= MaxServices {
			return Alarm{}, false
		}
		t = &tally{began: now}
		w.services[a.Service] = t
	}
	if now.Sub(t.began) >= Window {
		*t = tally{began: now}
	}
	t.attempts++
	if a.Reason == Unexplained {
		t.unexplained++
		if len(t.replicas) < MaxReplicas && !slices.Contains(t.replicas, a.Replica) {
			t.replicas = append(t.replicas, a.Replica)
		}
	}
	if t.raised || t.unexplained < MinRefusals || float64(t.unexplained) < MinShare*float64(t.attempts) {
		return Alarm{}, false
	}
	t.raised = true
	return Alarm{Service: a.Service, Attempts: t.attempts, Unexplained: t.unexplained, Replicas: slices.Clone(t.replicas)}, true
}
