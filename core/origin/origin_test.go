package origin_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/origin"
)

func TestOrigin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "origin")
}

const lifetime = 30 * time.Second

// known is the answer of a host that has been running for a minute, whose view is new, and which
// holds the readers of the prompt's last part.
func known(versions ...string) origin.Answer {
	return origin.Answer{Versions: versions, History: time.Minute, ViewAge: 100 * time.Millisecond, HoldsReaders: true, ReadersFor: time.Minute}
}

func recorded(version string) origin.Answer {
	a := known("v1", "v2")
	a.Known, a.Version = true, version
	return a
}

func remembers(d time.Duration, a origin.Answer) origin.Answer { a.History = d; return a }
func started(d time.Duration, a origin.Answer) origin.Answer {
	return readersFor(min(a.ReadersFor, d), remembers(min(a.History, d), a))
}
func readersFor(d time.Duration, a origin.Answer) origin.Answer { a.ReadersFor = d; return a }
func holdsNone(a origin.Answer) origin.Answer                   { a.HoldsReaders = false; return a }
func shares(a origin.Answer) origin.Answer                      { a.PartsShared = true; return a }
func readAt(version string, a origin.Answer) origin.Answer {
	a.Readers = append(a.Readers, origin.ServiceVersion{Version: version})
	return a
}
func moved(ago time.Duration, a origin.Answer) origin.Answer { a.Moved = ago; return a }
func stale(a origin.Answer) origin.Answer                    { a.ViewAge = 5 * time.Second; return a }

// describe is what a verdict says, in one line.
func describe(v origin.Verdict) string {
	s := string(v.Reason)
	if v.Known {
		s += " " + v.Version
	}
	if v.MayCome {
		s += ", may come"
	}
	if v.After > 0 {
		s += fmt.Sprint(" in ", v.After)
	}
	return s
}

// waited is for how long the decisions of the tables have waited for a newer view.
const waited = 200 * time.Millisecond

var _ = DescribeTable("which version began a stream", func(want string, unanswered int, answers ...origin.Answer) {
	Expect(describe(origin.Decide(origin.Stream{Lifetime: lifetime, Waited: waited}, answers, unanswered, nil))).To(Equal(want))
},
	Entry("a record here", "record v2", 0, recorded("v2")),
	Entry("a record elsewhere, though others do not answer", "record v2", 3, known("v1", "v2"), recorded("v2")),
	Entry("a record, all hosts have just started", "record v2", 0, started(time.Second, recorded("v2"))),
	Entry("records that differ", "conflict", 0, recorded("v1"), recorded("v2")),
	Entry("several versions", "several_versions", 0, known("v1", "v2"), known("v1", "v2")),
	Entry("several versions, and a host does not answer", "several_versions, may come", 1, known("v1", "v2")),
	Entry("a version that only another host has seen", "several_versions", 0, known("v1"), known("v1", "v2")),
	Entry("one version, all answer", "one_version v1", 0, known("v1"), known("v1")),
	Entry("one version, nobody answers", "one_version v1", 4, known("v1")),
	Entry("one version that no replica names", "one_version ", 0, known(""), known("")),
	Entry("one version, the view is older than the resume", "old_view, may come", 0, stale(known("v1"))),
	Entry("one version, the views of all others are old, too", "old_view, may come", 0, stale(known("v1")), stale(known("v1"))),
	Entry("one version, the view is old, another one is new", "one_version v1", 2, stale(known("v1")), known("v1")),
	Entry("one version, this host has just started", "one_version v1", 0, started(time.Second, known("v1")), known("v1")),
	Entry("one version, all hosts have just started", "short_history, may come in 29s", 0, started(time.Second, known("v1")), started(time.Second, known("v1"))),
	Entry("one version, a history that ends before the others begin", "short_history, may come in 28s", 0, started(2*time.Second, known("v1")), stale(known("v1"))),
	Entry("one version, a history that ends after another begins", "one_version v1", 0, started(6*time.Second, known("v1")), stale(known("v1"))),
	Entry("one version, a route was led to the service since", "short_history, may come in 10s", 0, moved(20*time.Second, known("v1")), known("v1")),
	Entry("one version, another host knows that a route was led there since", "short_history, may come in 10s", 0, known("v1"), moved(20*time.Second, known("v1"))),
	Entry("one version, a route was led to the service before", "one_version v1", 0, moved(40*time.Second, known("v1")), known("v1")),
	Entry("no replica known", "no_evidence", 0, known()),
)

