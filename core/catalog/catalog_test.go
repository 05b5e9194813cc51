package catalog_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

var _ = Describe("routes", func() {
	route := func(name, host, prefix string) *catalog.Route {
		return &catalog.Route{Name: name, Host: host, Prefix: prefix}
	}
	config := catalog.NewConfig(1, []*catalog.Route{
		route("short", "one.example", "/a/"), route("long", "one.example", "/a/b/"),
		route("other", "two.example", "/"),
	}, nil, nil, catalog.Limits{})

	DescribeTable("are found by host and longest prefix", func(host, path, want string) {
		r := config.Match(host, path)
		if want == "" {
			Expect(r).To(BeNil())
			return
		}
		Expect(r.Name).To(Equal(want))
	},
		Entry("longest", "one.example", "/a/b/c", "long"),
		Entry("shorter", "one.example", "/a/bc", "short"),
		Entry("with a port", "one.example:8080", "/a/", "short"),
		Entry("host in capitals", "ONE.example", "/a/", "short"),
		Entry("all paths", "two.example", "/x", "other"),
		Entry("no slash at the end of the prefix", "one.example", "/a", ""),
		Entry("other host", "three.example", "/a/", ""),
	)

	DescribeTable("split requests by weight", func(draw float64, want string) {
		r := &catalog.Route{Split: []catalog.Target{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
		Expect(r.PickService(draw)).To(Equal(want))
	},
		Entry("first", 0.0, "x"), Entry("still first", 0.89, "x"), Entry("second", 0.91, "y"), Entry("last", 0.9999, "y"),
	)

	DescribeTable("report whether requests may be repeated", func(r catalog.Route, want bool) {
		Expect(r.MayRepeat()).To(Equal(want))
	},
		Entry("idempotent", catalog.Route{RepeatPolicy: catalog.Idempotent}, true),
		Entry("at most once", catalog.Route{RepeatPolicy: catalog.AtMostOnce}, false),
		Entry("stream", catalog.Route{Streaming: true, RepeatPolicy: catalog.Idempotent}, false),
		Entry("resumable stream", catalog.Route{Streaming: true, Resumable: true}, true),
	)
})

// ids lists the IDs of a registry's replicas.
func ids(g *catalog.Registry) []string {
	var out []string
	for r := range g.Replicas().All() {
		out = append(out, r.ID)
	}
	return out
}

var _ = Describe("the registry", func() {
	start := time.Unix(1000, 0)
	one, two := catalog.Replica{ID: "one", Address: "10.0.0.1:80"}, catalog.Replica{ID: "two", Address: "10.0.0.2:80"}

	It("removes replicas that the store no longer lists", func() {
		var g catalog.Registry
		g.Update(start, []catalog.Replica{one, two})
		g.Update(start.Add(time.Second), []catalog.Replica{two})
		Expect(ids(&g)).To(HaveLen(1))
	})

	It("keeps entries that lapsed during a store outage for two seconds after its return", func() {
		var g catalog.Registry
		g.Update(start, []catalog.Replica{one, two})
		back := start.Add(10 * time.Second)
		Expect(g.RetainsLapsed()).To(BeFalse())
		g.Update(back, []catalog.Replica{two})
		Expect(ids(&g)).To(HaveLen(2))
		Expect(g.RetainsLapsed()).To(BeTrue())
		g.Update(back.Add(time.Second), []catalog.Replica{two})
		Expect(ids(&g)).To(HaveLen(2))
		g.Update(back.Add(2*time.Second), []catalog.Replica{two})
		Expect(ids(&g)).To(HaveLen(1))
		Expect(g.RetainsLapsed()).To(BeFalse())
	})

	It("removes a lapsed entry whose address a restarted replica uses", func() {
		var g catalog.Registry
		old, restarted := catalog.Replica{ID: "one@1", Address: "10.0.0.1:80"}, catalog.Replica{ID: "one@2", Address: "10.0.0.1:80"}
		other := catalog.Replica{ID: "two", Address: "10.0.0.2:80"}
		g.Update(start, []catalog.Replica{old, other})
		g.Update(start.Add(10*time.Second), []catalog.Replica{restarted})
		Expect(ids(&g)).To(ConsistOf("one@2", "two"))
	})

	It("replaces its replicas by those of another host", func() {
		var g catalog.Registry
		g.Update(start, []catalog.Replica{one})
		g.ReplaceFromPeer(start.Add(9*time.Second), catalog.NewReplicaSet([]catalog.Replica{two}))
		Expect(ids(&g)).To(ContainElement("two"))
		Expect(g.RetainsLapsed()).To(BeFalse(), "the other host would have reported uncertainty")
		g.ReplaceFromPeer(start.Add(10*time.Second), g.Replicas())
		Expect(ids(&g)).To(HaveLen(1))
		By("not treating its own next read as the return of the store")
		g.Update(start.Add(11*time.Second), []catalog.Replica{one})
		Expect(ids(&g)).To(ConsistOf("one"))
	})
})
