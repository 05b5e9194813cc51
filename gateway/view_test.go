package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/route"
	"github.com/wheatseam/wheatseam/discovery"
)

// poolMembers lists the upstreams of all pools of a router.
func poolMembers(r *route.Router) map[string][]route.UpstreamState {
	out := map[string][]route.UpstreamState{}
	for _, p := range r.Dump(time.Unix(0, 0)) {
		out[p.Pool] = p.Upstreams
	}
	return out
}

// TestRouterFollowsViewsByTheirChanges changes replicas, evacuations and the configuration
// at random, and compares a router that is given the changes of views with one that is
// given each whole view.
func TestRouterFollowsViewsByTheirChanges(t *testing.T) {
	const services, replicas = 3, 60
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(5, 6))
	config := func() *catalog.Config {
		var list []*catalog.Service
		for i := range services {
			list = append(list, &catalog.Service{Name: fmt.Sprint("s", i), Engine: i == 0})
		}
		return catalog.NewConfig(1, nil, list, nil, catalog.Limits{})
	}
	v := &discovery.View{Config: config(), Replicas: catalog.NewReplicaSet(nil)}
	followed := &Gateway{router: route.New(route.Config{})}
	followed.applyPools(nil, v, nil)
	updates := 0
	for step := range 300 {
		next := *v
		switch rng.IntN(20) {
		case 0:
			next.Config = config()
		case 1:
			next.Evacuations = catalog.NewEvacuations(uint64(step), []string{fmt.Sprint("d", rng.IntN(3))})
		case 2:
			next.Evacuations = catalog.NewEvacuations(uint64(step), nil)
		}
		var put []catalog.Replica
		var removed []string
		for range rng.IntN(8) {
			id := rng.IntN(replicas)
			r := catalog.Replica{
				ID: fmt.Sprint("r-", id), Service: fmt.Sprint("s", rng.IntN(services+1)), Address: fmt.Sprintf("10.0.0.%d:%d", id, 80+rng.IntN(2)),
				FailureDomain: fmt.Sprint("d", id%3), Concurrency: 1 + rng.IntN(4), Draining: rng.IntN(4) == 0,
			}
			if rng.IntN(4) == 0 {
				removed = append(removed, r.ID)
			} else {
				put = append(put, r)
			}
		}
		next.Replicas, _ = v.Replicas.With(put, removed)
		if followed.applyPools(v, &next, nil) {
			updates++
		}
		v = &next
		whole := route.New(route.Config{})
		whole.Apply(routerPools(v, 1, nil))
		g.Expect(poolMembers(followed.router)).To(Equal(poolMembers(whole)), "step %d", step)
	}
	g.Expect(updates).To(BeNumerically(">", 100))
}
