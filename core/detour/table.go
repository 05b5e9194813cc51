package detour

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// ConnectLimit bounds an attempt that begins directly, and DetourLimit one that begins
	// through a peer, which has two connections to establish.
	ConnectLimit = 150 * time.Millisecond
	DetourLimit  = 2 * ConnectLimit
	// Stagger is the time after which another way is tried beside those under way.
	Stagger = 75 * time.Millisecond
	// MaxAsked limits the peers that one attempt asks.
	MaxAsked = 3
	// candidateCount is the number of peers among which the one with the most room is asked.
	candidateCount = 4
	// This host counts as cut off from cutOffFailures addresses on that it can't reach, if
	// peers reach cutOffEvidence of them.
	cutOffEvidence = 2
	cutOffFailures = 5
	// slowAnswersInVain is the number of times in a row that a peer must not have answered in
	// time for it to count as asked in vain.
	slowAnswersInVain = 2
	// strandedPeers is the number of peers asked in vain from which on a host that can't reach
	// cutOffFailures addresses counts as stranded.
	strandedPeers = 8
	// The times for which a peer is not asked after it said that it is cut off, had no room,
	// was not available, and if it does not support connecting for others.
	cutOffPause      = 4 * time.Second
	noRoomPause      = 500 * time.Millisecond
	unavailablePause = 2 * time.Second
	unsupportedPause = time.Minute
	// lastResortPause is after which time such a peer is asked if no other can be.
	lastResortPause = 250 * time.Millisecond
	// slowPause is for how long a peer that did not answer in time is asked only if no other
	// can be.
	slowPause = 500 * time.Millisecond
	// votePeriod is for how long a peer that did not reach an address is not asked for it
	// again. A peer that only did not answer in time is nevertheless asked if no other can be.
	// A peer whose connection was refused is asked again after refusedPause, since that costs
	// no time; its answer counts for refusedPeriod, longer than an attempt takes.
	votePeriod    = 4 * time.Second
	refusedPeriod = 500 * time.Millisecond
	refusedPause  = 100 * time.Millisecond
	// decisiveVotes is the number of peers which reach other replicas, but not an address,
	// from which on the replica counts as down, and maxVotes the number of all votes from
	// which on no other peer is asked.
	decisiveVotes = 2
	maxVotes      = 8
	// cutOffDelay is how long no direct attempt must have succeeded before this host counts
	// as cut off: a host that has lost a part of the replicas reaches others all the time.
	cutOffDelay = 300 * time.Millisecond
	// goodPeriod is how long a peer that has connected counts as one that connects.
	goodPeriod = 10 * time.Second
	// probeInterval is the interval of direct probes of an address that is reached through
	// peers. It doubles, up to maxProbeInterval, if the address fails again within
	// flapPeriod after a success.
	probeInterval    = time.Second
	maxProbeInterval = 8 * time.Second
	flapPeriod       = 10 * time.Second
	// probesPerRefresh limits the probes that begin at one call of Refresh.
	probesPerRefresh = 2
	// retention is how long a failure is kept without a further one.
	retention = 10 * time.Second
	// PeerListPeriod is how long a list of peers is used.
	PeerListPeriod = time.Second
	// failedPeriod is for how long peers are asked first for an address after a direct
	// failure, if other addresses are reached through peers.
	failedPeriod = 2 * time.Second
	// reachedPeriod is how long a direct connection shows that this host reaches replicas.
	reachedPeriod = time.Second
	// voteEvidencePeriod is the age up to which a direct connection shows that this host reaches
	// replicas when it tells others that one refuses: a host that has just lost its paths by
	// resets must not say so.
	voteEvidencePeriod = 200 * time.Millisecond
	// maxHints limits the peers named to a host that asked in vain.
	maxHints = 3
	// MaxAddresses and MaxPeers limit the memory.
	MaxAddresses = 1024
	MaxPeers     = 64
	// unknownRoom is the room of a peer that has not told its own, so that it is asked first.
	unknownRoom = 1 << 30
)

// Table holds what one host knows about its ways to replicas.
type Table struct {
	self      string
	rng       *rand.Rand
	addresses map[string]*address
	peers     map[string]*peerState
	// order lists the known peers in the order in which they are asked, as of listedAt.
	order    []string
	listedAt time.Time
	// listed is the number of addresses of replicas as of the last Refresh, at least 1.
	listed int
	// directAt is when a direct attempt or probe last succeeded, and reachedAt when any
	// attempt did.
	directAt, reachedAt time.Time
	// cutOffAt and strandedAt are since when this host is so; zero if it is not.
	cutOffAt, strandedAt time.Time
}

// address is an address at which a direct attempt has failed lately.
type address struct {
	// failedAt is when a direct attempt or probe last failed; zero if none has since the
	// last success.
	failedAt time.Time
	// detour says that a peer has connected since.
	detour bool
	// peer is the one through which the address was last reached, and votes are of those that
	// did not reach it.
	peer  string
	votes []vote
	// returnedAt is when the last detour ended, and interval that of the probes.
	returnedAt time.Time
	interval   time.Duration
	nextProbe  time.Time
}

