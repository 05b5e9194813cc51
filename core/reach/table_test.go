package reach_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/reach"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// attempt is an attempt at replica r of a service of 10 that began at a time.
func attempt(replica string, began time.Time) reach.Attempt {
	return reach.Attempt{Replica: replica, Service: "s", Began: began, Listed: 10}
}

func report(reporter, domain string, ms int) reach.Report {
	return reach.Report{Replica: "r", Reporter: reporter, Domain: domain, At: at(ms)}
}

// Guards against a replica that is avoided without enough evidence, for too long, or not at all.
func TestVerdicts(t *testing.T) {
	fail := func(began, ended int) func(*reach.Table) {
		return func(tb *reach.Table) { tb.Failed(at(ended), attempt("r", at(began))) }
	}
	merge := func(now int, rs ...reach.Report) func(*reach.Table) {
		return func(tb *reach.Table) { tb.Merge(at(now), rs) }
	}
	succeed := func(now int) func(*reach.Table) {
		return func(tb *reach.Table) { tb.Succeeded(at(now), "r") }
	}
	cutOff := func(tb *reach.Table) {
		for i := range 6 {
			tb.Failed(at(100), attempt(fmt.Sprint("other", i), at(0)))
		}
	}
	two := []reach.Report{report("a", "x", 0), report("b", "y", 100)}
	type events []func(*reach.Table)
	for name, c := range map[string]struct {
		events  events
		several bool
		now     int
		want    int // when it is tried again, in milliseconds; -1 without evidence
	}{
		"nothing":                             {now: 0, want: -1},
		"one own failure":                     {events: events{fail(0, 300)}, now: 300, want: 1300},
		"on probation":                        {events: events{fail(0, 300)}, now: 5000, want: 1300},
		"two attempts at a time":              {events: events{fail(0, 300), fail(200, 500)}, now: 500, want: 1300},
		"a probe fails":                       {events: events{fail(0, 300), fail(1300, 1600)}, now: 1600, want: 3600},
		"up to four seconds":                  {events: events{fail(0, 0), fail(1, 1), fail(2, 2), fail(3, 3), fail(4, 4)}, now: 4, want: 4004},
		"own success":                         {events: events{fail(0, 300), succeed(400)}, now: 400, want: -1},
		"failure after success":               {events: events{fail(0, 300), fail(1300, 1600), succeed(1700), fail(1800, 2000)}, now: 2000, want: 3000},
		"cut off from most":                   {events: events{fail(0, 300), cutOff}, now: 300, want: -1},
		"cut off, others report":              {events: events{fail(0, 300), cutOff, merge(200, two...)}, several: true, now: 300, want: 2000},
		"one report":                          {events: events{merge(100, two[0])}, now: 100, want: -1},
		"one host reports twice":              {events: events{merge(100, two[0]), merge(900, report("a", "x", 800))}, now: 900, want: -1},
		"two reports":                         {events: events{merge(100, two...)}, several: true, now: 100, want: 2000},
		"two of one domain of several":        {events: events{merge(100, report("a", "x", 0), report("b", "x", 0))}, several: true, now: 100, want: -1},
		"two of unknown domains":              {events: events{merge(100, report("a", "", 0), report("b", "", 0))}, several: true, now: 100, want: -1},
		"two of the only domain":              {events: events{merge(100, report("a", "x", 0), report("b", "x", 0))}, now: 100, want: 2000},
		"by the second domain's newest":       {events: events{merge(500, two[0], two[1], report("c", "x", 400), report("d", "x", 450))}, several: true, now: 500, want: 2100},
		"reports expire: probation":           {events: events{merge(100, two...), func(tb *reach.Table) { tb.Verdict(at(100), "r") }}, several: true, now: 3000, want: 2000},
		"a response since":                    {events: events{merge(100, two...), succeed(150)}, several: true, now: 150, want: -1},
		"reports after a response":            {events: events{merge(100, two...), succeed(150), merge(1000, report("a", "x", 900), report("b", "y", 900))}, several: true, now: 1000, want: -1},
		"reports after a response, own fails": {events: events{merge(100, two...), succeed(150), fail(900, 1000), merge(1000, report("a", "x", 900), report("b", "y", 950))}, several: true, now: 1000, want: 2900},
		"the later of both":                   {events: events{fail(0, 300), merge(300, two...)}, several: true, now: 300, want: 2000},
		"too old, of the future, of itself":   {events: events{merge(2100, two[0], two[1], report("c", "z", 2200), report("self", "w", 2000))}, several: true, now: 2100, want: -1},
	} {
		t.Run(name, func(t *testing.T) {
			g, tb := NewWithT(t), reach.New("self")
			tb.SetSeveralDomains(c.several)
			for _, e := range c.events {
				e(tb)
			}
			v := tb.Verdict(at(c.now), "r")
			if c.want < 0 {
				g.Expect(v.Until).To(BeZero())
			} else {
				g.Expect(v.Until).To(Equal(at(c.want)))
			}
		})
	}
}