// Guards against streams of a route that is split between services which are joined from two of
// them.
var _ = DescribeTable("which service and version began a stream, by what replicas keep of its prompt", func(want string, first, second origin.Memory) {
	v := origin.DecideAmong(origin.Stream{Lifetime: lifetime}, origin.Evidence{History: time.Minute, ReadersFor: time.Minute}, map[string]origin.Memory{"a": first, "b": second})
	Expect(fmt.Sprint(v.Service, v.Version, v.Known)).To(Equal(want))
},
	Entry("one version of one service", "av1true", origin.Memory{Holding: []string{"v1"}}, origin.Memory{}),
	Entry("the same version of both", "false", origin.Memory{Holding: []string{"v1"}}, origin.Memory{Holding: []string{"v1"}}),
	Entry("a silent replica of the same version of the other", "false", origin.Memory{Holding: []string{"v1"}}, origin.Memory{Silent: []string{"v1"}}),
	Entry("a silent replica of the same version and service", "av1true", origin.Memory{Holding: []string{"v1"}, Silent: []string{"v1"}}, origin.Memory{}),
	Entry("none", "false", origin.Memory{}, origin.Memory{}),
)

// Guards against streams that are refused though a silent replica may tell their version later, and
// against callers that wait in vain.
var _ = DescribeTable("whether silent replicas may tell which version began a stream", func(want string, asks bool, holding, silent []string) {
	s := origin.Stream{Lifetime: lifetime, Waited: waited, ReplicasAsked: asks}
	m := origin.Memory{Holding: holding, Silent: silent}
	Expect(describe(origin.Decide(s, []origin.Answer{known("v1", "v2")}, 0, &m))).To(Equal(want))
	Expect(origin.DecideAmong(s, origin.Evidence{}, map[string]origin.Memory{"a": m, "b": {}}).MayCome).To(Equal(want != "several_versions"))
},
	Entry("of another version than the one that keeps it", "several_versions, may come", true, []string{"v1"}, []string{"v2"}),
	Entry("none keeps it yet", "several_versions, may come", true, nil, []string{"v2"}),
	Entry("two versions keep it", "several_versions", true, []string{"v1", "v2"}, []string{"v1"}),
	Entry("none is silent", "several_versions", true, nil, nil),
	Entry("they are not asked", "several_versions", false, []string{"v1"}, []string{"v2"}),
)

// Guards against joins by what replicas keep, where a replica of another version may have kept it,
// too, and against refusals where none can have.
var _ = DescribeTable("which version began a stream, by what replicas keep of its prompt", func(want string, holding, silent []string, a origin.Answer) {
	s := origin.Stream{Lifetime: lifetime, Waited: waited}
	Expect(describe(origin.Decide(s, []origin.Answer{a, a}, 0, &origin.Memory{Holding: holding, Silent: silent}))).To(Equal(want))
},
	Entry("of one version", "prompt_kept v1", []string{"v1"}, nil, known("v1", "v2")),
	Entry("of one version, though another one of it is silent", "prompt_kept v1", []string{"v1"}, []string{"v1"}, known("v1", "v2")),
	Entry("of one version, and one of the other is silent", "several_versions", []string{"v1"}, []string{"v2"}, known("v1", "v2")),
	Entry("of both", "several_versions", []string{"v1", "v2"}, nil, known("v1", "v2")),
	Entry("of none", "several_versions", nil, nil, known("v1", "v2")),
	Entry("of none, and all are silent", "several_versions", nil, []string{"v1", "v2"}, known("v1", "v2")),
	Entry("of one version, all hosts have just started", "prompt_kept v1", []string{"v1"}, nil, started(time.Second, known("v1", "v2"))),
	Entry("of none, all hosts have just started", "short_history, may come in 29s", nil, nil, started(time.Second, known("v1"))),
	Entry("of one version, the view is old", "prompt_kept v1", []string{"v1"}, nil, stale(known("v1"))),
	Entry("of none, the view is old", "old_view, may come", nil, nil, stale(known("v1"))),
	Entry("a record says otherwise", "record v2", []string{"v1"}, nil, recorded("v2")),
	Entry("of one version, which read it for another request", "shared_prompt", []string{"v1"}, nil, readAt("v1", known("v1", "v2"))),
	Entry("of the only version, which read it for another request", "shared_prompt", []string{"v1"}, nil, readAt("v1", started(time.Second, known("v1")))),
	Entry("of one version, while the other one read it for another request", "prompt_kept v1", []string{"v1"}, nil, readAt("v2", known("v1", "v2"))),
	Entry("of one version, whose readers are known for less time than a stream lasts", "unknown_readers, may come in 25s", []string{"v1"}, nil, shares(readersFor(5*time.Second, known("v1", "v2")))),
	Entry("of one version, whose readers no host holds", "unknown_readers, may come in 30s", []string{"v1"}, nil, shares(holdsNone(known("v1", "v2")))),
	Entry("of one version, whose readers are known for as long as a stream lasts", "prompt_kept v1", []string{"v1"}, nil, shares(readersFor(lifetime, known("v1", "v2")))),
	Entry("of one version, all hosts have just started, and requests share parts", "unknown_readers, may come in 25s", []string{"v1"}, nil, shares(started(5*time.Second, known("v1")))),
	Entry("of one version, whose readers are not known, where no requests share parts", "prompt_kept v1", []string{"v1"}, nil, readersFor(10*time.Second, known("v1", "v2"))),
	Entry("of one version, whose readers are hardly known, and a route was led to the service since", "unknown_readers", []string{"v1"}, nil, moved(time.Second, readersFor(time.Second, known("v1", "v2")))),
	Entry("of one version, whose readers are hardly known", "unknown_readers", []string{"v1"}, nil, readersFor(time.Second, known("v1", "v2"))),
)

