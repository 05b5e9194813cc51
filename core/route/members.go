package route

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/bundle"
)

// member is one upstream of a pool. All fields but state and baselineSlowdown are immutable.
type member struct {
	name, address, domain, region string
	// version is the version of the upstream's software; "" if it is not known.
	version string
	hash    uint64
	// state is nil until this daemon uses the upstream or receives a report about it.
	state *memberState
	// baselineSlowdown is the lowest slowdown that the upstream's machine has had lately, as
	// observed by any host; 0 if it is not known. It is not part of the state, which is
	// dropped when idle: a baseline is announced only when it changes.
	baselineSlowdown float64
}

func newMember(u bundle.Upstream, regions map[string]string) *member {
	return &member{
		name: u.Name, address: u.Address, domain: u.FailureDomain, region: regions[u.FailureDomain], version: u.Version,
		hash: xxhash.Sum64String(u.Name),
	}
}

// keepBaseline takes over the baseline of the member that m replaces; nil for none.
func (m *member) keepBaseline(replaced *member) {
	if replaced != nil && replaced.address == m.address {
		m.baselineSlowdown = replaced.baselineSlowdown
	}
}

// memberSet holds the upstreams of a pool, each name once. It is guarded by the shard's
// lock.
type memberSet struct {
	// all and the sets by failure domain are sorted by hash and name.
	all      []*member
	byDomain map[string][]*member
}

func compareMembers(a, b *member) int {
	switch {
	case a.hash < b.hash:
		return -1
	case a.hash > b.hash:
		return 1
	case a.name < b.name:
		return -1
	case a.name > b.name:
		return 1
	}
	return 0
}

// newMemberSet returns the set of the given upstreams, in any order.
func newMemberSet(members []*member) *memberSet {
	s := &memberSet{all: members, byDomain: map[string][]*member{}}
	slices.SortFunc(s.all, compareMembers)
	for _, m := range s.all {
		s.byDomain[m.domain] = append(s.byDomain[m.domain], m)
	}
	return s
}

// find returns the upstream with a name, or nil.
func (s *memberSet) find(name string) *member {
	i, found := slices.BinarySearchFunc(s.all, &member{name: name, hash: xxhash.Sum64String(name)}, compareMembers)
	if !found {
		return nil
	}
	return s.all[i]
}

// add adds an upstream whose name the set does not contain.
func (s *memberSet) add(m *member) {
	s.all = insertSorted(s.all, m)
	s.byDomain[m.domain] = insertSorted(s.byDomain[m.domain], m)
}

// remove removes an upstream of the set.
func (s *memberSet) remove(m *member) {
	s.all = deleteSorted(s.all, m)
	s.byDomain[m.domain] = deleteSorted(s.byDomain[m.domain], m)
}

func insertSorted(members []*member, m *member) []*member {
	i, _ := slices.BinarySearchFunc(members, m, compareMembers)
	return slices.Insert(members, i, m)
}

func deleteSorted(members []*member, m *member) []*member {
	i, found := slices.BinarySearchFunc(members, m, compareMembers)
	if !found {
		return members
	}
	return slices.Delete(members, i, i+1)
}

// Sizes of the sample on which a pick from a large pool is decided.
const (
	// maxFullView is the number of upstreams up to which a pick considers all of them.
	maxFullView = 64
	// sampledMembers are drawn from the whole pool, and sampledDomainMembers from each
	// failure domain that the pick prefers.
	sampledMembers       = 16
	sampledDomainMembers = 8
	// maxHomeGroup is the number of upstreams among which a prefix has its home.
	maxHomeGroup = 16
)

// homeGroup returns the upstreams among which a prefix has its home: a group of
// neighbours by hash. Every upstream is in the group of about the same number of
// prefixes: the descent through the bits of the hashes enters each half with a
// probability in proportion to its upstreams. When one upstream is added or removed, few
// prefixes change their group. The result must not be modified.
func (s *memberSet) homeGroup(prefix uint64) []*member {
	group := s.all
	for bit := 63; len(group) > maxHomeGroup && bit >= 0; bit-- {
		upper, _ := slices.BinarySearchFunc(group, uint64(1)<<bit, func(m *member, mask uint64) int {
			if m.hash&mask == 0 {
				return -1
			}
			return 0
		})
		draw := mix64(prefix + uint64(bit)*goldenRatio)
		if float64(draw>>11)/(1<<53)*float64(len(group)) < float64(upper) {
			group = group[:upper]
		} else {
			group = group[upper:]
		}
	}
	return group
}

// goldenRatio is 2^64 divided by the golden ratio, the increment of splitmix64.
const goldenRatio = 0x9e3779b97f4a7c15

// appendRandom appends up to n random elements of from that out does not contain yet. It
// may append fewer if from is small.
func appendRandom(out, from []*member, n int, rng *rand.Rand) []*member {
	if len(from) <= n {
		for _, m := range from {
			if !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
		return out
	}
	for tries := 2 * n; n > 0 && tries > 0; tries-- {
		if m := from[rng.IntN(len(from))]; !slices.Contains(out, m) {
			out = append(out, m)
			n--
		}
	}
	return out
}
