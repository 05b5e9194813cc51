package peer_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/peer"
)

// silenceTimeout is the SilenceTimeout of these tests. answerDelay is the network delay
// of an answer.
const (
	silenceTimeout = 80 * time.Millisecond
	answerDelay    = 40 * time.Millisecond
)

// blockingPair is two transports connected through a relay. b serves a method that
// blocks until release is closed.
type blockingPair struct {
	a, b    *peer.Transport
	relay   *faultrelay.Relay
	started chan struct{}
	release chan struct{}
}

func newBlockingPair(t *testing.T) *blockingPair {
	g := NewWithT(t)
	p := &blockingPair{started: make(chan struct{}, 8), release: make(chan struct{})}
	mux := peer.NewMux()
	peer.Handle(mux, "block", func(context.Context, peer.Sender, *text) (*text, error) {
		p.started <- struct{}{}
		<-p.release
		return &text{Value: "answered"}, nil
	})
	start := func(name string, mux *peer.Mux, resolve peer.Resolver) *peer.Transport {
		transport, err := peer.NewTransport(peer.Config{
			Host: name, Incarnation: 1, Listen: "127.0.0.1:0", Plaintext: true, Resolve: resolve, Mux: mux,
			SilenceTimeout: silenceTimeout,
		})
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = transport.Close() })
		return transport
	}
	p.b = start("b", mux, func(string) (string, bool) { return "", false })
	p.a = start("a", nil, func(string) (string, bool) { return p.relay.Address(), true })
	var err error
	p.relay, err = faultrelay.New(faultrelay.Config{Target: p.b.Addr()})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = p.relay.Close() })
	p.relay.Set(faultrelay.Conditions{ToCaller: faultrelay.Direction{Delay: answerDelay}})
	return p
}

// call calls the blocking method in the background.
func (p *blockingPair) call(ctx context.Context) (value *text, ended chan error) {
	value, ended = &text{}, make(chan error, 1)
	go func() { ended <- p.a.Call(ctx, "b", "block", &text{}, value) }()
	return value, ended
}

// Guards against one failed call ending the others on its session: a call that is
// cancelled or times out before any answer could arrive does not show that the peer is
// silent, so a concurrent slow call on the session must still get its answer.
func TestPendingCallSurvivesFailureOfAnotherCall(t *testing.T) {
	for name, abandon := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"cancelled by its caller": func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(answerDelay/4, cancel)
			return ctx, cancel
		},
		"deadline exceeded": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, answerDelay/4)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newBlockingPair(t)
			value, ended := p.call(context.Background())
			g.Eventually(p.started).Should(Receive())
			g.Consistently(ended, 2*silenceTimeout).ShouldNot(Receive())
			ctx, cancel := abandon(context.Background())
			defer cancel()
			_, other := p.call(ctx)
			g.Eventually(other).Should(Receive(HaveOccurred()))
			g.Consistently(ended, 3*silenceTimeout).ShouldNot(Receive())
			close(p.release)
			g.Eventually(ended).Should(Receive(BeNil()))
			g.Expect(value.Value).To(Equal("answered"))
		})
	}
}

// Guards against calls that wait for a silent peer until their deadlines: once one call
// has timed out and the peer does not answer a ping either, the other calls on the
// session must fail long before their own deadlines.
func TestSilentPeerFailsPendingCalls(t *testing.T) {
	g := NewWithT(t)
	p := newBlockingPair(t)
	_, ended := p.call(context.Background())
	g.Eventually(p.started).Should(Receive())
	g.Expect(p.relay.BlackholeOpenConnections()).To(Equal(1))
	g.Consistently(ended, 2*silenceTimeout).ShouldNot(Receive())
	ctx, cancel := context.WithTimeout(context.Background(), answerDelay)
	defer cancel()
	_, other := p.call(ctx)
	g.Eventually(other).Should(Receive(MatchError(peer.ErrTimeout)))
	g.Eventually(ended, 4*silenceTimeout).Should(Receive(MatchError(peer.ErrUnreachable)))
	close(p.release)
}