// New returns the table of a host.
func New(self string, rng *rand.Rand) *Table {
	return &Table{self: self, rng: rng, listed: cutOffFailures, addresses: map[string]*address{}, peers: map[string]*peerState{}}
}

// CutOff reports whether this host reaches replicas only through peers.
func (t *Table) CutOff() bool { return !t.cutOffAt.IsZero() }

// Stranded reports whether this host reaches no replica, directly or through peers.
func (t *Table) Stranded() bool { return !t.strandedAt.IsZero() }

// Since returns since when this host is stranded or else cut off; zero if it is neither.
func (t *Table) Since() time.Time {
	if t.Stranded() {
		return t.strandedAt
	}
	return t.cutOffAt
}

// Detours returns the number of addresses that are reached through peers.
func (t *Table) Detours() int {
	n := 0
	for _, a := range t.addresses {
		if a.detour {
			n++
		}
	}
	return n
}

// DirectAt returns when a direct attempt or probe last succeeded; zero if none has.
func (t *Table) DirectAt() time.Time { return t.directAt }

// Reach is whether a host reaches replicas directly.
type Reach uint8

// The values of Reach.
const (
	// ReachUnknown: it has not tried lately.
	ReachUnknown Reach = iota
	// ReachesReplicas: it has reached one within the last second.
	ReachesReplicas
	// ReachesNone: it is cut off, or has failed at several and reached none since.
	ReachesNone
)

// Reach returns whether this host reaches replicas directly.
func (t *Table) Reach(now time.Time) Reach {
	switch {
	case t.CutOff() || t.Stranded():
		return ReachesNone
	case !t.directAt.IsZero() && now.Sub(t.directAt) < reachedPeriod:
		return ReachesReplicas
	case t.failing() >= min(cutOffFailures, t.listed):
		return ReachesNone
	}
	return ReachUnknown
}

// MayVote reports whether a direct connection was established so short a time ago that this
// host can tell others that a replica refuses connections.
func (t *Table) MayVote(now time.Time) bool {
	return !t.directAt.IsZero() && now.Sub(t.directAt) < voteEvidencePeriod
}

// failing returns the number of addresses that failed since a direct attempt last succeeded.
func (t *Table) failing() int {
	n := 0
	for _, a := range t.addresses {
		if a.failedAt.After(t.directAt) {
			n++
		}
	}
	return n
}

// DirectConnected processes a direct connection.
func (t *Table) DirectConnected(now time.Time, addr string) {
	t.directAt, t.reachedAt = now, now
	t.cutOffAt, t.strandedAt = time.Time{}, time.Time{}
	a := t.addresses[addr]
	if a == nil {
		return
	}
	if a.detour {
		a.returnedAt = now
	}
	a.failedAt, a.detour, a.peer, a.votes = time.Time{}, false, "", nil
	if a.returnedAt.IsZero() {
		delete(t.addresses, addr)
	}
}

// DirectFailed processes a direct attempt or probe that failed. Failures whose reason lies in
// this process, such as the end of a context, are not to be reported.
func (t *Table) DirectFailed(now time.Time, addr string) {
	a := t.addresses[addr]
	if a == nil {
		if len(t.addresses) >= MaxAddresses {
			return
		}
		a = &address{}
		t.addresses[addr] = a
	}
	a.failedAt = now
	if a.detour {
		a.nextProbe = now.Add(t.jitter(a.interval))
	}
}

// jitter returns a random time of 0.75 to 1.25 times d.
func (t *Table) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(t.rng.Int64N(int64(d/2)))
}

// detourWorks records that a peer has connected to an address.
func (t *Table) detourWorks(now time.Time, addr, name string) {
	a := t.addresses[addr]
	if a == nil || a.failedAt.IsZero() {
		return
	}
	a.peer, a.votes = name, slices.DeleteFunc(a.votes, func(v vote) bool { return v.peer == name })
	if !a.detour {
		a.detour = true
		a.interval = a.nextInterval(now)
		a.nextProbe = now.Add(t.jitter(a.interval))
	}
	t.updateCutOff(now)
}

// nextInterval returns the interval of the probes for a detour that begins.
func (a *address) nextInterval(now time.Time) time.Duration {
	if a.returnedAt.IsZero() || now.Sub(a.returnedAt) > flapPeriod {
		return probeInterval
	}
	return min(2*a.interval, maxProbeInterval)
}

// updateCutOff determines whether this host is cut off.
func (t *Table) updateCutOff(now time.Time) {
	if t.CutOff() || now.Sub(t.directAt) < cutOffDelay {
		return
	}
	evidence, failing := 0, 0
	for _, a := range t.addresses {
		if !a.failedAt.After(t.directAt) {
			continue
		}
		failing++
		if a.detour {
			evidence++
		}
	}
	if evidence >= min(cutOffEvidence, t.listed) && failing >= min(cutOffFailures, t.listed) {
		t.cutOffAt = now
	}
}
