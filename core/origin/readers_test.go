package origin_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/origin"
)

// reader is a request of a stream that has a version read a part.
func reader(part, stream, version string, expires time.Time) origin.Reader {
	return origin.Reader{Part: origin.PartKey(part), Stream: origin.NewKey("c", stream), Host: "h", ServiceVersion: origin.ServiceVersion{Service: "llm", Version: version}, Expires: expires}
}

// versionsOf returns the versions of readers, in order.
func versionsOf(readers []origin.Reader) []string {
	var out []string
	for _, r := range readers {
		out = append(out, r.Version)
	}
	return out
}

func TestReadersAreThoseOfOtherStreams(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	s := origin.NewReaders(now)
	s.Put(now, reader("session", "a", "v1", now.Add(time.Minute)))
	s.Put(now, reader("session", "a", "v1", now.Add(time.Minute)))
	s.Put(now, reader("session", "b", "v2", now.Add(time.Second)))
	s.Put(now, reader("other", "c", "v3", now.Add(time.Minute)))
	others := func(at time.Time, stream string) []string {
		return versionsOf(s.Others(at, origin.PartKey("session"), origin.NewKey("c", stream)))
	}
	g.Expect(s.Len()).To(Equal(3), "a stream counts once at a version")
	g.Expect(others(now, "a")).To(Equal([]string{"v2"}))
	g.Expect(others(now, "b")).To(Equal([]string{"v1"}))
	g.Expect(others(now, "d")).To(Equal([]string{"v1", "v2"}))
	g.Expect(others(now.Add(time.Second), "d")).To(Equal([]string{"v1"}), "the other one has expired")
	s.Put(now.Add(time.Hour), reader("last", "e", "v1", now.Add(2*time.Hour)))
	g.Expect(s.Len()).To(Equal(1), "expired ones are removed")
}

// Guards against a busy session that drops what tells that a version has read its part, or that
// makes a host forget the readers of other sessions.
func TestReadersOfABusySessionKeepItsVersions(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	s := origin.NewReaders(now.Add(-time.Minute))
	s.Put(now, reader("session", "first", "v1", now.Add(time.Minute)))
	for i := range 1000 {
		s.Put(now, reader("session", fmt.Sprint(i), "v2", now.Add(time.Minute)))
	}
	g.Expect(s.Len()).To(BeNumerically("<", 100))
	g.Expect(versionsOf(s.Others(now, origin.PartKey("session"), origin.NewKey("c", "999")))).To(ContainElements("v1", "v2"))
	g.Expect(s.CompleteFor(now)).To(Equal(time.Minute))
}

func TestPartsAreSharedByRequestsOfDifferentContent(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	s := origin.NewReaders(now)
	r := reader("a", "first", "v1", now.Add(time.Minute))
	r.Content = 1
	s.Put(now, r)
	r.Stream = origin.NewKey("c", "the same again")
	s.Put(now, r)
	g.Expect(s.PartsShared(now)).To(BeFalse())
	r.Stream, r.Content = origin.NewKey("c", "another one"), 2
	s.Put(now, r)
	g.Expect(s.PartsShared(now)).To(BeTrue())
	g.Expect(s.PartsShared(now.Add(origin.MaxLifetime + 1))).To(BeFalse())
}

