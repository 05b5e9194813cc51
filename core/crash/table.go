package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/wheatseam/wheatseam/core/poison"
)

const (
	// MaxReplicas is the maximum number of replicas with interrupted attempts, of which the
	// latest are kept, and MaxInterruptions the maximum number of attempts of each.
	MaxReplicas      = 256
	MaxInterruptions = poison.MaxSuspects
	// Retention is how long interrupted attempts and confirmed crashes are kept: longer than
	// an attempt lasts that a silent cut keeps open.
	Retention = 20 * time.Second
	// minRestart is the time that a process needs at least until it accepts connections
	// again.
	minRestart = 500 * time.Millisecond
	// decisiveRefusals is the number of hosts that confirm a crash with one check, and
	// repeatedAfter the time after which one host confirms it with another check.
	decisiveRefusals = 2
	repeatedAfter    = 200 * time.Millisecond
	// maxLapse is the time after a crash within which the store removes the entry: three
	// intervals between a replica's writes, and the delay of the listing.
	maxLapse = 8 * time.Second
	// usualLapse is the usual time from a crash until the store's listing shows it.
	usualLapse = 3 * time.Second
)

// checkDelays are the times after the first interrupted attempt at which a replica is checked
// until the result is known. When a process ends, all its connections close within 1 to 2 ms
// and its port is closed by then, so that one check usually suffices for all attempts.
var checkDelays = [...]time.Duration{
	10 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1500 * time.Millisecond, 2400 * time.Millisecond,
}

// Check is a check that is due.
type Check struct {
	Replica, Address string
	// Last says that no further one follows if the result is unknown.
	Last bool
	// Suspects are the attempts that the result concerns.
	Suspects []poison.Suspect
}

// Confirmed is a crash that is confirmed, with the attempts that it interrupted and that were
// not returned before.
type Confirmed struct {
	poison.Crash
	Proof Proof
	// Again says that the crash has been returned before, with other attempts.
	Again bool
}

// Table holds the interrupted attempts of one host. The zero value is ready to use.
type Table struct {
	replicas map[string]*replica
}

// replica is one start of a replica at which attempts were interrupted.
type replica struct {
	service, address string
	// firstAt and lastAt are when the first and the last attempt ended.
	firstAt, lastAt time.Time
	pending         []Interruption
	// checkFrom is when the interruption occurred from which on checks are scheduled; zero if
	// none are. checks is the number of those that were begun, and checking says that one is
	// under way.
	checkFrom time.Time
	checks    int
	checking  bool
	// refusedAt is when one host was first refused since checkFrom; zero if none was.
	refusedAt time.Time
	// accepted says that a host has connected minRestart after the interruption or later.
	accepted bool
	// removedAt is when the store's listing no longer contained it; zero if it does.
	removedAt time.Time
	// crashedAt is when the replica crashed, and proof why that is known.
	crashedAt time.Time
	proof     Proof
}

// Interrupted records an attempt. It returns the crash if it is known already.
func (t *Table) Interrupted(now time.Time, i Interruption) []Confirmed {
	t.expire(now)
	r := t.replicas[i.Replica]
	if r == nil || r.proof != noProof && i.began().After(r.crashedAt) {
		// A replica that restarts may keep its ID.
		delete(t.replicas, i.Replica)
		r = &replica{service: i.Service, address: i.Address, firstAt: i.At}
		t.add(i.Replica, r)
	}
	if r.proof != noProof && !i.interruptedBy(r.crashedAt) {
		return nil
	}
	if i.At.After(r.lastAt) {
		r.lastAt = i.At
	}
	if r.pending = append(r.pending, i); len(r.pending) > MaxInterruptions {
		r.pending = r.pending[1:]
	}
	if r.proof != noProof {
		return r.take(i.Replica, true)
	}
	if _, scheduled := r.nextCheck(); i.End != Unanswered && !scheduled && !r.checking {
		r.scheduleChecks(i.At)
	}
	return nil
}

// scheduleChecks starts the checks anew.
func (r *replica) scheduleChecks(from time.Time) {
	r.checkFrom, r.checks, r.refusedAt, r.accepted = from, 0, time.Time{}, false
}

