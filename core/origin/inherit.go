package origin

import (
	"slices"
	"time"
)

// Inheritance is what a host that has started gets from another one: the records and readers for
// which it is asked, as far as that one has them. Without it, hosts that are replaced one after the
// other would lose them.
type Inheritance struct {
	Records []Record
	Readers []Reader
	// ReadersFor is for how long before now the giver has missed no reader; 0 if some were left out.
	ReadersFor time.Duration
}

// MaxInherited limits the records, and the readers, that one host gives another one in one message, of
// some 45 and 110 bytes each.
const MaxInherited = 1536

// Inherit returns what a host inherits of all that another one has. hosts are all hosts, both
// included, which it ranks for each record and reader.
func Inherit(heir string, hosts []Host, all Inheritance) Inheritance {
	holds := func(k Key) bool {
		return !outranked(k, heir, hosts) && slices.ContainsFunc(Asked(k, hosts), func(h Host) bool { return h.Name == heir })
	}
	out := Inheritance{ReadersFor: all.ReadersFor}
	for _, r := range all.Records {
		if len(out.Records) < MaxInherited && holds(r.Key) {
			out.Records = append(out.Records, r)
		}
	}
	for _, r := range all.Readers {
		switch {
		case !holds(r.Part):
		case len(out.Readers) == MaxInherited:
			out.ReadersFor = 0
			return out
		default:
			out.Readers = append(out.Readers, r)
		}
	}
	return out
}

// Inherited records that all other hosts have given a host its readers: it has missed none for as
// long as each of them.
func (s *Readers) Inherited(now time.Time, completeFor time.Duration) {
	if since := now.Add(-completeFor); since.Before(s.since) {
		s.since = since
	}
}

// outranked reports whether a host is not asked for a key, since MaxAsked others rank higher, one of
// them in its failure domain. It decides most keys without ranking all hosts.
func outranked(k Key, host string, hosts []Host) bool {
	i := slices.IndexFunc(hosts, func(h Host) bool { return h.Name == host })
	if i < 0 {
		return true
	}
	self, higher, inDomain := weighted{hosts[i], weight(k, host)}, 0, false
	for _, h := range hosts {
		if h.Name == host || before(weighted{h, weight(k, h.Name)}, self) > 0 {
			continue
		}
		higher++
		inDomain = inDomain || h.FailureDomain == self.FailureDomain
		if higher >= MaxAsked && inDomain {
			return true
		}
	}
	return false
}
