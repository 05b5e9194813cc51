package peer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/wheatseam/wheatseam/peer"
)

var _ = Describe("a stream of bytes", func() {
	var f *fleet
	var a, b *peer.Transport
	var used *atomic.Int32 // streams in use in this spec

	open := func(value string) (net.Conn, string, error) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var resp text
		c, err := a.OpenStream(ctx, "b", "stream", wrapperspb.String(value), &resp)
		if err == nil {
			DeferCleanup(c.Close)
		}
		return c, resp.Value, err
	}

	BeforeEach(func() {
		inUse := new(atomic.Int32) // streams of the previous spec may end only now
		used = inUse
		f = newFleet(GinkgoT().TempDir())
		cfg := f.config("b")
		peer.HandleStream(cfg.Mux, "stream", func(ctx context.Context, from peer.Sender, req *text) (*text, peer.StreamFunc, error) {
			switch req.Value {
			case "error":
				return nil, nil, errors.New("refused")
			case "panic":
				panic("test")
			case "slow":
				<-ctx.Done()
				time.Sleep(200 * time.Millisecond) // the caller's deadline passes at the same moment
			case "closed":
				return wrapperspb.String(from.Host), nil, nil
			}
			return wrapperspb.String(from.Host), func(stream net.Conn) {
				inUse.Add(1)
				defer inUse.Add(-1)
				_, _ = io.Copy(stream, stream)
			}, nil
		})
		b = f.start(cfg)
		small := f.config("a")
		small.MaxInFlight = 4
		a = f.start(small)
	})

	It("stays open after the answer, beside calls", func() {
		c, answer, err := open("")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal("a"))
		for range 3 {
			_, err = c.Write([]byte("bytes"))
			Expect(err).NotTo(HaveOccurred())
			buf := make([]byte, 5)
			_, err = io.ReadFull(c, buf)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(buf)).To(Equal("bytes"))
			Expect(echo(a, "b", "x", time.Second)).To(Equal("a:x"))
		}
		Expect(c.Close()).To(Succeed())
		Eventually(used.Load).Should(BeZero())
	})

	It("ends with the answer if the handler does not use it", func() {
		c, answer, err := open("closed")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal("a"))
		_, err = io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred())
	})

	It("is not opened if the handler fails, panics or does not answer in time", func() {
		var remote *peer.RemoteError
		_, _, err := open("error")
		Expect(errors.As(err, &remote)).To(BeTrue())
		_, _, err = open("panic")
		Expect(err).To(HaveOccurred())
		_, _, err = open("slow")
		Expect(err).To(MatchError(peer.ErrTimeout))
		Eventually(used.Load).Should(BeZero(), "a stream that nobody awaits stays open")
		Expect(echo(a, "b", "x", time.Second)).To(Equal("a:x"))
	})

	It("is refused beyond the limit of a session", func() {
		for range 4 {
			_, _, err := open("")
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err := open("")
		Expect(err).To(MatchError(peer.ErrBusy))
		Expect(peer.Unsent(err)).To(BeTrue())
	})

	It("breaks with the session", func() {
		c, _, err := open("")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Close()).To(Succeed())
		_, err = io.ReadAll(c)
		Eventually(used.Load).Should(BeZero()) // the other side ends for itself
		Expect(err).NotTo(HaveOccurred(), "yamux ends the streams of a session like closed ones")
	})

	It("does not exist at daemons without the method", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := b.OpenStream(ctx, "a", "stream", wrapperspb.String(""), &text{})
		Expect(err).To(MatchError(peer.ErrUnknownMethod))
	})
})
