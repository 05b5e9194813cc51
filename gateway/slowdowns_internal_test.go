package gateway

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/slowdown"
	"github.com/wheatseam/wheatseam/discovery"
	"github.com/wheatseam/wheatseam/wire"
)

// baselinesSet records the baselines that were passed to it, by pool and upstream.
type baselinesSet map[string]float64

func (s baselinesSet) SetBaselineSlowdown(_ time.Time, pool, upstream string, baseline float64) {
	s[pool+"/"+upstream] = baseline
}

// Guards against an upstream that the router takes for usual although its baseline is known:
// it was observed before it was listed, or the router has dropped its state.
func TestRouterGetsBaselinesOfListedReplicas(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	view := func(ids ...string) *discovery.View {
		var replicas []catalog.Replica
		for _, id := range ids {
			replicas = append(replicas, catalog.Replica{ID: id, Service: "s"})
		}
		return &discovery.View{Replicas: catalog.NewReplicaSet(replicas)}
	}
	set := baselinesSet{}
	s := &slowdowns{router: set}
	for _, id := range []string{"a", "b", "c"} {
		s.table.Observe(now, id, 1.6)
	}
	first, second := view("a", "unobserved"), view("a", "b", "unobserved")
	s.applyView(now, nil, first, false)
	g.Expect(set).To(Equal(baselinesSet{"s/a": 1.6}))
	clear(set)
	s.applyView(now, first, second, true)
	g.Expect(set).To(Equal(baselinesSet{"s/b": 1.6}), "only what changed")
	observed, _ := s.table.Get("a")
	stale := observed.Expected(now.Add(unlistedBaselineRetention + baselineRefreshInterval))
	for _, step := range []struct {
		after time.Duration
		want  baselinesSet
		kept  int
	}{
		{0, baselinesSet{"s/a": 1.6, "s/b": 1.6}, 3},
		{baselineRefreshInterval - 1, baselinesSet{}, 3},
		{baselineRefreshInterval, baselinesSet{"s/a": 1.6, "s/b": 1.6}, 3},
		{unlistedBaselineRetention + baselineRefreshInterval, baselinesSet{"s/a": stale, "s/b": stale}, 2},
	} {
		clear(set)
		s.refresh(now.Add(step.after), second.Replicas)
		g.Expect(set).To(Equal(step.want), "after %s", step.after)
		g.Expect(s.count()).To(Equal(step.kept), "after %s", step.after)
	}
}

// Guards against values of a peer that no replica can have reported.
func TestSlowdownsOnTheWire(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	sent := []slowdown.Baseline{
		{Replica: "a", Slowdown: 0.01, ObservedAt: now}, {Replica: "b", Slowdown: 1.6, ObservedAt: now.Add(-2 * time.Second)}, {Replica: "c", Slowdown: 100, ObservedAt: now},
	}
	g.Expect(slowdownsFromWire(now, slowdownsToWire(now, sent))).To(Equal(sent))
	var table slowdown.Table
	changed := table.Merge(now, slowdownsFromWire(now, []*wire.ReplicaSlowdown{
		{Replica: "zero"}, {Replica: "", SlowdownPercent: 100}, {Replica: "huge", SlowdownPercent: math.MaxUint32},
		{Replica: "negative age", SlowdownPercent: 100, AgeMs: -1}, {Replica: "valid", SlowdownPercent: 100, AgeMs: math.MaxInt64}, nil,
	}))
	g.Expect(changed).To(ConsistOf(slowdown.Baseline{Replica: "valid", Slowdown: 1, ObservedAt: now.Add(-maxNoticeAge)}))
}