// Guards against streams that are joined from two versions, since an attempt that failed before the first
// event had another version read the prompt, the only one that keeps it when the hosts have lost the
// record.
func TestPromptReadForAttemptsAtSeveralVersionsProvesNothing(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	s := origin.NewReaders(now.Add(-time.Hour))
	decide := func() origin.Verdict {
		a := origin.Answer{Versions: []string{"v1", "v2"}, History: time.Hour, HoldsReaders: true, ReadersFor: s.CompleteFor(now)}
		for _, r := range s.AmbiguousReaders(now, origin.PartKey("own"), origin.NewKey("c", "a")) {
			a.Readers = append(a.Readers, r.ServiceVersion)
		}
		memory := origin.NewMemory([]string{"v2"}, nil)
		return origin.Decide(origin.Stream{Service: "llm", Lifetime: lifetime}, []origin.Answer{a}, 0, &memory)
	}
	s.Put(now, reader("own", "a", "v2", now.Add(time.Minute)))
	g.Expect(decide().Reason).To(Equal(origin.PromptKept))
	s.Put(now, reader("own", "a", "v1", now.Add(time.Minute)))
	g.Expect(decide().Reason).To(Equal(origin.SharedPrompt), "the attempt at v2 may have failed before v1 wrote the stream")
	s.Retract(origin.PartKey("own"), origin.NewKey("c", "a"), origin.ServiceVersion{Service: "llm", Version: "v1"})
	g.Expect(decide().Reason).To(Equal(origin.PromptKept), "v1 has not read it after all")
}

// Guards against readers that are dropped for want of room and count as known, and against a busy host
// that knows of no reader since it drops new ones.
func TestReadersThatAreDroppedAreMissed(t *testing.T) {
	g, start := NewWithT(t), time.Unix(1000, 0)
	s := origin.NewReaders(start.Add(-time.Minute))
	const interval = 2 * time.Millisecond
	now := start
	put := func(i int) {
		now = start.Add(time.Duration(i) * interval)
		s.Put(now, reader(fmt.Sprint(i), fmt.Sprint(i), "v1", now.Add(origin.MaxLifetime)))
	}
	for i := range origin.MaxReaders {
		put(i)
	}
	g.Expect(s.CompleteFor(now)).To(BeNumerically(">", time.Minute))
	for i := range origin.MaxReaders {
		put(origin.MaxReaders + i)
	}
	full := origin.MaxReaders * interval
	g.Expect(s.Len()).To(Equal(origin.MaxReaders))
	g.Expect(s.CompleteFor(now)).To(And(BeNumerically("<", full), BeNumerically(">", full/10)))
	for i := range 2 * origin.MaxReaders {
		age := now.Sub(start.Add(time.Duration(i) * interval))
		if age < s.CompleteFor(now) {
			g.Expect(s.Others(now, origin.PartKey(fmt.Sprint(i)), origin.Key{})).To(HaveLen(1), "announced %s ago", age)
		}
	}
}

// Guards against an older copy of a reader, from a host that leaves or gives what it holds, which
// replaces the one of the host that has taken the stream up since.
func TestOlderCopiesOfReadersAreNotTaken(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	s := origin.NewReaders(now)
	newer := reader("session", "a", "v1", now.Add(2*time.Minute))
	newer.Host = "took it up"
	s.Put(now, newer)
	s.Put(now, reader("session", "a", "v1", now.Add(time.Minute)))
	others := s.Others(now, newer.Part, origin.NewKey("c", "other"))
	g.Expect(others).To(HaveLen(1))
	g.Expect(others[0].Host).To(Equal("took it up"))
	g.Expect(others[0].Expires).To(Equal(newer.Expires))
}

// Guards against answers that grow with the readers of a part, and leave out the hosts and versions
// whose streams may be open.
func TestDecidingReadersAreFew(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	var readers []origin.Reader
	add := func(host, version string, open bool) {
		r := reader("session", fmt.Sprint(len(readers)), version, now.Add(time.Minute+time.Duration(len(readers))))
		if r.Host = host; open {
			r.OpenUntil = r.Expires
		}
		readers = append(readers, r)
	}
	add("lost", "v1", true)
	for range 60 {
		add("busy", "v1", true)
	}
	add("last", "v1", false)
	for range 60 {
		add("busy", "v2", false)
	}
	deciding := origin.DecidingReaders(now, readers)
	g.Expect(versionsOf(deciding)).To(Equal(strings.Fields("v2 v1 v1 v1 v1 v1 v1 v1 v1 v1")))
	hosts := map[string]int{}
	for _, r := range deciding {
		hosts[r.Host]++
	}
	g.Expect(hosts).To(Equal(map[string]int{"busy": 8, "lost": 1, "last": 1}))
	g.Expect(origin.LatestReader(deciding)).To(Equal(readers[len(readers)-1]))
	g.Expect(origin.DecidingReaders(now, deciding)).To(Equal(deciding))
	g.Expect(versionsOf(origin.DecidingReaders(now.Add(time.Hour), readers))).To(Equal([]string{"v2", "v1"}), "none may be open")
	g.Expect(versionsOf(origin.LastReaders(readers))).To(Equal([]string{"v2", "v1"}))
}