// Guards against reports without end: a replica that others can't reach, and this host can, must
// be tried within seconds, and be used from then on; if an attempt confirms them, they hold on.
func TestReportsAloneHoldForALimitedTime(t *testing.T) {
	g, tb := NewWithT(t), reach.New("self")
	blocked := func(now time.Time) bool {
		tb.Merge(now, []reach.Report{{Replica: "r", Reporter: "a", Domain: "x", At: now}, {Replica: "r", Reporter: "b", Domain: "y", At: now}})
		v := tb.Verdict(now, "r")
		return v.Unreachable(now)
	}
	for ms := 0; ms < 10000; ms += 500 {
		g.Expect(blocked(at(ms))).To(Equal(ms < 7000), "%d ms", ms)
		due := tb.DueProbes(at(ms), 9, func(string) bool { return true })
		g.Expect(due).To(HaveLen(map[int]int{3000: 1, 6000: 1, 7000: 1, 8000: 1, 9000: 1}[ms]), "%d ms", ms)
		if ms == 3000 {
			_, announce := tb.Failed(at(ms), attempt("r", at(ms)))
			g.Expect(announce).To(BeFalse(), "it is known")
		}
	}
	tb.Succeeded(at(10000), "r")
	for ms := 10000; ms < 40000; ms += 500 {
		g.Expect(blocked(at(ms))).To(BeFalse())
	}
}

// Guards against messages at once for reports that only confirm what hosts know.
func TestUrgentReports(t *testing.T) {
	g, tb := NewWithT(t), reach.New("self")
	reports := []reach.Report{report("a", "x", 0), report("b", "y", 0), report("c", "z", 0), report("a", "x", 50)}
	urgent, others := tb.Merge(at(100), reports)
	g.Expect(urgent).To(Equal(reports[:2]))
	g.Expect(others).To(Equal(reports[2:3]), "the last one is from the same host and as old")
}

// Guards against reports by a host that is cut off, and against one for each failed request.
func TestReportsOfOwnFailures(t *testing.T) {
	g, tb := NewWithT(t), reach.New("self")
	announced := func(replica string, began, ended int) bool {
		r, announce := tb.Failed(at(ended), attempt(replica, at(began)))
		if announce {
			g.Expect(r).To(Equal(reach.Report{Replica: replica, Reporter: "self", At: at(began)}))
		}
		return announce
	}
	g.Expect(announced("r", 0, 300)).To(BeTrue())
	g.Expect(announced("r", 100, 400)).To(BeFalse())
	g.Expect(announced("r", 1300, 1600)).To(BeTrue())
	for i := range 4 {
		g.Expect(announced(fmt.Sprint(i), 1300, 1600)).To(BeTrue())
	}
	g.Expect(announced("sixth of ten", 1300, 1600)).To(BeFalse())
	g.Expect(tb.CutOff("s")).To(BeTrue())
	tb.Succeeded(at(1700), "0")
	tb.Prune(at(1700), func(string) int { return 10 })
	g.Expect(tb.CutOff("s")).To(BeFalse())

	others := reach.New("other")
	for i := range 2 {
		others.Merge(at(300), []reach.Report{report(fmt.Sprint(i), fmt.Sprint(i), 200)})
	}
	_, announce := others.Failed(at(400), attempt("r", at(300)))
	g.Expect(announce).To(BeFalse(), "enough others have reported")
}

// Guards against probes of a whole fleet, of replicas that have ended, and without pause.
func TestDueProbes(t *testing.T) {
	g, tb := NewWithT(t), reach.New("self")
	listed := func(id string) bool { return id != "ended" }
	tb.Failed(at(0), attempt("r", at(0)))
	tb.Failed(at(10), attempt("late", at(10)))
	tb.Failed(at(0), attempt("ended", at(0)))
	g.Expect(tb.DueProbes(at(999), 9, listed)).To(BeEmpty())
	g.Expect(tb.DueProbes(at(1100), 1, listed)).To(Equal([]string{"r"}))
	g.Expect(tb.DueProbes(at(1100), 9, listed)).To(Equal([]string{"late"}))
	for i := range 2 {
		tb.Merge(at(2100), []reach.Report{report(fmt.Sprint(i), "x", 2000)})
	}
	g.Expect(tb.DueProbes(at(2100), 9, listed)).To(Equal([]string{"late"}), "others probe r")
	g.Expect(tb.DueProbes(at(3200), 9, listed)).To(Equal([]string{"r", "late"}), "they no longer do")
}

