package discovery

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/platform"
)

// replicaItem is the entry of a replica at a revision.
func replicaItem(key string, revision uint64, phase string, born int) platform.Item {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:1","zone":"z","concurrency":4,"phase":%q,"born":%d}`, phase, born)
	return platform.Item{Key: platform.ReplicaPrefix + key, Value: []byte(value), Revision: revision}
}

// TestListingFollowsChangesInAnyOverlap applies random changes in batches that repeat earlier
// ones, and compares the replicas with those of the last entries.
func TestListingFollowsChangesInAnyOverlap(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var history []platform.Item
		for revision := range uint64(200) {
			item := replicaItem(fmt.Sprint("i-", rng.IntN(12)), revision+1, []string{"ready", "draining"}[rng.IntN(2)], 1+rng.IntN(2))
			switch rng.IntN(6) {
			case 0:
				item.Removed, item.Value = true, nil
			case 1:
				item.Value = []byte("garbage")
			}
			history = append(history, item)
		}
		l, followed := newListing(), &catalog.ReplicaSet{}
		for done := 0; done < len(history); {
			from := max(0, done-rng.IntN(30))
			done = min(len(history), done+1+rng.IntN(20))
			c := l.apply(history[from:done])
			var written []catalog.Replica
			for _, r := range c.written {
				written = append(written, *r)
			}
			followed, _ = followed.With(written, slices.Collect(maps.Keys(c.gone)))
		}
		last := newListing()
		last.apply(history)
		g.Expect(followed.Digest()).To(Equal(catalog.NewReplicaSet(last.replicas()).Digest()), "seed %d", seed)
		g.Expect(catalog.NewReplicaSet(l.replicas()).Digest()).To(Equal(followed.Digest()))
	}
}

func TestListingRecognizesHeartbeats(t *testing.T) {
	g := NewWithT(t)
	l := newListing()
	const entries = 300
	read := func(revision uint64, phase string) listingChanges {
		var items []platform.Item
		for i := range entries {
			items = append(items, replicaItem(fmt.Sprint("i-", i), revision+uint64(i), phase, 1))
		}
		return l.apply(items)
	}
	first := read(1, "ready")
	g.Expect(first.written).To(HaveLen(entries))
	g.Expect(first.mostlyRewritten()).To(BeFalse())
	again := read(1000, "ready")
	g.Expect(again.written).To(BeEmpty())
	g.Expect(again.mostlyRewritten()).To(BeTrue())
	drained := read(2000, "draining")
	g.Expect(drained.mostlyRewritten()).To(BeFalse())
	repeated := read(2000, "draining")
	g.Expect(repeated.mostlyRewritten()).To(BeFalse(), "the same revisions say nothing new")
}

func TestListingOfPeersReplicasGoesOnWithTheStore(t *testing.T) {
	g := NewWithT(t)
	set := catalog.NewReplicaSet([]catalog.Replica{{ID: "i-1@1", Service: "s", Address: "10.0.0.1:1", FailureDomain: "z", Concurrency: 4}})
	l := listingOf(set, 50, time.Unix(1000, 0))
	c := l.apply([]platform.Item{replicaItem("i-1", 60, "ready", 2)})
	g.Expect(c.gone).To(HaveKey("i-1@1"))
	g.Expect(c.written).To(HaveKey("i-1@2"))
	g.Expect(l.usable(time.Unix(1000, 0).Add(maxListingAge))).To(BeFalse())
}
