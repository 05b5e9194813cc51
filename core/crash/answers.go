package crash

import (
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/core/poison"
)

const (
	// answersKept is the number of replicas of a service whose last answers are kept, the latest.
	answersKept = 8
	// maxIdleChecks is the maximum number of replicas that are checked at once for an outage.
	maxIdleChecks = poison.MinIdle + 1
	// answerLifetime is how long an answer shows that a replica was alive.
	answerLifetime = 10 * time.Second
)

// Answer is the last answer of a replica to this host.
type Answer struct {
	Replica, Address string
	At               time.Time
}

// Answers holds the replicas that answered one host last, by service. They are checked when
// another replica of the service crashes: if they have crashed too although nothing ran on them,
// no request is the cause. The zero value is ready to use.
type Answers struct {
	byService map[string][]Answer
}

// Record records that a replica answered.
func (a *Answers) Record(now time.Time, service, replica, address string) {
	if a.byService == nil {
		a.byService = map[string][]Answer{}
	}
	known := slices.DeleteFunc(a.byService[service], func(o Answer) bool { return o.Replica == replica })
	known = append(known, Answer{Replica: replica, Address: address, At: now})
	a.byService[service] = known[max(0, len(known)-answersKept):]
}

// Forget forgets the answers of a replica up to a time: it has crashed since.
func (a *Answers) Forget(service, replica string, until time.Time) {
	known, ok := a.byService[service]
	if !ok {
		return
	}
	a.byService[service] = slices.DeleteFunc(known, func(o Answer) bool { return o.Replica == replica && !o.At.After(until) })
}

// Idle returns the replicas of a service to check when another one has crashed, those that answered
// last; none if fewer than poison.MinIdle are known. busy reports whether attempts were interrupted
// on a replica after its answer.
func (a *Answers) Idle(now time.Time, service string, busy func(Answer) bool) []Answer {
	var idle []Answer
	for _, o := range a.byService[service] {
		if now.Sub(o.At) <= answerLifetime && !busy(o) {
			idle = append(idle, o)
		}
	}
	if len(idle) < poison.MinIdle {
		return nil
	}
	return idle[max(0, len(idle)-maxIdleChecks):] // the latest answers are the last ones
}