var _ = Describe("records", func() {
	now := time.Unix(1000, 0)
	put := func(s *origin.Records, name, version string, left time.Duration) {
		s.Put(now, origin.Record{Key: origin.NewKey("c", name), Service: "llm", Version: version, Expires: now.Add(left), Own: true})
	}

	It("keep the first version of a stream, until it expires", func() {
		s := &origin.Records{}
		put(s, "a", "v1", time.Second)
		put(s, "a", "v2", 2*time.Second)
		r, known := s.Get(now.Add(1500*time.Millisecond), origin.NewKey("c", "a"))
		Expect(known).To(BeTrue())
		Expect(r.Version).To(Equal("v1"))
		_, known = s.Get(now.Add(2*time.Second), origin.NewKey("c", "a"))
		Expect(known).To(BeFalse())
		_, known = s.Get(now, origin.NewKey("other", "a"))
		Expect(known).To(BeFalse(), "a stream of another customer")
	})

	It("are bounded in number and time", func() {
		s := &origin.Records{}
		for i := range origin.MaxRecords + 100 {
			put(s, fmt.Sprint(i), "v1", time.Hour)
		}
		Expect(s.Len()).To(Equal(origin.MaxRecords))
		_, known := s.Get(now.Add(origin.MaxLifetime), origin.NewKey("c", fmt.Sprint(origin.MaxRecords+99)))
		Expect(known).To(BeFalse())
	})

	It("are sent once when a second version appears", func() {
		s := &origin.Records{}
		put(s, "a", "v1", time.Minute)
		Expect(s.TakeUnsent(now, "llm")).To(HaveLen(1))
		Expect(s.TakeUnsent(now, "llm")).To(BeEmpty())
	})
})

var _ = Describe("history", func() {
	It("remembers versions that are gone for a lifetime", func() {
		h := &origin.History{}
		now := time.Unix(1000, 0)
		Expect(h.Observe(now, []origin.Change{{Service: "llm", Version: "v1"}, {Service: "llm", Version: "v1"}})).To(BeEmpty())
		now = now.Add(time.Minute)
		Expect(h.Observe(now, []origin.Change{{Service: "llm", Version: "v2"}, {Service: "llm", Version: "v1", Removed: true}})).To(ConsistOf("llm"))
		Expect(h.Versions(now, "llm", lifetime)).To(ConsistOf("v1", "v2"))
		h.Observe(now, []origin.Change{{Service: "llm", Version: "v1", Removed: true}})
		Expect(h.Versions(now.Add(lifetime), "llm", lifetime)).To(ConsistOf("v1", "v2"))
		Expect(h.Versions(now.Add(lifetime+1), "llm", lifetime)).To(ConsistOf("v2"))
		Expect(h.Length(now)).To(Equal(time.Minute))
	})
})

// simHost is a host of a simulated fleet. frozenUntil and aloneUntil are until when it answers
// nobody, and reaches nobody.
type simHost struct {
	origin.Host
	records     origin.Records
	history     origin.History
	frozenUntil time.Time
	aloneUntil  time.Time
	dead        bool
}

func (h *simHost) answers(now time.Time) bool {
	return !h.dead && !now.Before(h.frozenUntil) && !now.Before(h.aloneUntil)
}

// simFleet is a fleet whose service is released: replicas of two versions serve from the start.
type simFleet struct {
	rng      *rand.Rand
	hosts    []*simHost
	now      time.Time
	messages int
}

func (f *simFleet) add(name int) *simHost {
	h := &simHost{Host: origin.Host{Name: fmt.Sprint("h", name), FailureDomain: fmt.Sprint("d", name%3)}}
	h.history.Observe(f.now, []origin.Change{{Service: "llm", Version: "v1"}, {Service: "llm", Version: "v2"}})
	f.hosts = append(f.hosts, h)
	return h
}

// others are the hosts that a host considers reachable: those that died lately, too.
func (f *simFleet) others(self *simHost) (hosts []origin.Host, byName map[string]*simHost) {
	byName = map[string]*simHost{}
	for _, h := range f.hosts {
		if h != self {
			hosts, byName[h.Name] = append(hosts, h.Host), h
		}
	}
	return hosts, byName
}

