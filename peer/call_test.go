package peer_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/wire"
)

var _ = Describe("Call", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet(GinkgoT().TempDir()) })

	It("calls a method at another host, using one session in both directions", func() {
		a, b := f.start(f.config("a")), f.start(f.config("b"))
		Expect(echo(a, "b", "x", time.Second)).To(Equal("a:x"))
		Expect(echo(b, "a", "y", time.Second)).To(Equal("b:y"))
		Expect(a.Sessions()).To(HaveLen(1))
		Expect(b.Sessions()).To(HaveLen(1))
	})

	It("serves a call to its own host without a session", func() {
		a := f.start(f.config("a"))
		Expect(echo(a, "a", "x", time.Second)).To(Equal("a:x"))
		Expect(a.Sessions()).To(BeEmpty())
		var resp text
		Expect(a.Call(context.Background(), "a", "absent", &text{}, &resp)).To(MatchError(peer.ErrUnknownMethod))
	})

	It("identifies the sender to the handler and the answering process to the caller", func() {
		got := make(chan peer.Sender, 1)
		cfg := f.config("b")
		peer.Handle(cfg.Mux, "who", func(_ context.Context, from peer.Sender, _ *text) (*text, error) {
			got <- from
			return &text{}, nil
		})
		ac := f.config("a")
		a := f.start(ac)
		f.start(cfg)
		answerer, err := a.CallWithSender(context.Background(), "b", "who", &text{}, &text{})
		Expect(err).NotTo(HaveOccurred())
		Expect(answerer.Host).To(Equal("b"))
		Expect(answerer.Incarnation).To(Equal(cfg.Incarnation))
		from := <-got
		Expect(from.Host).To(Equal("a"))
		Expect(from.Incarnation).To(Equal(ac.Incarnation))
		Expect(from.SentAt).To(BeTemporally("~", time.Now(), time.Minute))
	})

	It("returns typed errors for unknown methods, unknown hosts and errors of handlers", func() {
		cfg := f.config("b")
		peer.Handle(cfg.Mux, "fail", func(context.Context, peer.Sender, *text) (*text, error) {
			return nil, fmt.Errorf("no: %w", peer.ErrBusy)
		})
		peer.Handle(cfg.Mux, "panic", func(context.Context, peer.Sender, *text) (*text, error) {
			panic("boom")
		})
		a := f.start(f.config("a"))
		f.start(cfg)
		call := func(host, method string) error {
			return a.Call(context.Background(), host, method, &text{}, &text{})
		}
		Expect(call("b", "absent")).To(MatchError(peer.ErrUnknownMethod))
		err := call("nobody", "echo")
		Expect(err).To(MatchError(peer.ErrUnknownHost))
		Expect(peer.Unsent(err)).To(BeTrue())

		err = call("b", "fail")
		var remote *peer.RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Message).To(HavePrefix("no: "))
		Expect(err).NotTo(MatchError(peer.ErrBusy), "an error of the handler's own call is not this call's")
		Expect(call("b", "panic")).To(MatchError(ContainSubstring("panicked")))
		Expect(echo(a, "b", "x", time.Second)).To(Equal("a:x"))
	})

	It("accepts a newer message with unknown fields", func() {
		cfg := f.config("b")
		peer.Handle(cfg.Mux, "narrow", func(_ context.Context, _ peer.Sender, req *text) (*text, error) {
			return wrapperspb.String("got " + req.Value), nil
		})
		a := f.start(f.config("a"))
		f.start(cfg)
		// The request looks like a newer release of the message: the receiver knows
		// field 1 but not fields 4 and 8.
		newer := &wire.Envelope{SentUnixMs: 7, TimeoutMs: 9}
		known, err := proto.Marshal(wrapperspb.String("x"))
		Expect(err).NotTo(HaveOccurred())
		newer.ProtoReflect().SetUnknown(known)
		var resp text
		Expect(a.Call(context.Background(), "b", "narrow", newer, &resp)).To(Succeed())
		Expect(resp.Value).To(Equal("got x"))
	})

	It("propagates the deadline to the handler", func() {
		cfg := f.config("b")
		peer.Handle(cfg.Mux, "deadline", func(ctx context.Context, _ peer.Sender, _ *text) (*text, error) {
			d, _ := ctx.Deadline()
			return wrapperspb.String(time.Until(d).String()), nil
		})
		a := f.start(f.config("a"))
		f.start(cfg)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		var resp text
		Expect(a.Call(ctx, "b", "deadline", &text{}, &resp)).To(Succeed())
		left, err := time.ParseDuration(resp.Value)
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", time.Second), BeNumerically("<=", 3*time.Second)))
	})

	It("returns at the deadline or the cancellation when the handler is slow", func() {
		cfg := f.config("b")
		release := make(chan struct{})
		peer.Handle(cfg.Mux, "slow", func(context.Context, peer.Sender, *text) (*text, error) {
			<-release
			return &text{}, nil
		})
		a := f.start(f.config("a"))
		f.start(cfg)
		DeferCleanup(func() { close(release) })
		// A deadline that passes while the session is established leaves the call unsent.
		Expect(echo(a, "b", "first", time.Second)).To(Equal("a:first"))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		err := a.Call(ctx, "b", "slow", &text{}, &text{})
		Expect(err).To(MatchError(peer.ErrTimeout))
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(peer.Unsent(err)).To(BeFalse())

		ctx, cancel = context.WithCancel(context.Background())
		time.AfterFunc(20*time.Millisecond, cancel)
		Expect(a.Call(ctx, "b", "slow", &text{}, &text{})).To(MatchError(context.Canceled))
		Expect(echo(a, "b", "still there", time.Second)).To(Equal("a:still there"))
	})

	It("rejects messages over the size limit on each side", func() {
		big := strings.Repeat("x", 5000)
		ac, bc := f.config("a"), f.config("b")
		ac.MaxMessageBytes, bc.MaxMessageBytes = 10000, 4000
		peer.Handle(ac.Mux, "grow", func(context.Context, peer.Sender, *text) (*text, error) {
			return wrapperspb.String(big + big), nil
		})
		var served atomic.Int32
		peer.Handle(bc.Mux, "count", func(context.Context, peer.Sender, *text) (*text, error) {
			served.Add(1)
			return &text{}, nil
		})
		a, b := f.start(ac), f.start(bc)
		err := a.Call(context.Background(), "b", "count", wrapperspb.String(big), &text{})
		Expect(err).To(MatchError(peer.ErrTooLarge), "refused by the receiver")
		Expect(served.Load()).To(BeZero())
		_, err = echo(a, "b", big, time.Second)
		Expect(err).To(MatchError(peer.ErrTooLarge))
		_, err = echo(a, "b", big+big, time.Second)
		Expect(err).To(MatchError(peer.ErrTooLarge))
		Expect(peer.Unsent(err)).To(BeTrue(), "refused by the sender")
		Expect(b.Call(context.Background(), "a", "grow", &text{}, &text{})).To(MatchError(peer.ErrTooLarge), "the answer")
		Expect(echo(a, "b", "x", time.Second)).To(Equal("a:x"))
	})

	It("transfers messages much larger than a stream's window", func() {
		ac, bc := f.config("a"), f.config("b")
		ac.MaxMessageBytes, bc.MaxMessageBytes = 4<<20, 4<<20
		a := f.start(ac)
		f.start(bc)
		big := strings.Repeat("0123456789abcdef", 3<<16)
		got, err := echo(a, "b", big, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("a:" + big))
	})

	It("returns each answer to its own call under concurrent calls in both directions", func() {
		ac, bc := f.config("a"), f.config("b")
		ac.MaxInFlight, bc.MaxInFlight = 16, 16
		a, b := f.start(ac), f.start(bc)
		var wrong atomic.Int32
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				from, to, name := a, "b", "a"
				if i%2 == 0 {
					from, to, name = b, "a", "b"
				}
				got, err := echo(from, to, fmt.Sprint(i), 10*time.Second)
				if err != nil || got != fmt.Sprintf("%s:%d", name, i) {
					wrong.Add(1)
				}
			})
		}
		wg.Wait()
		Expect(wrong.Load()).To(BeZero())
	})

	It("bounds the number of calls that wait for a permit", func() {
		ac, bc := f.config("a"), f.config("b")
		ac.MaxInFlight, ac.MaxWaiting = 1, 1
		release := make(chan struct{})
		peer.Handle(bc.Mux, "slow", func(context.Context, peer.Sender, *text) (*text, error) {
			<-release
			return &text{}, nil
		})
		a := f.start(ac)
		f.start(bc)
		Expect(echo(a, "b", "x", time.Second)).To(Equal("a:x"))
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(a.Call(context.Background(), "b", "slow", &text{}, &text{})).To(Succeed())
			})
		}
		Eventually(func() int { return a.Sessions()[0].Waiting }).Should(Equal(1))
		err := a.Call(context.Background(), "b", "slow", &text{}, &text{})
		Expect(err).To(MatchError(peer.ErrBusy))
		Expect(peer.Unsent(err)).To(BeTrue())
		close(release)
		wg.Wait()
	})

	It("counts calls and bytes per method", func() {
		ac := f.config("a")
		a := f.start(ac)
		f.start(f.config("b"))
		Expect(echo(a, "b", "x", time.Second)).To(Equal("a:x"))
		Expect(a.Call(context.Background(), "b", "absent", &text{}, &text{})).To(MatchError(peer.ErrUnknownMethod))
		count := func(series string) uint64 { return ac.Metrics.GetOrCreateCounter(series).Get() }
		Expect(count(`wheatseam_peer_calls_total{method="echo",result="ok"}`)).To(BeEquivalentTo(1))
		Expect(count(`wheatseam_peer_calls_total{method="absent",result="unknown_method"}`)).To(BeEquivalentTo(1))
		Expect(count(`wheatseam_peer_sent_bytes_total{method="echo",role="caller"}`)).To(BeNumerically(">", 10))
		Expect(count(`wheatseam_peer_wire_bytes_total{direction="sent"}`)).To(BeNumerically(">", 100))
	})
})
