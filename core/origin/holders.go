package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// holderCount is the number of other hosts that hold a record, and MaxAsked the number of
	// hosts that are asked for it: after hosts have joined, holders may rank lower.
	holderCount = 2
	MaxAsked    = 4
)

// Host is a host that may hold records.
type Host struct{ Name, FailureDomain string }

// weight ranks a host for a stream: rendezvous hashing.
func weight(k Key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(k[:]) // writing to an xxhash.Digest never fails
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// weighted is a host with its weight for a key.
type weighted struct {
	Host
	weight uint64
}

// before orders hosts by rank.
func before(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
}

// ranked returns all hosts with their weights, and the first n in rank order.
func ranked(k Key, hosts []Host, n int) (all, first []weighted) {
	all = make([]weighted, 0, len(hosts))
	first = make([]weighted, 0, n+1)
	for _, h := range hosts {
		w := weighted{h, weight(k, h.Name)}
		all = append(all, w)
		if len(first) == n && w.weight < first[n-1].weight {
			continue
		}
		if i, _ := slices.BinarySearchFunc(first, w, before); i < n {
			first = slices.Insert(first, i, w)
			first = first[:min(n, len(first))]
		}
	}
	return all, first
}

// unweighted returns the hosts without their weights.
func unweighted(hosts []weighted) []Host {
	out := make([]Host, 0, len(hosts))
	for _, w := range hosts {
		out = append(out, w.Host)
	}
	return out
}

// Asked returns the hosts that are asked for the record of a stream, in rank order. The first
// holderCount of them hold it, in different failure domains if there are several. Each host
// holds about as many records as any other.
func Asked(k Key, hosts []Host) []Host {
	all, first := ranked(k, hosts, MaxAsked)
	var second *weighted
	for i := range all {
		if all[i].FailureDomain != first[0].FailureDomain && (second == nil || before(all[i], *second) < 0) {
			second = &all[i]
		}
	}
	if second != nil {
		first = slices.DeleteFunc(first, func(w weighted) bool { return w.Name == second.Name })
		first = slices.Insert(first, 1, *second)
		first = first[:min(MaxAsked, len(first))]
	}
	return unweighted(first)
}

// Holders returns the hosts that hold the record of a stream.
func Holders(k Key, hosts []Host) []Host {
	asked := Asked(k, hosts)
	return asked[:min(holderCount, len(asked))]
}

// Spares returns the hosts that hold the record of a stream in place of a holder that does not
// answer, in rank order. They are asked, too.
func Spares(k Key, hosts []Host) []Host {
	asked := Asked(k, hosts)
	return asked[min(holderCount, len(asked)):]
}
