package catalog_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

func replicaNumber(i, state int) catalog.Replica {
	return catalog.Replica{
		ID: fmt.Sprintf("r-%05d", i), Service: fmt.Sprint("s", i%5), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
		FailureDomain: fmt.Sprint("d", i%6), Concurrency: 16, Draining: state&1 != 0, Cold: state&2 != 0,
	}
}

// TestReplicaSetChangesLikeAMap compares sets with maps over random changes, and each
// earlier version with what it was.
func TestReplicaSetChangesLikeAMap(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	type version struct {
		set  *catalog.ReplicaSet
		want map[string]catalog.Replica
	}
	versions := []version{{nil, map[string]catalog.Replica{}}}
	for range 60 {
		last := versions[len(versions)-1]
		want := maps.Clone(last.want)
		var put []catalog.Replica
		var removed []string
		for range rng.IntN(40) {
			r := replicaNumber(rng.IntN(400), rng.IntN(4))
			if rng.IntN(3) == 0 {
				removed = append(removed, r.ID)
			} else {
				put = append(put, r)
			}
		}
		for _, id := range removed {
			delete(want, id)
		}
		for _, r := range put {
			want[r.ID] = r
		}
		next, changes := last.set.With(put, removed)
		versions = append(versions, version{next, want})
		replayed := maps.Clone(last.want)
		for _, c := range changes {
			if c.Old != nil {
				g.Expect(replayed[c.ID()]).To(Equal(*c.Old))
			}
			delete(replayed, c.ID())
			if c.New != nil {
				replayed[c.ID()] = *c.New
			}
		}
		g.Expect(replayed).To(Equal(want))
		g.Expect(last.set.Diff(next)).To(Equal(changes))
	}
	for _, v := range versions {
		got := map[string]catalog.Replica{}
		for r := range v.set.All() {
			got[r.ID] = *r
		}
		g.Expect(got).To(Equal(v.want))
		g.Expect(v.set.Len()).To(Equal(len(v.want)))
		g.Expect(v.set.Digest()).To(Equal(catalog.NewReplicaSet(slices.Collect(maps.Values(v.want))).Digest()))
	}
}

// BenchmarkReplicaSetChange measures one change among many replicas.
func BenchmarkReplicaSetChange(b *testing.B) {
	for _, replicas := range []int{100, 1000, 10000, 30000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			var all []catalog.Replica
			for i := range replicas {
				all = append(all, replicaNumber(i, 0))
			}
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			set := catalog.NewReplicaSet(all)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				set, _ = set.With([]catalog.Replica{replicaNumber(i%replicas, 1+i/replicas%2)}, nil)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(replicas), "B/replica")
		})
	}
}
