package refusal

import (
	"slices"
	"time"
)

// Reason is the apparent reason for which a replica refused a request.
type Reason string

// The reasons.
const (
	// Full means that all slots of the replica were in use or that requests were queued
	// there.
	Full Reason = "full"
	// LoadUnknown means that the replica does not report its load, so that the refusal
	// cannot be classified.
	LoadUnknown Reason = "load_untold"
	// InputsMissing means that stage results which the request needs no longer exist.
	InputsMissing Reason = "inputs_gone"
	// ReplicaMismatch means that another replica, or another version of it, now has the
	// address.
	ReplicaMismatch Reason = "other_replica"
	// Unexplained means that the replica had free slots and no queued requests.
	Unexplained Reason = "unexplained"
)

// Load is the load that a replica reported with its refusal.
type Load struct {
	// Running and Waiting count requests. Slots is the number that the replica can run
	// at once.
	Running, Waiting, Slots int
}

// ExplainsRefusal reports whether a replica with this load has a reason to refuse requests.
func (l Load) ExplainsRefusal() bool { return l.Running >= l.Slots || l.Waiting > 0 }

const (
	// Window is the time over which attempts are counted. It is long enough to see ten
	// refusals at the least busy services, with five requests a second.
	Window = 10 * time.Second
	// An alarm is raised from MinRefusals unexplained refusals in a window, if they are
	// at least MinShare of the attempts. The load header shows the load at the time
	// when the response was written, so one or two refusals of a full replica may look
	// unexplained.
	MinRefusals = 10
	MinShare    = 0.05
	// MaxServices and MaxReplicas bound the memory of a Monitor. Services beyond
	// MaxServices are not counted, and an Alarm names at most MaxReplicas replicas.
	MaxServices = 256
	MaxReplicas = 8
)

// Attempt is the end of one attempt at a replica. Reason is empty unless the replica
// refused it.
type Attempt struct {
	Service, Replica string
	Reason           Reason
}

// Alarm reports that a service refuses more requests than its load explains.
type Alarm struct {
	Service string
	// Attempts and Unexplained are the counts in the current window.
	Attempts, Unexplained int
	// Replicas names the replicas with unexplained refusals, at most MaxReplicas of
	// them.
	Replicas []string
}

// Monitor counts refusals by service.
type Monitor struct {
	services map[string]*windowCounts
}

// windowCounts holds the counts of one service since windowStart.
type windowCounts struct {
	windowStart           time.Time
	attempts, unexplained int
	replicas              []string
	alarmRaised           bool
}

// New returns a Monitor without any counts.
func New() *Monitor { return &Monitor{services: map[string]*windowCounts{}} }

// Observe counts the end of an attempt. It returns an alarm if this attempt makes the
// service cross the thresholds for the first time in the window.
func (w *Monitor) Observe(now time.Time, a Attempt) (Alarm, bool) {
	t := w.services[a.Service]
	if t == nil {
		if len(w.services) >= MaxServices {
			return Alarm{}, false
		}
		t = &windowCounts{windowStart: now}
		w.services[a.Service] = t
	}
	if now.Sub(t.windowStart) >= Window {
		*t = windowCounts{windowStart: now}
	}
	t.attempts++
	if a.Reason == Unexplained {
		t.unexplained++
		if len(t.replicas) < MaxReplicas && !slices.Contains(t.replicas, a.Replica) {
			t.replicas = append(t.replicas, a.Replica)
		}
	}
	if t.alarmRaised || t.unexplained < MinRefusals || float64(t.unexplained) < MinShare*float64(t.attempts) {
		return Alarm{}, false
	}
	t.alarmRaised = true
	return Alarm{Service: a.Service, Attempts: t.attempts, Unexplained: t.unexplained, Replicas: slices.Clone(t.replicas)}, true
}
