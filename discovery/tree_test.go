package discovery_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/platform"
)

// deleteReplica removes the entry of a replica.
func (s *simulatedStore) deleteReplica(id int) {
	s.remove(fmt.Sprintf("%sr-%04d", platform.ReplicaPrefix, id))
}

// viewSources lists the source of each host's view in order of rank.
func (f *simulatedFleet) viewSources() []string {
	var out []string
	for _, name := range f.names {
		out = append(out, f.discoveries[name].View().Source)
	}
	return out
}

// hostsNotMatching lists the hosts whose numbers of ready and draining replicas do not
// match a condition.
func (f *simulatedFleet) hostsNotMatching(matches func(ready, draining int) bool) []string {
	var names []string
	for _, name := range f.names {
		ready, draining := 0, 0
		for r := range f.discoveries[name].View().Replicas.All() {
			if r.Draining {
				draining++
			} else {
				ready++
			}
		}
		if !matches(ready, draining) {
			names = append(names, name)
		}
	}
	return names
}

// TestReplicaChangesPropagateThroughTreeLevels has twenty hosts learn of changes along the
// tree: one of them reads the store, eight ask it and the others ask those. It uses a
// simulated clock, since a host whose view is too old for lack of processor time is
// correctly not asked for a while.
func TestReplicaChangesPropagateThroughTreeLevels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, replicas, changed = 20, 300, 20
		g := NewWithT(t)
		f := newSimulatedFleet(0, hosts)
		f.store.writeConfig(1, 1)
		for id := range replicas {
			f.store.writeReplica(id, "ready")
		}
		stop := f.run()
		defer stop()
		all := func(ready, draining int) bool { return ready == replicas }
		g.Eventually(func() []string { return f.hostsNotMatching(all) }, propagationBound, "5ms").Should(BeEmpty())

		tree := []string{"host-001", "store"}
		for rank := 2; rank < hosts; rank++ {
			tree = append(tree, []string{"host-001", "host-000", "host-002"}[(rank-1)/8])
		}
		g.Eventually(f.viewSources, propagationBound, "5ms").Should(Equal(tree))

		for id := range changed {
			f.store.writeReplica(id, "draining")
			f.store.deleteReplica(100 + id)
		}
		after := func(ready, draining int) bool { return ready == replicas-2*changed && draining == changed }
		started := time.Now()
		g.Eventually(func() []string { return f.hostsNotMatching(after) }, propagationBound, "5ms").Should(BeEmpty())
		t.Logf("active on all hosts after %s", time.Since(started))
		g.Expect(f.viewSources()).To(Equal(tree))
	})
}