// add adds a replica, and drops the one whose first attempt was interrupted longest ago if
// there are too many.
func (t *Table) add(id string, r *replica) {
	if t.replicas == nil {
		t.replicas = map[string]*replica{}
	}
	if len(t.replicas) >= MaxReplicas {
		ids := t.ids()
		delete(t.replicas, slices.MinFunc(ids, func(a, b string) int {
			return t.replicas[a].firstAt.Compare(t.replicas[b].firstAt)
		}))
	}
	t.replicas[id] = r
}

// ids returns the replicas in a fixed order.
func (t *Table) ids() []string {
	out := make([]string, 0, len(t.replicas))
	for id := range t.replicas {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Len returns the number of replicas with interrupted attempts.
func (t *Table) Len() int { return len(t.replicas) }

// InterruptedSince reports whether attempts were interrupted at a replica after a time.
func (t *Table) InterruptedSince(replica string, at time.Time) bool {
	r := t.replicas[replica]
	return r != nil && r.lastAt.After(at)
}

// Replicas returns the replicas about whose listing the table is to be told, with their
// addresses.
func (t *Table) Replicas() map[string]string {
	out := map[string]string{}
	for id, r := range t.replicas {
		if r.proof == noProof {
			out[id] = r.address
		}
	}
	return out
}

// Due returns the checks that are due, and the time until the next one; 0 for none. Each is to
// be made, and its result passed to Checked.
func (t *Table) Due(now time.Time) (due []Check, next time.Duration) {
	t.expire(now)
	for _, id := range t.ids() {
		r := t.replicas[id]
		at, wanted := r.nextCheck()
		if !wanted {
			continue
		}
		if wait := at.Sub(now); wait > 0 {
			if next == 0 || wait < next {
				next = wait
			}
			continue
		}
		r.checking = true
		r.checks++
		due = append(due, Check{Replica: id, Address: r.address, Last: r.checks == len(checkDelays), Suspects: r.suspects()})
	}
	return due, next
}

// nextCheck returns when the replica is to be checked next; false if it is not.
func (r *replica) nextCheck() (time.Time, bool) {
	if r.proof != noProof || r.checking || r.accepted || r.checkFrom.IsZero() || r.checks >= len(checkDelays) {
		return time.Time{}, false
	}
	return r.checkFrom.Add(checkDelays[r.checks]), true
}

// Checked records the result of a check that began at the given time.
func (t *Table) Checked(began time.Time, id string, c CheckResult) []Confirmed {
	r := t.replicas[id]
	if r == nil || r.proof != noProof {
		return nil
	}
	r.checking = false
	switch n := c.refusals(r.checkFrom); {
	case c.Accepted:
		t.connected(began, id, r)
		return nil
	case c.Crashed(r.checkFrom):
		return r.confirmByPath(id, RefusedByHosts)
	case n == 0:
	case r.refusedAt.IsZero():
		r.refusedAt = began
	case began.Sub(r.refusedAt) >= repeatedAfter:
		return r.confirmByPath(id, RefusedByOneHost)
	}
	if !r.removedAt.IsZero() && !r.refusedAt.IsZero() {
		return r.confirmByListing(r.removedAt, id, EntryRemoved)
	}
	return nil
}

// connected records that a process listens at the address of a replica.
func (t *Table) connected(began time.Time, id string, r *replica) {
	if r.broken() && began.Sub(r.checkFrom) < minRestart {
		delete(t.replicas, id)
		return
	}
	r.accepted = true
}

// Listed records what the store lists about a replica.
func (t *Table) Listed(now time.Time, id string, l Listing) []Confirmed {
	r := t.replicas[id]
	if r == nil || r.proof != noProof {
		return nil
	}
	switch {
	case l == Draining:
		delete(t.replicas, id)
	case l == Replaced:
		return r.confirmByListing(now, id, ReplicaReplaced)
	case l == Removed && r.removedAt.IsZero() && !r.accepted:
		return r.entryRemoved(now, id)
	}
	return nil
}

// entryRemoved records that the store has removed a replica. If no connection broke, further
// checks tell a crash from a replica that was cut off from the store and still serves.
func (r *replica) entryRemoved(now time.Time, id string) []Confirmed {
	r.removedAt = now
	if r.broken() || !r.refusedAt.IsZero() {
		return r.confirmByListing(now, id, EntryRemoved)
	}
	if !r.checking {
		r.scheduleChecks(now.Add(-checkDelays[0]))
	}
	return nil
}

// broken reports whether a connection of an attempt broke.
func (r *replica) broken() bool {
	return slices.ContainsFunc(r.pending, func(i Interruption) bool { return i.End == Broken })
}

// confirmByPath confirms a crash that interrupted the attempts since the checks began.
func (r *replica) confirmByPath(id string, p Proof) []Confirmed {
	return r.confirm(id, r.checkFrom.Add(-minRestart), r.checkFrom, p)
}

// confirmByListing confirms a crash that the store's listing has shown at the given time.
func (r *replica) confirmByListing(shownAt time.Time, id string, p Proof) []Confirmed {
	return r.confirm(id, shownAt.Add(-maxLapse), shownAt.Add(-usualLapse), p)
}

// confirm records that a replica has crashed, and returns the crash with the attempts that
// ended since the given time: earlier ones ended for another reason. The crash occurred when
// the first connection broke; if none did, at the estimated time, but not before the replica
// was last heard.
func (r *replica) confirm(id string, since, estimate time.Time, p Proof) []Confirmed {
	r.pending = slices.DeleteFunc(r.pending, func(i Interruption) bool { return i.At.Before(since) })
	if len(r.pending) == 0 {
		return nil
	}
	r.crashedAt, r.proof = crashTime(r.pending, estimate), p
	r.pending = slices.DeleteFunc(r.pending, func(i Interruption) bool { return !i.interruptedBy(r.crashedAt) })
	return r.take(id, false)
}

// crashTime is when the first connection broke, or else the estimate or when the replica was
// last heard, whichever is later.
func crashTime(interrupted []Interruption, estimate time.Time) time.Time {
	var broke time.Time
	for _, i := range interrupted {
		switch {
		case i.End != Broken:
			if i.LastHeard.After(estimate) {
				estimate = i.LastHeard
			}
		case broke.IsZero() || i.At.Before(broke):
			broke = i.At
		}
	}
	if broke.IsZero() {
		return estimate
	}
	return broke
}

// interruptedBy reports whether a crash at the given time can have interrupted the attempt. One
// that ended before it was cancelled while its replica still ran.
func (i Interruption) interruptedBy(crashedAt time.Time) bool {
	return i.End == Broken || !i.At.Before(crashedAt) && i.LastHeard.Before(crashedAt.Add(minRestart))
}

// take returns the crash with the attempts that have not been returned yet.
func (r *replica) take(id string, again bool) []Confirmed {
	if len(r.pending) == 0 {
		return nil
	}
	c := poison.Crash{Service: r.service, Replica: id, At: r.crashedAt, Suspects: r.suspects()}
	r.pending = nil
	return []Confirmed{{Crash: c, Proof: r.proof, Again: again}}
}

// suspects returns the subjects of the attempts, each part once, and those of the attempts that
// began last first.
func (r *replica) suspects() []poison.Suspect {
	latest := slices.Clone(r.pending)
	slices.SortStableFunc(latest, func(a, b Interruption) int { return cmp.Compare(a.Suspect.RunTime, b.Suspect.RunTime) })
	out := make([]poison.Suspect, 0, len(latest))
	seen := map[poison.Fingerprint]bool{}
	for _, i := range latest {
		out = append(out, i.Suspect)
		for _, f := range i.Parts {
			if !seen[f] {
				seen[f] = true
				out = append(out, poison.Suspect{Subject: f, Kind: poison.Part, RunTime: i.Suspect.RunTime})
			}
		}
	}
	return out
}

// expire drops replicas whose attempts ended too long ago.
func (t *Table) expire(now time.Time) {
	for id, r := range t.replicas {
		if now.Sub(r.lastAt) > Retention {
			delete(t.replicas, id)
		}
	}
}

// State is what is known about one replica, for operators.
type State struct {
	Replica string `json:"replica"`
	// AgeS is for how many seconds attempts have been interrupted.
	AgeS float64 `json:"age_s"`
	// Attempts is the number of attempts that are not attributed to a crash.
	Attempts int    `json:"attempts"`
	Checks   int    `json:"checks"`
	Proof    string `json:"proof"`
}

// States returns what is known about all replicas.
func (t *Table) States(now time.Time) []State {
	out := []State{}
	for _, id := range t.ids() {
		r := t.replicas[id]
		out = append(out, State{Replica: id, AgeS: now.Sub(r.firstAt).Seconds(), Attempts: len(r.pending), Checks: r.checks, Proof: r.proof.String()})
	}
	return out
}
