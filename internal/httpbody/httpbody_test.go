package httpbody_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/httpbody"
)

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

func TestRead(t *testing.T) {
	for name, c := range map[string]struct {
		body  io.Reader
		limit int64
		want  string
		err   error
	}{
		"empty":               {strings.NewReader(""), 0, "", nil},
		"below the limit":     {strings.NewReader("abc"), 4, "abc", nil},
		"at the limit":        {strings.NewReader("abcd"), 4, "abcd", nil},
		"over the limit":      {strings.NewReader("abcde"), 4, "", httpbody.ErrTooLarge},
		"without end":         {endless{}, 1 << 20, "", httpbody.ErrTooLarge},
		"in small pieces":     {iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 10_000))), 10_000, strings.Repeat("x", 10_000), nil},
		"data with the end":   {iotest.DataErrReader(strings.NewReader("abc")), 4, "abc", nil},
		"broken":              {iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("abc"))), 4, "", iotest.ErrTimeout},
		"over the memory":     {endless{}, 8 << 20, "", httpbody.ErrNoMemory},
		"less than uncounted": {strings.NewReader(strings.Repeat("x", httpbody.UncountedBytes)), 8 << 20, strings.Repeat("x", httpbody.UncountedBytes), nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var m httpbody.Memory
			switch c.err {
			case httpbody.ErrNoMemory:
				m = httpbody.NewMemory(4 << 20)
			case nil:
				m = httpbody.NewMemory(httpbody.UncountedBytes * 2)
			}
			got, err := httpbody.ReadWithin(c.body, c.limit, m)
			if c.err != nil {
				g.Expect(err).To(MatchError(c.err))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got)).To(Equal(c.want))
		})
	}
}

// Guards against memory that stays taken after bodies have ended, and against small bodies that fail
// while endless ones take all of it.
func TestMemoryIsReturned(t *testing.T) {
	const size = 4 << 20
	g := NewWithT(t)
	m := httpbody.NewMemory(size)
	for range 20 {
		_, err := httpbody.ReadWithin(endless{}, 2*size, m)
		g.Expect(err).To(MatchError(httpbody.ErrNoMemory))
		_, err = httpbody.ReadWithin(endless{}, size/2, m)
		g.Expect(err).To(MatchError(httpbody.ErrTooLarge))
	}
	g.Expect(m.Take(size)).To(Succeed())
	_, err := httpbody.ReadWithin(bytes.NewReader(make([]byte, httpbody.UncountedBytes-1)), size, m)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.Take(1)).To(MatchError(httpbody.ErrNoMemory))
	m.Release(size)
	g.Expect(m.Take(size)).To(Succeed())
}
