package origin

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLookupHosts is the number of hosts that ask a replica which parts of prompts it keeps, on
	// behalf of all hosts.
	MaxLookupHosts = 8
	// replicasPerLookupGroup is the number of replicas that one message asks about, in the mean at
	// most, and maxLookupGroups the number of messages of a lookup.
	replicasPerLookupGroup = 16
	maxLookupGroups        = 64
	// MaxLookupReplicas limits the replicas of a service that are asked.
	MaxLookupReplicas = maxLookupGroups * replicasPerLookupGroup
	// maxBlockTokens bounds the blocks in which replicas keep prompts. Of the last part only whole
	// blocks are kept.
	maxBlockTokens = 32
)

// LookupGroup is a part of the replicas of a service: the one of this index among Count, which is
// a power of two.
type LookupGroup struct {
	Service      string
	Index, Count int
}

// LookupGroups returns the number of groups of a service with that many replicas. It doubles, so
// that hosts whose views differ a little nearly always use the same groups.
func LookupGroups(replicas int) int {
	n := 1
	for n*replicasPerLookupGroup < replicas {
		n *= 2
	}
	return n
}

// LookupGroupOf returns the index of a replica's group.
func LookupGroupOf(replica string, groups int) int {
	return int(xxhash.Sum64String(replica) & uint64(groups-1))
}

// key is the key by which the hosts of a group are ranked.
func (l LookupGroup) key() Key {
	var k Key
	binary.LittleEndian.PutUint64(k[:], xxhash.Sum64String(l.Service))
	binary.LittleEndian.PutUint32(k[8:], uint32(l.Index))
	binary.LittleEndian.PutUint32(k[12:], uint32(l.Count))
	return k
}

// LookupHosts returns the hosts that a host has ask the replicas of a group: the first one, and the
// second one if that does not answer. It is the host alone if that is one of the MaxLookupHosts.
// hosts includes it.
func LookupHosts(l LookupGroup, asker string, hosts []Host) []Host {
	_, first := ranked(l.key(), hosts, MaxLookupHosts)
	for _, h := range first {
		if h.Name == asker {
			return []Host{h.Host}
		}
	}
	var k Key
	binary.LittleEndian.PutUint64(k[:], xxhash.Sum64String(asker))
	return Holders(k, unweighted(first))
}

// SoughtPart is a part of a prompt that a lookup looks for.
type SoughtPart struct {
	Tokens int
	// Age is for how long the lookup has been going on, at least.
	Age time.Duration
}

// PartList is what a replica's list of the parts that it keeps says about one of them.
type PartList struct {
	// Answered is false if there is no list that is certainly the replica's.
	Answered bool
	// Listed says that the part is listed, with the tokens that are kept, and Complete that no
	// part was left out.
	Listed   bool
	Tokens   int
	Complete bool
	// Age is the time since the list was requested, at most.
	Age time.Duration
}

// Retention is whether a replica keeps a part.
type Retention uint8

// The retentions, as they are sent.
const (
	RetentionUnknown Retention = iota
	PartKept
	PartNotKept
)

// ParseRetention returns the retention that another host sent.
func ParseRetention(raw byte) Retention {
	if r := Retention(raw); r == PartKept || r == PartNotKept {
		return r
	}
	return RetentionUnknown
}

// Shows returns what a list shows about a part. Only one that was requested after the lookup began
// decides that the part is not kept, or that the replica does not tell. One that keeps less than
// the whole part may have lost the rest, or is reading it.
func (l PartList) Shows(part SoughtPart) (found Retention, decided bool) {
	switch {
	case l.Answered && l.Listed && l.Tokens > part.Tokens-maxBlockTokens:
		return PartKept, true
	case l.Age > part.Age:
		return RetentionUnknown, false
	case l.Answered && l.Complete && !l.Listed:
		return PartNotKept, true
	}
	return RetentionUnknown, true
}