// Guards against hosts that are asked about a stream once for each host that has told of it.
func TestReadersOfWhichSeveralHostsTellAreDistinct(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	a, b := reader("session", "a", "v1", now.Add(time.Second)), reader("session", "b", "v1", now.Add(time.Second))
	later, elsewhere := a, a
	later.Expires, elsewhere.Version = now.Add(time.Minute), "v2"
	g.Expect(origin.DistinctReaders([]origin.Reader{a, b, later, a, elsewhere, b})).To(Equal([]origin.Reader{later, b, elsewhere}))
}

// BenchmarkReaders measures the memory of a full table, one reader a part, whose strings are not
// shared.
func BenchmarkReaders(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		now := time.Unix(1000, 0)
		s := origin.NewReaders(now)
		for i := range origin.MaxReaders {
			r := reader(fmt.Sprint(i), fmt.Sprint(i), strings.Clone("v1.10.2"), now.Add(time.Minute))
			r.Host, r.Service = strings.Clone("10.0.0.10:8544"), strings.Clone("a service")
			s.Put(now, r)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/origin.MaxReaders, "bytes/reader")
		runtime.KeepAlive(&s)
	}
}

// BenchmarkPrunedReaders measures the readers of a second, one a part, that are put into a table which
// holds them for as long as they live, before and after the first ones expire.
func BenchmarkPrunedReaders(b *testing.B) {
	const seconds, perSecond = int(origin.MaxLifetime / time.Second), 100
	for _, expired := range []bool{false, true} {
		b.Run(fmt.Sprintf("expired=%v", expired), func(b *testing.B) {
			var s origin.Readers
			now, i := time.Unix(1000, 0), 0
			putSecond := func() {
				now = now.Add(time.Second)
				for range perSecond {
					i++
					s.Put(now, reader(fmt.Sprint(i), fmt.Sprint(i), "v1", now.Add(origin.MaxLifetime)))
				}
			}
			for n := 0; b.Loop(); n++ {
				if n == 0 || !expired && n%(seconds/4) == 0 {
					b.StopTimer()
					s = origin.NewReaders(now)
					for range 3 * seconds / 4 {
						putSecond()
					}
					for range seconds {
						if expired {
							putSecond()
						}
					}
					b.StartTimer()
				}
				putSecond()
			}
		})
	}
}

// BenchmarkInherit measures what a host gives one that starts, of full tables.
func BenchmarkInherit(b *testing.B) {
	now := time.Unix(1000, 0)
	var hosts []origin.Host
	for i := range 60 {
		hosts = append(hosts, origin.Host{Name: fmt.Sprint("10.0.0.", i, ":8544"), FailureDomain: fmt.Sprint(i % 4)})
	}
	var all origin.Inheritance
	for i := range origin.MaxReaders {
		r := reader(fmt.Sprint(i), fmt.Sprint(i), "v1", now.Add(time.Minute))
		all.Readers = append(all.Readers, r)
		all.Records = append(all.Records, origin.Record{Key: r.Part, Service: "llm", Version: "v1", Expires: now.Add(time.Minute)})
	}
	for b.Loop() {
		origin.Inherit(hosts[7].Name, hosts, all)
	}
}