// Guards, with random schedules, against memory without bound, reports that go round, verdicts
// by the evidence of one host, and avoidance that outlasts the evidence.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(120) {
		g, rng, tb := NewWithT(t), rand.New(rand.NewPCG(seed, 1)), reach.New("self")
		tb.SetSeveralDomains(true)
		now := start
		seen := map[reach.Report]bool{}
		lastOther, lastOwn := time.Time{}, time.Time{}
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			switch rng.IntN(6) {
			case 0:
				tb.Failed(now, attempt("r", now.Add(-time.Duration(rng.IntN(300))*time.Millisecond)))
				lastOwn = now
			case 1:
				tb.Succeeded(now, "r")
				v := tb.Verdict(now, "r")
				g.Expect(v.Until).To(BeZero())
				lastOwn = time.Time{}
			default:
				n := rng.IntN(12)
				r := reach.Report{Replica: "r", Reporter: fmt.Sprint(n), Domain: fmt.Sprint(n % 3), At: now.Add(-time.Duration(rng.IntN(2500)) * time.Millisecond)}
				if seed%3 == 0 {
					r.Reporter, r.Domain = "only", "x"
				}
				urgent, others := tb.Merge(now, []reach.Report{r})
				for _, passed := range slices.Concat(urgent, others) {
					g.Expect(seen).NotTo(HaveKey(passed))
					seen[passed] = true
					urgent, others := tb.Merge(now, []reach.Report{passed})
					g.Expect(slices.Concat(urgent, others)).To(BeEmpty())
				}
				lastOther = now
			}
			v := tb.Verdict(now, "r")
			g.Expect(len(v.Reporters)).To(BeNumerically("<=", reach.MaxReporters))
			g.Expect(v.Until.Sub(now)).To(BeNumerically("<=", reach.MaxOwnPeriod))
			if v.Unreachable(now) && seed%3 == 0 {
				g.Expect(v.Own).To(BeTrue(), "seed %d", seed)
			}
			if v.Unreachable(now) && !v.Own {
				g.Expect(now.Sub(lastOther)).To(BeNumerically("<", reach.ReportPeriod), "seed %d", seed)
			}
			if v.Own {
				g.Expect(lastOwn).NotTo(BeZero())
			}
		}
		g.Expect(tb.Prune(now.Add(reach.Retention), func(string) int { return 10 })).To(Equal([]string{"r"}))
		g.Expect(tb.Len()).To(BeZero())
	}
	g, tb := NewWithT(t), reach.New("self")
	for i := range 2 * reach.MaxReplicas {
		tb.Merge(start, []reach.Report{{Replica: fmt.Sprint(i), Reporter: "a", At: start}})
	}
	g.Expect(tb.Len()).To(Equal(reach.MaxReplicas))
}

// Guards against reports that hosts pass on to each other again and again: with more domains
// than reports are stored for, each replaced another one, which was then news again.
func TestReportsAreNewsOnce(t *testing.T) {
	g := NewWithT(t)
	tb := reach.New("self")
	tb.SetSeveralDomains(true)
	var all []reach.Report
	for i := range 12 {
		all = append(all, report(fmt.Sprint("host", i), fmt.Sprint("domain", i%6), i))
	}
	urgent, others := tb.Merge(at(100), all)
	g.Expect(len(urgent) + len(others)).To(Equal(reach.MaxReporters))
	for now := 110; now < 900; now += 10 {
		urgent, others = tb.Merge(at(now), all)
		g.Expect(slices.Concat(urgent, others)).To(BeEmpty())
	}
	g.Expect(tb.Verdict(at(900), "r").Reporters).To(HaveLen(reach.MaxReporters))
}

// Guards against evidence that is ignored because earlier starts of the replicas, which are
// no longer listed, refuse connections.
func TestEarlierStartsDoNotCountAsUnreachable(t *testing.T) {
	g := NewWithT(t)
	tb := reach.New("self")
	for i := range 8 {
		a := attempt(fmt.Sprint("earlier", i), at(0))
		a.IsListed = func(replica string) bool { return replica == "r" }
		tb.Failed(at(100), a)
	}
	a := attempt("r", at(200))
	a.IsListed = func(replica string) bool { return replica == "r" }
	_, announce := tb.Failed(at(300), a)
	g.Expect(announce).To(BeTrue())
	g.Expect(tb.CutOff("s")).To(BeFalse())
}
