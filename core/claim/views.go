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
	// ErrCurrentListMissing rejects a lineage that lacks the current host list:
	// adopting it could lead to two separate majorities for one key.
	ErrCurrentListMissing = errors.New("lineage lacks the current host list")
	// ErrEpochReused rejects a lineage that gives the current epoch to a
	// different host list.
	ErrEpochReused = errors.New("current epoch belongs to a different host list")
)

// Adoption records when a daemon adopted a host list. From the time At, by the
// daemon's wall clock, it grants no key under a list with an earlier epoch.
type Adoption struct {
	Epoch uint64
	At    time.Time
}

// Ack lists the host lists that one incarnation of a daemon has adopted, oldest
// first. An incarnation never reverts to an earlier list.
type Ack struct {
	Incarnation uint64
	Adopted     []Adoption
}

// epoch returns the epoch of the list that is current at the daemon; 0 if there is none.
func (a Ack) epoch() uint64 {
	if len(a.Adopted) == 0 {
		return 0
	}
	return a.Adopted[len(a.Adopted)-1].Epoch
}

// adoptedAfter returns the time at which the daemon adopted the first list after
// epoch, and whether it has adopted one.
func (a Ack) adoptedAfter(epoch uint64) (time.Time, bool) {
	i := slices.IndexFunc(a.Adopted, func(x Adoption) bool { return x.Epoch > epoch })
	if i < 0 {
		return time.Time{}, false
	}
	return a.Adopted[i].At, true
}

// Status is the state of a daemon's host lists, which it sends to its peers.
type Status struct {
	Host string
	Ack
	// Synced reports whether the daemon has learned the current host list since
	// its start.
	Synced bool
	// Incarnations are the newest incarnations known to the daemon by host,
	// including its own.
	Incarnations map[string]uint64
	// Relayed are the acknowledgements known to the daemon by host. They are
	// relayed so that they remain known after the host that gave them is gone.
	Relayed map[string]Ack
}

// Views is a daemon's knowledge of the host lists. It is not safe for concurrent
// use. The caller must not grant keys under a list while it calls Adopt.
type Views struct {
	host        string
	incarnation uint64
	policy      Policy
	disabled    disabledChecks

	lineage Lineage
	adopted []Adoption
	synced  bool
	// peerStatuses are the newest statuses of peers that know this incarnation, by
	// host.
	peerStatuses map[string]Status
	// acks are the newest known acknowledgements of synced daemons, by host.
	acks map[string]Ack
	// incarnations are the newest known incarnations, by host.
	incarnations map[string]uint64
	clockSkewed  bool
}

// NewViews returns the views of a process that found lineage l at its start. Unless
// its host is the only one of the list, it becomes synced through HandleStatus.
func NewViews(host string, incarnation uint64, now time.Time, l Lineage, p Policy) *Views {
	v := &Views{
		host:         host,
		incarnation:  incarnation,
		policy:       p,
		lineage:      l,
		adopted:      []Adoption{{l.Current.Epoch, now}},
		peerStatuses: make(map[string]Status),
		acks:         make(map[string]Ack),
		incarnations: map[string]uint64{host: incarnation},
	}
	v.updateSynced()
	return v
}

// Adopt replaces the lineage by l. It ignores an l whose current epoch is older than
// that of v, since a daemon never reverts to an earlier list.
func (v *Views) Adopt(now time.Time, l Lineage) error {
	current := v.lineage.Current
	if l.Current.Epoch < current.Epoch {
		return nil
	}
	same, ok := l.find(current.Epoch)
	if !ok {
		return fmt.Errorf("%w: epoch %d, current epoch %d", ErrCurrentListMissing, l.Current.Epoch, current.Epoch)
	}
	if !same.sameHosts(current) {
		return fmt.Errorf("%w: epoch %d", ErrEpochReused, current.Epoch)
	}
	if l.Current.Epoch > current.Epoch {
		v.adopted = append(slices.Clip(v.adopted), Adoption{l.Current.Epoch, now})
	}
	v.lineage = l
	v.updateSynced()
	return nil
}

// Status returns the status to send to peers. Its receivers must not modify it.
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

// HandleStatus handles a peer's status.
func (v *Views) HandleStatus(s Status) {
	if s.Incarnation < v.incarnations[s.Host] {
		return
	}
	for host, inc := range s.Incarnations {
		v.incarnations[host] = max(v.incarnations[host], inc)
	}
	for host, a := range s.Relayed {
		v.mergeAck(host, a)
	}
	if s.Synced {
		v.mergeAck(s.Host, s.Ack)
	}
	if s.Incarnations[v.host] != v.incarnation && !v.disabled.syncEcho {
		return
	}
	if s.epoch() >= v.peerStatuses[s.Host].epoch() {
		v.peerStatuses[s.Host] = s
		v.updateSynced()
	}
}

