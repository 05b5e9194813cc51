package claim

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Errors of Views.Adopt.
var (
	// ErrForeignLineage refuses a lineage that does not name the list in force:
	// two majorities for one key could follow.
	ErrForeignLineage = errors.New("lineage lacks the host list in force")
	// ErrEpochReused refuses another host list under an epoch in force.
	ErrEpochReused = errors.New("epoch names another host list")
)

// Adoption is the moment, by a daemon's wall clock, from which it granted under
// no list before Epoch any more.
type Adoption struct {
	Epoch uint64
	At    time.Time
}

// Ack is what one incarnation of a daemon has adopted, oldest first. An
// incarnation never goes back to an earlier list.
type Ack struct {
	Incarnation uint64
	Adopted     []Adoption
}

// epoch returns the list in force at the daemon.
func (a Ack) epoch() uint64 {
	if len(a.Adopted) == 0 {
		return 0
	}
	return a.Adopted[len(a.Adopted)-1].Epoch
}

// after returns when the daemon adopted the first list after epoch.
func (a Ack) after(epoch uint64) (time.Time, bool) {
	i := slices.IndexFunc(a.Adopted, func(x Adoption) bool { return x.Epoch > epoch })
	if i < 0 {
		return time.Time{}, false
	}
	return a.Adopted[i].At, true
}

// Status is what a daemon tells its peers about its host lists.
type Status struct {
	Host string
	Ack
	// Synced says that the daemon has caught up since its start.
	Synced bool
	// Incarnations are the newest ones that the daemon has heard of, itself
	// included.
	Incarnations map[string]uint64
	// Relayed are the acknowledgements that the daemon has heard, by host, so
	// that they outlive the hosts that gave them.
	Relayed map[string]Ack
}

// Views is a daemon's knowledge of the host lists. It is not safe for
// concurrent use; grants under a list and Adopt must exclude each other.
type Views struct {
	host        string
	incarnation uint64
	policy      Policy
	off         guards

	lineage Lineage
	adopted []Adoption
	synced  bool
	// answered are the peers' statuses that know this incarnation.
	answered map[string]Status
	// acks are the newest ones heard of daemons that have caught up, by host.
	acks map[string]Ack
	// incarnations are the newest ones known, by host.
	incarnations map[string]uint64
	clockOff     bool
}

// NewViews returns the views of a process that found lineage at its start. It
// is not synced until Hear says so.
func NewViews(host string, incarnation uint64, now time.Time, l Lineage, p Policy) *Views {
	v := &Views{
		host:         host,
		incarnation:  incarnation,
		policy:       p,
		lineage:      l,
		adopted:      []Adoption{{l.Current.Epoch, now}},
		answered:     make(map[string]Status),
		acks:         make(map[string]Ack),
		incarnations: map[string]uint64{host: incarnation},
	}
	v.sync()
	return v
}

// Adopt takes a newer lineage. An older one, or the same one again, is ignored:
// a list in force never reverts.
func (v *Views) Adopt(now time.Time, l Lineage) error {
	inForce := v.lineage.Current
	if l.Current.Epoch < inForce.Epoch {
		return nil
	}
	same, ok := l.find(inForce.Epoch)
	if !ok {
		return fmt.Errorf("%w: epoch %d, in force %d", ErrForeignLineage, l.Current.Epoch, inForce.Epoch)
	}
	if !same.sameHosts(inForce) {
		return fmt.Errorf("%w: epoch %d", ErrEpochReused, inForce.Epoch)
	}
	if l.Current.Epoch > inForce.Epoch {
		v.adopted = append(slices.Clip(v.adopted), Adoption{l.Current.Epoch, now})
	}
	v.lineage = l
	v.sync()
	return nil
}

// Status returns what to tell a peer. The peer must not change it.
func (v *Views) Status() Status {
	return Status{
		Host:         v.host,
		Ack:          v.ack(),
		Synced:       v.synced,
		Incarnations: maps.Clone(v.incarnations),
		Relayed:      maps.Clone(v.acks),
	}
}

func (v *Views) ack() Ack { return Ack{v.incarnation, v.adopted} }

// Hear takes a peer's status.
func (v *Views) HandleStatus(s Status) {
	if s.Incarnation < v.incarnations[s.Host] {
		return
	}
	for host, inc := range s.Incarnations {
		v.incarnations[host] = max(v.incarnations[host], inc)
	}
	for host, a := range s.Relayed {
		v.note(host, a)
	}
	if s.Synced {
		v.note(s.Host, s.Ack)
	}
	if s.Incarnations[v.host] != v.incarnation && !v.off.noSyncEcho {
		return
	}
	if s.epoch() >= v.answered[s.Host].epoch() {
		v.answered[s.Host] = s
		v.sync()
	}
}

