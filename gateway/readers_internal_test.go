package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/origin"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/wire"
)

// Guards against requests that run although a stream of their session is open elsewhere, since one
// holder of its readers failed at once and the other one took a little longer to answer.
func TestFailedAnnouncementsAreNoAnswers(t *testing.T) {
	g := NewWithT(t)
	received := make(chan announcement, 2)
	received <- announcement{}
	time.AfterFunc(2*readerAnswerSpread, func() {
		received <- announcement{others: []origin.Reader{{Host: "slow"}}, answered: true}
	})
	g.Expect(collectReaders(received, 2).others).To(HaveLen(1))
}

// Guards against requests that run at a version that has just appeared although a stream of their
// session is open at the former one, since it began longer ago than most streams last.
func TestReadersOfLongStreamsAreAnnouncedWhenAVersionAppears(t *testing.T) {
	g, now := NewWithT(t), clock.Now()
	s := newStreamOrigins()
	put := func(stream string, age time.Duration) origin.Key {
		key := origin.NewKey("c", stream)
		s.readers.Put(now, origin.Reader{Part: key, Stream: key, Host: "self", ServiceVersion: origin.ServiceVersion{Service: "llm", Version: "v1"}, Expires: now.Add(origin.MaxLifetime - age)})
		return key
	}
	ended, recent := put("ended", minStreamLifetime+time.Second), put("recent", time.Second)
	running, broken := put("running", minStreamLifetime+time.Second), put("broken", minStreamLifetime+time.Second)
	defer s.begin(running)()
	s.records.Put(now, origin.Record{Key: broken, Service: "llm", Version: "v1", Expires: now.Add(time.Second)})
	var announced []origin.Key
	for _, r := range s.ownReaders(now, "self", []string{"llm"}) {
		announced = append(announced, r.Stream)
	}
	g.Expect(announced).To(ConsistOf(recent, running, broken))
	g.Expect(announced).NotTo(ContainElement(ended))
}

// Guards against daemons of an earlier build that lack the other readers, and against their readers
// that count as closed.
func TestReadersAreExchangedWithEarlierDaemons(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	s := streamOrigins{readers: origin.NewReaders(now)}
	announcement := func(i int, decidingOnly bool) *wire.PromptReaders {
		r := origin.Reader{Part: origin.PartKey("p"), Stream: origin.NewKey("c", fmt.Sprint(i)), Host: "h", Expires: now.Add(time.Minute)}
		return &wire.PromptReaders{Readers: []*wire.PromptReader{encodeReader(now, r)}, DecidingOnly: decidingOnly}
	}
	const earlier = 20
	for i := range earlier {
		s.holdReaders(now, announcement(i, false))
	}
	g.Expect(s.holdReaders(now, announcement(earlier, false)).GetReaders()).To(HaveLen(earlier))
	g.Expect(s.holdReaders(now, announcement(earlier, true)).GetReaders()).To(HaveLen(1), "none may be open")

	sent := announcement(0, false).GetReaders()[0]
	closed, _ := decodeReader(now, sent)
	g.Expect(closed.MayBeOpen(now)).To(BeFalse())
	sent.ClosedMs = 0 // as earlier daemons send it
	open, _ := decodeReader(now, sent)
	s.hold(now, []*wire.StreamOrigin{{Key: open.Stream[:], Version: "v1", LeftMs: 1000}})
	g.Expect(s.records.Open(now.Add(999*time.Millisecond), open.Stream)).To(BeTrue())
	g.Expect(open.OpenUntil).To(Equal(now.Add(time.Minute)))
	earlierReply := &originReply{Answer: origin.Answer{Known: true}, key: open.Stream}
	g.Expect(earlierReply.isOpen(open, false)).To(BeTrue())
	g.Expect(earlierReply.isOpen(origin.Reader{Stream: origin.NewKey("c", "further")}, false)).To(BeFalse(), "an earlier daemon says nothing of it")
}
