package origin_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/origin"
)

// Guards against a record that names the version of one service and the name of another one: streams
// would go on at a version that did not begin them where both use the same names.
func TestTheFirstRecordOfAStreamStaysWhole(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	k := origin.NewKey("c", "a")
	var s origin.Records
	record := origin.Record{Key: k, Service: "a", Version: "v1", Expires: now.Add(time.Minute)}
	s.Put(now, record)
	s.Put(now, origin.Record{Key: k, Service: "b", Version: "v2", Expires: now.Add(time.Minute)})
	got, known := s.Get(now, k)
	g.Expect(known).To(BeTrue())
	g.Expect(got).To(Equal(record))

	// Earlier daemons name no service.
	other := origin.NewKey("c", "b")
	s.Put(now, origin.Record{Key: other, Version: "v1", Expires: now.Add(time.Minute)})
	s.Put(now, origin.Record{Key: other, Service: "b", Version: "v1", Expires: now.Add(time.Minute)})
	got, _ = s.Get(now, other)
	g.Expect(got.Service).To(Equal("b"))
}

// Guards against sessions that keep to the version of a stream whose caller has given up, and against
// streams that can't be taken up then, since callers may outlast their deadlines.
func TestRecordsOutliveTheirCallersDeadlines(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	var s origin.Records
	k := origin.NewKey("c", "stream")
	put := func(open time.Duration) {
		s.Put(now, origin.Record{Key: k, Version: "v1", Expires: now.Add(time.Minute), OpenUntil: now.Add(open)})
	}
	put(2 * time.Second)
	put(time.Second) // an older copy
	g.Expect(s.Open(now.Add(time.Second), k)).To(BeTrue())
	g.Expect(s.Open(now.Add(2*time.Second), k)).To(BeFalse())
	_, known := s.Get(now.Add(59*time.Second), k)
	g.Expect(known).To(BeTrue())
}