// begin has a host send the first event of a stream; the records reach their holders unless
// it dies first.
func (f *simFleet) begin(h *simHost, key origin.Key, version string, diesAtOnce bool) {
	r := origin.Record{Key: key, Service: "llm", Version: version, Expires: f.now.Add(lifetime)}
	h.records.Put(f.now, r)
	if diesAtOnce || f.now.Before(h.aloneUntil) {
		return
	}
	hosts, byName := f.others(h)
	for _, holder := range origin.Holders(key, hosts) {
		f.messages++
		if o := byName[holder.Name]; o.answers(f.now) {
			o.records.Put(f.now, r)
		}
	}
}

// resume has a host decide.
func (f *simFleet) resume(h *simHost, key origin.Key) origin.Verdict {
	answerOf := func(o *simHost) origin.Answer {
		r, known := o.records.Get(f.now, key)
		return origin.Answer{Known: known, Version: r.Version, Versions: o.history.Versions(f.now, "llm", lifetime), History: o.history.Length(f.now)}
	}
	answers, unanswered := []origin.Answer{answerOf(h)}, 0
	hosts, byName := f.others(h)
	for _, asked := range origin.Asked(key, hosts) {
		if o := byName[asked.Name]; o.answers(f.now) && !f.now.Before(h.aloneUntil) {
			answers = append(answers, answerOf(o))
		} else {
			unanswered++
		}
	}
	return origin.Decide(origin.Stream{Lifetime: lifetime}, answers, unanswered, nil)
}

// Guards against streams that are joined over two versions, and against resumes that are refused
// more than half as often as they come, while hosts die, freeze, join and are cut off.
var _ = DescribeTable("streams that are taken up at any host", func(hosts int) {
	f := &simFleet{rng: rand.New(rand.NewPCG(1, uint64(hosts))), now: time.Unix(1000, 0)}
	for i := range hosts {
		f.add(i)
	}
	const streams = 600
	joined, resumed, taken, next := 0, 0, 0, hosts
	for i := range streams {
		f.now = f.now.Add(100 * time.Millisecond)
		f.hosts = slices.DeleteFunc(f.hosts, func(h *simHost) bool { return h.dead })
		for len(f.hosts) < hosts {
			f.add(next)
			next++
		}
		if other := f.hosts[f.rng.IntN(len(f.hosts))]; i%7 == 0 {
			other.frozenUntil = f.now.Add(time.Second)
		} else if i%11 == 0 {
			other.aloneUntil = f.now.Add(time.Second)
		}
		first := f.hosts[f.rng.IntN(len(f.hosts))]
		version := fmt.Sprint("v", 1+f.rng.IntN(2))
		key := origin.NewKey("customer", fmt.Sprint(i))
		first.dead = i%2 == 0 // the commonest reason to resume
		f.begin(first, key, version, first.dead && f.rng.IntN(20) == 0)
		second := f.hosts[f.rng.IntN(len(f.hosts))]
		if second.dead || f.now.Before(second.frozenUntil) {
			continue
		}
		taken++
		if v := f.resume(second, key); v.Known {
			resumed++
			if v.Version != version {
				joined++
			}
		}
	}
	AddReportEntry("resumes", fmt.Sprintf("%d of %d streams go on, %d at another version, %.1f messages a stream", resumed, taken, joined, float64(f.messages)/streams))
	Expect(joined).To(BeZero())
	Expect(resumed).To(BeNumerically(">", taken/2))
	Expect(f.messages).To(BeNumerically("<=", 2*streams))
},
	Entry("6 hosts", 6), Entry("60 hosts", 60), Entry("985 hosts", 985),
)

// BenchmarkRecords measures the memory of a full table whose strings are not shared.
func BenchmarkRecords(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := &origin.Records{}
		now := time.Unix(1000, 0)
		for i := range origin.MaxRecords {
			s.Put(now, origin.Record{Key: origin.NewKey("c", fmt.Sprint(i)), Service: strings.Clone("a service"), Version: strings.Clone("v1.10.2"), Expires: now.Add(time.Minute)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/origin.MaxRecords, "bytes/record")
		runtime.KeepAlive(s)
	}
}

// BenchmarkAsked measures finding the hosts of a stream.
func BenchmarkAsked(b *testing.B) {
	var hosts []origin.Host
	for i := range 985 {
		hosts = append(hosts, origin.Host{Name: fmt.Sprint("10.0.0.", i, ":8544"), FailureDomain: fmt.Sprint(i % 4)})
	}
	key := origin.NewKey("c", "a")
	for b.Loop() {
		origin.Asked(key, hosts)
	}
}
