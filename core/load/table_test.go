package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestLoad(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Load")
}

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func testHosts(n int) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[i] = Host{fmt.Sprintf("entry-%d", i), fmt.Sprintf("d%d", i%4)}
	}
	return hosts
}

func testUpstreams(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("upstream-%d", i)
	}
	return names
}

func testTable(self string, upstreams []string, hosts []Host) *Table {
	t := NewTable(Config{Self: self})
	t.Configure(start, upstreams, hosts)
	return t
}

var _ = ginkgo.Describe("poller assignment", func() {
	// pollersOf maps each upstream to the hosts that poll it.
	pollersOf := func(hosts []Host, upstreams []string, k int) map[string][]Host {
		by := map[string][]Host{}
		for _, h := range hosts {
			for _, u := range assignedUpstreams(h.Name, hosts, upstreams, k) {
				by[u] = append(by[u], h)
			}
		}
		return by
	}

	ginkgo.DescribeTable("gives each upstream its pollers, spread over failure domains first",
		func(hosts, k int) {
			by := pollersOf(testHosts(hosts), testUpstreams(50), k)
			Expect(by).To(HaveLen(50))
			for _, pollers := range by {
				Expect(pollers).To(HaveLen(k))
				domains := map[string]bool{}
				for _, p := range pollers {
					domains[p.FailureDomain] = true
				}
				Expect(domains).To(HaveLen(min(k, 4, hosts)))
			}
		},
		ginkgo.Entry("one host", 1, 1),
		ginkgo.Entry("seven hosts, one poller", 7, 1),
		ginkgo.Entry("seven hosts, three pollers", 7, 3),
		ginkgo.Entry("more pollers than failure domains", 20, 6),
	)

	ginkgo.It("reassigns only the upstreams of a lost host", func() {
		hosts, upstreams := testHosts(20), testUpstreams(200)
		before, after := pollersOf(hosts, upstreams, 1), pollersOf(hosts[:19], upstreams, 1)
		for u, pollers := range before {
			if pollers[0].Name != "entry-19" {
				Expect(after[u]).To(Equal(pollers))
			}
		}
	})

	ginkgo.It("observes the poll rate and spreads the polls over the interval", func() {
		t := testTable("entry-0", testUpstreams(60), testHosts(1))
		polls, peak := 0, 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(100 * time.Millisecond) {
			n := len(t.DuePolls(now))
			polls, peak = polls+n, max(peak, n)
		}
		Expect(polls).To(BeNumerically("~", 120, 6))
		Expect(peak).To(BeNumerically("<=", 6))
		Expect(len(t.DuePolls(start.Add(time.Hour)))).To(Equal(60))
		Expect(t.DuePolls(start.Add(time.Hour))).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("Table", func() {
	upstreams := testUpstreams(3)

	ginkgo.It("keeps the report with the later AsOf, whether polled or merged", func() {
		a, b := testTable("entry-0", upstreams, testHosts(2)), testTable("entry-1", upstreams, testHosts(2))
		now := start.Add(time.Second)
		Expect(a.ObservePoll(now, Report{Upstream: "upstream-0", AsOf: start, Running: 3, Queued: 2, Leaving: true})).To(BeTrue())
		Expect(b.ObservePoll(now, Report{Upstream: "upstream-0", AsOf: start.Add(500 * time.Millisecond), Running: 1})).To(BeTrue())
		digest := a.Digest(now, 512)
		Expect(b.Merge(now, digest)).To(BeEmpty())
		updated, err := a.Merge(now, b.Digest(now, 512))
		Expect(err).NotTo(HaveOccurred())
		Expect(updated).To(HaveLen(1))
		Expect(a.Reports()).To(Equal(b.Reports()))
		Expect(a.ObservePoll(now, Report{Upstream: "upstream-0", AsOf: start})).To(BeFalse())

		c := testTable("entry-2", upstreams, testHosts(3))
		updated, err = c.Merge(now, digest)
		Expect(err).NotTo(HaveOccurred())
		Expect(updated).To(HaveExactElements(And(
			HaveField("Upstream", "upstream-0"), HaveField("Running", 5), HaveField("Leaving", true),
			HaveField("AsOf", BeTemporally("==", start)))))
		Expect(c.Merge(now, digest)).To(BeEmpty(), "a known report is not returned again")
	})

	ginkgo.It("limits the digest size and sends the reports sent least often first", func() {
		t := testTable("entry-0", upstreams, testHosts(1))
		for i, u := range upstreams {
			t.ObservePoll(start, Report{Upstream: u, AsOf: start.Add(time.Duration(i) * time.Second)})
		}
		now := start.Add(2 * time.Second)
		seen := map[string]bool{}
		for range 3 {
			digest := t.Digest(now, 11)
			Expect(digest).To(HaveLen(8))
			seen[string(digest)] = true
		}
		Expect(seen).To(HaveLen(3))
		Expect(t.Digest(now, 1000)).To(HaveLen(16))
		Expect(t.Digest(now.Add(time.Minute), 1000)).To(HaveLen(listHashBytes))
	})

	ginkgo.It("limits AsOf to the present, so that a wrong clock does not suppress later reports", func() {
		t := testTable("entry-0", upstreams, testHosts(1))
		Expect(t.ObservePoll(start, Report{Upstream: "upstream-0", AsOf: start.Add(time.Hour)})).To(BeTrue())
		Expect(t.ObservePoll(start.Add(time.Second), Report{Upstream: "upstream-0", AsOf: start.Add(time.Second)})).To(BeTrue())
	})

	ginkgo.It("ignores a digest for another list of upstreams and rejects a truncated one", func() {
		t := testTable("entry-0", upstreams[:2], testHosts(1))
		other := testTable("entry-1", upstreams, testHosts(1))
		other.ObservePoll(start, Report{Upstream: "upstream-1", AsOf: start})
		digest := other.Digest(start, 512)
		Expect(t.Merge(start, digest)).To(BeEmpty())
		_, err := t.Merge(start, digest[:5])
		Expect(err).To(MatchError(errDigestLength))
		_, err = t.Merge(start, nil)
		Expect(err).To(MatchError(errDigestLength))
		t.Configure(start, upstreams, testHosts(1))
		Expect(t.Merge(start, digest)).To(HaveLen(1))
		digest[listHashBytes] = 0xff
		Expect(t.Merge(start, digest)).To(BeEmpty(), "an index beyond the list")
	})
})

// TestEntryRoundTrip checks that decoding a digest entry returns what was encoded, for
// every AsOf up to the maximum age that is forwarded, also if the entry is read a
// little later and if the reader's clock differs a little from the upstream's.
func TestEntryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start.Add(time.Duration(rapid.Int64Range(0, int64(300*24*time.Hour)).Draw(t, "now")))
		age := time.Duration(rapid.Int64Range(-int64(maxClockSkew-asOfResolution), int64(maxForwardAge)).Draw(t, "age"))
		r := Report{
			AsOf:    truncateAsOf(now.Add(-age)),
			Running: rapid.IntRange(0, maxRepresentableLoad).Draw(t, "running"),
			Leaving: rapid.Bool().Draw(t, "leaving"),
		}
		at := now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "transit")))
		index := rapid.Uint16().Draw(t, "index")
		gotIndex, got := readEntry(at, appendEntry(nil, index, &r))
		if gotIndex != index || !got.AsOf.Equal(r.AsOf) || got.Leaving != r.Leaving {
			t.Fatalf("%+v was decoded as %+v", r, got)
		}
		if off := r.Running - got.Running; off < 0 || off >= loadStep || r.Running <= maxExactLoad && off != 0 {
			t.Fatalf("load %d was decoded as %d", r.Running, got.Running)
		}
	})
}