// mergeAck records an acknowledgement of a host if it is newer than the known one.
func (v *Views) mergeAck(host string, a Ack) {
	old := v.acks[host]
	if a.Incarnation > old.Incarnation || a.Incarnation == old.Incarnation && a.epoch() > old.epoch() {
		v.acks[host] = a
	}
}

// SetClockOffsets sets the offsets of the peers' clocks from this host's clock. The median
// decides whether this clock is wrong, so that one wrong clock excludes only its
// own host.
func (v *Views) SetClockOffsets(offsets []time.Duration) {
	v.clockSkewed = false
	if len(offsets) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(offsets))
	v.clockSkewed = sorted[len(sorted)/2].Abs() > v.policy.MaxClockSkew && !v.disabled.clockSkew
}

// Ready reports whether the daemon may grant and claim: it has synced since its
// start, its clock agrees with its peers', and the current list contains its host.
func (v *Views) Ready() bool {
	return v.synced && !v.clockSkewed && v.lineage.Current.Has(v.host)
}

// CanGrant reports whether the daemon may grant. Unlike Ready it is also true for a
// host that the current list no longer contains, since that host still belongs to
// groups of earlier lists.
func (v *Views) CanGrant() bool { return v.synced && !v.clockSkewed }

// Epoch returns the epoch of the current list.
func (v *Views) Epoch() uint64 { return v.lineage.Current.Epoch }

// updateSynced marks the daemon as synced once it cannot have missed a list that any
// daemon may count as acknowledged. That is the case when a majority of the current
// list's hosts are synced and have replied to this incarnation: a host that
// acknowledged a later list is among them. When a deployment starts, no host is
// synced; then all hosts of the list must have replied. While a reply has a later
// epoch, the daemon must first adopt that list.
func (v *Views) updateSynced() {
	if v.synced {
		return
	}
	if v.disabled.startupSync {
		v.synced = true
		return
	}
	current := v.lineage.Current
	syncedHosts, answeredHosts := 0, 0
	for _, h := range current.Hosts {
		if h.Name == v.host {
			answeredHosts++
			continue
		}
		s, ok := v.peerStatuses[h.Name]
		if !ok {
			continue
		}
		answeredHosts++
		if s.Synced {
			syncedHosts++
		}
	}
	for _, s := range v.peerStatuses {
		if s.epoch() > current.Epoch {
			return
		}
	}
	v.synced = syncedHosts >= majority(len(current.Hosts)) || answeredHosts == len(current.Hosts)
}

// Quorums returns the groups from each of which a claim on key needs a majority:
// the group under the current list, and the groups under those earlier lists that
// are not retired for key.
func (v *Views) Quorums(key Key) []Quorum {
	quorums := []Quorum{v.quorum(v.lineage.Current, key)}
	for _, e := range v.lineage.Earlier {
		q := v.quorum(e, key)
		if v.disabled.earlierViews || v.retired(e, q, key) {
			continue
		}
		quorums = append(quorums, q)
	}
	return quorums
}

func (v *Views) quorum(view View, key Key) Quorum {
	return Quorum{Epoch: view.Epoch, Holders: Group(view.Hosts, key, v.policy.GroupSize)}
}

// retired reports whether no majority of q can grant key under view alone, now or
// later. That is the case when a majority of the view's hosts and a majority of q
// acknowledged a later list before the key was created.
func (v *Views) retired(view View, q Quorum, key Key) bool {
	acknowledgedHosts, acknowledgedHolders := 0, 0
	for _, h := range view.Hosts {
		if !v.acknowledged(h, view.Epoch, key) {
			continue
		}
		acknowledgedHosts++
		if slices.Contains(q.Holders, h.Name) {
			acknowledgedHolders++
		}
	}
	if v.disabled.ackMajority {
		return acknowledgedHosts > 0
	}
	return acknowledgedHosts >= majority(len(view.Hosts)) && acknowledgedHolders >= majority(len(q.Holders))
}

// acknowledged reports whether it is known that h does not grant key under any list
// up to epoch.
func (v *Views) acknowledged(h Host, epoch uint64, key Key) bool {
	if !h.EndedAt.IsZero() {
		return v.grantableOnlyAfter(key, h.EndedAt)
	}
	a := v.acks[h.Name]
	if h.Name == v.host && v.synced {
		a = v.ack()
	}
	// The host has restarted since it gave the acknowledgement, and may have
	// started again with an earlier list.
	if a.Incarnation < v.incarnations[h.Name] && !v.disabled.ackIncarnation {
		return false
	}
	at, ok := a.adoptedAfter(epoch)
	return ok && v.grantableOnlyAfter(key, at)
}

// grantableOnlyAfter reports whether every host's clock reads later than at when it
// grants key.
func (v *Views) grantableOnlyAfter(key Key, at time.Time) bool {
	return v.disabled.ackTime || key.Time().After(v.policy.latestGrantableKeyTime(at))
}
