package peer_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/peer"
)

// silence is the SilenceTimeout of these tests, and roundTrip the time that an answer
// takes on its way.
const (
	silence   = 80 * time.Millisecond
	roundTrip = 40 * time.Millisecond
)

// held is a pair of transports of which b serves a method that answers when it is let,
// with a network between.
type held struct {
	a, b    *peer.Transport
	relay   *faultrelay.Relay
	serving chan struct{}
	answer  chan struct{}
}

func newHeld(t *testing.T) *held {
	g := NewWithT(t)
	h := &held{serving: make(chan struct{}, 8), answer: make(chan struct{})}
	mux := peer.NewMux()
	peer.Handle(mux, "held", func(context.Context, peer.Sender, *text) (*text, error) {
		h.serving <- struct{}{}
		<-h.answer
		return &text{Value: "answered"}, nil
	})
	start := func(name string, mux *peer.Mux, resolve peer.Resolver) *peer.Transport {
		transport, err := peer.NewTransport(peer.Config{
			Host: name, Incarnation: 1, Listen: "127.0.0.1:0", Plaintext: true, Resolve: resolve, Mux: mux,
			SilenceTimeout: silence,
		})
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = transport.Close() })
		return transport
	}
	h.b = start("b", mux, func(string) (string, bool) { return "", false })
	h.a = start("a", nil, func(string) (string, bool) { return h.relay.Address(), true })
	var err error
	h.relay, err = faultrelay.New(faultrelay.Config{Target: h.b.Addr()})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = h.relay.Close() })
	h.relay.Set(faultrelay.Conditions{ToCaller: faultrelay.Direction{Delay: roundTrip}})
	return h
}

// call calls the method in the background.
func (h *held) call(ctx context.Context) (value *text, ended chan error) {
	value, ended = &text{}, make(chan error, 1)
	go func() { ended <- h.a.Call(ctx, "b", "held", &text{}, value) }()
	return value, ended
}

// TestHeldCallOutlivesOthers: a call whose answer takes its time is not ended for one
// that was given up beside it before any answer could have come, as the peer is well.
func TestHeldCallOutlivesOthers(t *testing.T) {
	for name, giveUp := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"left by its caller": func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(roundTrip/4, cancel)
			return ctx, cancel
		},
		"out of time": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, roundTrip/4)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHeld(t)
			value, ended := h.call(context.Background())
			g.Eventually(h.serving).Should(Receive())
			g.Consistently(ended, 2*silence).ShouldNot(Receive())
			ctx, cancel := giveUp(context.Background())
			defer cancel()
			_, other := h.call(ctx)
			g.Eventually(other).Should(Receive(HaveOccurred()))
			g.Consistently(ended, 3*silence).ShouldNot(Receive())
			close(h.answer)
			g.Eventually(ended).Should(Receive(BeNil()))
			g.Expect(value.Value).To(Equal("answered"))
		})
	}
}

// TestSilentPeerEndsCalls: a call that a peer cannot answer any more ends long before
// its time, once another one has found the peer silent.
func TestSilentPeerEndsCalls(t *testing.T) {
	g := NewWithT(t)
	h := newHeld(t)
	_, ended := h.call(context.Background())
	g.Eventually(h.serving).Should(Receive())
	g.Expect(h.relay.BlackholeOpenConnections()).To(Equal(1))
	g.Consistently(ended, 2*silence).ShouldNot(Receive())
	ctx, cancel := context.WithTimeout(context.Background(), roundTrip)
	defer cancel()
	_, other := h.call(ctx)
	g.Eventually(other).Should(Receive(MatchError(peer.ErrTimeout)))
	g.Eventually(ended, 4*silence).Should(Receive(MatchError(peer.ErrUnreachable)))
	close(h.answer)
}