// note keeps the newest acknowledgement of a host.
func (v *Views) note(host string, a Ack) {
	old := v.acks[host]
	if a.Incarnation > old.Incarnation || a.Incarnation == old.Incarnation && a.epoch() > old.epoch() {
		v.acks[host] = a
	}
}

// SetClock tells by how much the peers' clocks differ from this host's. The
// median decides, so that one wrong clock puts only its own host out.
func (v *Views) SetClockOffsets(offsets []time.Duration) {
	v.clockOff = false
	if len(offsets) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(offsets))
	v.clockOff = sorted[len(sorted)/2].Abs() > v.policy.MaxClockSkew && !v.off.noClockCheck
}

// Ready says whether the daemon may grant and claim: it has caught up since its
// start, its clock agrees with its peers', and its list names it.
func (v *Views) Ready() bool {
	return v.synced && !v.clockOff && v.lineage.Current.Has(v.host)
}

// Serves says whether the daemon may grant: as Ready, but a host that the
// current list has dropped still serves the earlier lists' groups.
func (v *Views) CanGrant() bool { return v.synced && !v.clockOff }

// Epoch returns the number of the current list.
func (v *Views) Epoch() uint64 { return v.lineage.Current.Epoch }

// sync marks the daemon as caught up once it can't have missed a list that
// anyone may count as acknowledged. A majority of the current list's hosts must
// have answered this very incarnation, caught up themselves; whoever
// acknowledged a later list is among them. When a deployment starts, nobody has
// caught up: then all hosts must have answered.
func (v *Views) sync() {
	if v.synced {
		return
	}
	if v.off.noSync {
		v.synced = true
		return
	}
	current := v.lineage.Current
	caughtUp, heard := 0, 0
	for _, h := range current.Hosts {
		if h.Name == v.host {
			heard++
			continue
		}
		s, ok := v.answered[h.Name]
		if !ok {
			continue
		}
		heard++
		if s.Synced {
			caughtUp++
		}
	}
	for _, s := range v.answered {
		if s.epoch() > current.Epoch {
			return
		}
	}
	v.synced = caughtUp >= majority(len(current.Hosts)) || heard == len(current.Hosts)
}

// Quorums returns the groups of which a claim on key needs a majority each: the
// current list's and those of the earlier lists that have not retired for key.
func (v *Views) Quorums(key Key) []Quorum {
	quorums := []Quorum{v.quorum(v.lineage.Current, key)}
	for _, e := range v.lineage.Earlier {
		q := v.quorum(e, key)
		if v.off.noJoint || v.retired(e, q, key) {
			continue
		}
		quorums = append(quorums, q)
	}
	return quorums
}

func (v *Views) quorum(view View, key Key) Quorum {
	return Quorum{Epoch: view.Epoch, Holders: Group(view.Hosts, key, v.policy.GroupSize)}
}

// retired says that no majority of q can still grant key under view alone, nor
// ever will: a majority of the view's hosts, among them a majority of q, has
// acknowledged a later list before the key was made.
func (v *Views) retired(view View, q Quorum, key Key) bool {
	all, inGroup := 0, 0
	for _, h := range view.Hosts {
		if !v.acknowledged(h, view.Epoch, key) {
			continue
		}
		all++
		if slices.Contains(q.Holders, h.Name) {
			inGroup++
		}
	}
	if v.off.noAckQuorum {
		return all > 0
	}
	return all >= majority(len(view.Hosts)) && inGroup >= majority(len(q.Holders))
}

// acknowledged says that a host grants key under no list up to epoch.
func (v *Views) acknowledged(h Host, epoch uint64, key Key) bool {
	if !h.EndedAt.IsZero() {
		return v.madeAfter(key, h.EndedAt)
	}
	a := v.acks[h.Name]
	if h.Name == v.host && v.synced {
		a = v.ack()
	}
	// A restart since then may have forgotten the acknowledgement.
	if a.Incarnation < v.incarnations[h.Name] && !v.off.noAckIncarnation {
		return false
	}
	at, ok := a.after(epoch)
	return ok && v.madeAfter(key, at)
}

// madeAfter says that a key can be granted only after the instant at of any
// host's clock.
func (v *Views) madeAfter(key Key, at time.Time) bool {
	return v.off.noAckTime || key.Time().After(v.policy.horizon(at))
}
