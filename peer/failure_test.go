package peer_test

import (
	"context"
	"io"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/peer"
)

var _ = Describe("failures", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet(GinkgoT().TempDir()) })

	It("dials again after a peer has restarted", func() {
		a := f.start(f.config("a"))
		b := f.start(f.config("b"))
		Expect(echo(a, "b", "1", time.Second)).To(Equal("a:1"))
		Expect(b.Close()).To(Succeed())
		_, err := echo(a, "b", "2", time.Second)
		Expect(err).To(MatchError(peer.ErrUnreachable))
		cfg := f.config("b")
		f.start(cfg)
		Eventually(func() (string, error) { return echo(a, "b", "3", time.Second) }).Should(Equal("a:3"))
		Expect(a.Sessions()).To(HaveExactElements(HaveField("Incarnation", cfg.Incarnation)))
	})

	It("fails at once during the dial backoff of a dead peer", func() {
		cfg := f.config("a")
		cfg.MinBackoff, cfg.MaxBackoff = time.Hour, time.Hour
		a := f.start(cfg)
		b := f.start(f.config("b"))
		Expect(b.Close()).To(Succeed())
		for range 100 {
			_, err := echo(a, "b", "x", time.Second)
			Expect(err).To(MatchError(peer.ErrUnreachable))
			Expect(peer.Unsent(err)).To(BeTrue())
		}
		failed := cfg.Metrics.GetOrCreateCounter(`wheatseam_peer_dials_total{result="failed"}`)
		Expect(failed.Get()).To(BeEquivalentTo(1))

		By("dialling the host's replacement at another address at once")
		f.start(f.config("b"))
		Expect(echo(a, "b", "x", time.Second)).To(Equal("a:x"))
	})

	It("closes the session of a frozen peer and uses a new one", func() {
		cfg := f.config("a")
		a := f.start(cfg)
		b := f.start(f.config("b"))
		proxy := newForwardingProxy(b.Addr())
		f.setAddress("b", proxy.Addr())
		Expect(echo(a, "b", "1", time.Second)).To(Equal("a:1"))
		proxy.Freeze()
		silent := cfg.Metrics.GetOrCreateCounter("wheatseam_peer_silent_sessions_total")
		Eventually(func() uint64 {
			_, err := echo(a, "b", "2", 20*time.Millisecond)
			Expect(err).To(HaveOccurred())
			return silent.Get()
		}).Should(BeEquivalentTo(1))
		f.setAddress("b", b.Addr())
		Eventually(func() (string, error) { return echo(a, "b", "3", time.Second) }).Should(Equal("a:3"))
	})

	It("uses a new session once the open one receives no more data", func() {
		cfg := f.config("a")
		a := f.start(cfg)
		b := f.start(f.config("b"))
		relay, err := faultrelay.New(faultrelay.Config{Target: b.Addr()})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(relay.Close)
		f.setAddress("b", relay.Address())
		Expect(echo(a, "b", "1", time.Second)).To(Equal("a:1"))
		Expect(relay.BlackholeOpenConnections()).To(Equal(1))
		Eventually(func() (string, error) { return echo(a, "b", "2", 50*time.Millisecond) }, "3s", "10ms").Should(Equal("a:2"))
		Expect(cfg.Metrics.GetOrCreateCounter("wheatseam_peer_silent_sessions_total").Get()).To(BeEquivalentTo(1))
	})

	It("fails the dial of a peer that accepts connections and sends nothing", func() {
		cfg := f.config("a")
		cfg.DialTimeout = 50 * time.Millisecond
		a := f.start(cfg)
		f.setAddress("b", silentListener().Addr().String())
		_, err := echo(a, "b", "x", 2*time.Second)
		Expect(err).To(MatchError(peer.ErrUnreachable))
		_, err = echo(a, "b", "x", 10*time.Millisecond)
		Expect(err).To(HaveOccurred())
	})

	It("lets only one caller wait for the next dial after a failed one", func() {
		cfg := f.config("a")
		cfg.DialTimeout = 100 * time.Millisecond
		a := f.start(cfg)
		f.setAddress("b", silentListener().Addr().String())
		stop := make(chan struct{})
		var callers sync.WaitGroup
		defer callers.Wait()
		defer close(stop)
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = echo(a, "b", "x", time.Second)
				}
			}
		})
		Eventually(func() string {
			_, err := echo(a, "b", "x", time.Second)
			Expect(peer.Unsent(err)).To(BeTrue())
			return err.Error()
		}, "5s", "1ms").Should(ContainSubstring("another dial is under way"))
	})

	It("closes the connection of a peer that sends its handshake too slowly", func() {
		cfg := f.config("b")
		cfg.Plaintext, cfg.DialTimeout = true, 50*time.Millisecond
		b := f.start(cfg)
		conn, err := net.Dial("tcp", b.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write([]byte{200}) // an incomplete length prefix
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("EOF")), "closed by the server")
	})

	It("closes sessions that have been idle for the idle timeout", func() {
		ac, bc := f.config("a"), f.config("b")
		ac.IdleTimeout = 40 * time.Millisecond
		a := f.start(ac)
		b := f.start(bc)
		Expect(echo(a, "b", "1", time.Second)).To(Equal("a:1"))
		Eventually(a.Sessions).Should(BeEmpty())
		Eventually(b.Sessions).Should(BeEmpty())
		Expect(echo(b, "a", "2", time.Second)).To(Equal("b:2"))
	})

	It("keeps one session when both sides dial at the same time", func() {
		for range 10 {
			a, b := f.start(f.config("a")), f.start(f.config("b"))
			done := make(chan error, 2)
			go func() { _, err := echo(a, "b", "x", time.Second); done <- err }()
			go func() { _, err := echo(b, "a", "x", time.Second); done <- err }()
			Expect(<-done).To(Succeed())
			Expect(<-done).To(Succeed())
			Eventually(func() int { return len(a.Sessions()) + len(b.Sessions()) }).Should(Equal(2))
			Expect(echo(a, "b", "y", time.Second)).To(Equal("a:y"))
			Expect(echo(b, "a", "y", time.Second)).To(Equal("b:y"))
			Expect(a.Close()).To(Succeed())
			Expect(b.Close()).To(Succeed())
		}
	})

	It("finishes the calls being served on shutdown", func() {
		cfg := f.config("b")
		release, running := make(chan struct{}), make(chan struct{})
		peer.Handle(cfg.Mux, "slow", func(context.Context, peer.Sender, *text) (*text, error) {
			close(running)
			<-release
			return &text{}, nil
		})
		a, b := f.start(f.config("a")), f.start(cfg)
		called := make(chan error, 1)
		go func() { called <- a.Call(context.Background(), "b", "slow", &text{}, &text{}) }()
		<-running
		down := make(chan error, 1)
		go func() { down <- b.Shutdown(context.Background()) }()
		Consistently(down, "50ms").ShouldNot(Receive())
		close(release)
		Eventually(called).Should(Receive(BeNil()))
		Eventually(down).Should(Receive(BeNil()))
	})
})

var _ = Describe("Shutdown under load", func() {
	It("fails no call that was sent, on either side", func() {
		f := newFleet(GinkgoT().TempDir())
		a, b := f.start(f.config("a")), f.start(f.config("b"))
		Expect(echo(a, "b", "x", time.Second)).To(Equal("a:x"))
		var brokenOff, answered atomic.Int32
		var callers sync.WaitGroup
		stop := make(chan struct{})
		for range 8 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					_, err := echo(a, "b", "x", 5*time.Second)
					switch {
					case err == nil:
						answered.Add(1)
					case !peer.Unsent(err):
						brokenOff.Add(1)
					}
				}
			})
		}
		Eventually(answered.Load).Should(BeNumerically(">", 100))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(b.Shutdown(ctx)).To(Succeed())
		close(stop)
		callers.Wait()
		Expect(brokenOff.Load()).To(BeZero())
	})
})

var _ = Describe("identity", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet(GinkgoT().TempDir()) })

	It("refuses a peer that answers with another name", func() {
		a := f.start(f.config("a"))
		c := f.start(f.config("c"))
		f.setAddress("b", c.Addr())
		_, err := echo(a, "b", "x", time.Second)
		Expect(err).To(MatchError(peer.ErrIdentity))
		Expect(err).To(MatchError(peer.ErrUnreachable))
	})

	It("refuses a peer that answers with another name, without TLS too", func() {
		ac, cc := f.config("a"), f.config("c")
		ac.Plaintext, cc.Plaintext = true, true
		a, c := f.start(ac), f.start(cc)
		f.setAddress("b", c.Addr())
		_, err := echo(a, "b", "x", time.Second)
		Expect(err).To(MatchError(peer.ErrIdentity))
	})

	It("refuses a call in another host's name on an established session", func() {
		b := f.start(f.config("b"))
		conn := dialTLS(b.Addr(), "b", f.issueCert("a"))
		defer conn.Close()
		Expect(handshakeAs(conn, "a").ErrorCode).To(BeEmpty())
		session, err := yamux.Client(conn, nil)
		Expect(err).NotTo(HaveOccurred())
		defer session.Close()
		Expect(callAs(session, "a").ErrorCode).To(BeEmpty())
		Expect(callAs(session, "c").ErrorCode).To(Equal("identity"))
	})

	It("refuses a caller whose certificate is for another name", func() {
		b := f.start(f.config("b"))
		cfg := f.config("a")
		cfg.TLS = f.issueCert("mallory")
		_, err := peer.NewTransport(cfg)
		Expect(err).To(MatchError(peer.ErrIdentity), "the transport checks its own certificate against its host name at the start")

		conn := dialTLS(b.Addr(), "b", cfg.TLS)
		defer conn.Close()
		answer := handshakeAs(conn, "a")
		Expect(answer.ErrorCode).To(Equal("identity"))
		Expect(b.Sessions()).To(BeEmpty())
	})

	It("refuses certificates of another authority on both sides", func() {
		other := newFleet(GinkgoT().TempDir())
		a := f.start(f.config("a"))
		b := other.start(other.config("b"))
		f.setAddress("b", b.Addr())
		_, err := echo(a, "b", "x", time.Second)
		Expect(err).To(MatchError(peer.ErrIdentity), "the server's certificate")

		cfg := f.config("a")
		cfg.TLS = other.issueCert("a")
		cfg.TLS.CAFile = filepath.Join(f.dir, "ca.pem")
		f.setAddress("c", f.start(f.config("c")).Addr())
		_, err = echo(f.start(cfg), "c", "x", time.Second)
		Expect(err).To(MatchError(peer.ErrUnreachable), "the client's certificate")
	})

	It("refuses a process that was replaced by a later process of its host", func() {
		ac, bc := f.config("a"), f.config("b")
		ac.Plaintext, bc.Plaintext = true, true
		ac.Incarnation = 7
		a, b := f.start(ac), f.start(bc)
		Expect(echo(a, "b", "x", time.Second)).To(Equal("a:x"))
		conn, err := net.Dial("tcp", b.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		handshakeAs(conn, "a") // of incarnation 1, which is earlier
		_, err = io.Copy(io.Discard, conn)
		Expect(err).NotTo(HaveOccurred(), "closed by the server")
		Expect(b.Sessions()).To(HaveExactElements(HaveField("Incarnation", uint64(7))))
		Expect(echo(a, "b", "x", time.Second)).To(Equal("a:x"))
	})

	It("refuses a plaintext connection when TLS is on", func() {
		b := f.start(f.config("b"))
		conn, err := net.Dial("tcp", b.Addr())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write(handshakeFrame("a"))
		Expect(err).NotTo(HaveOccurred())
		Consistently(b.Sessions, "50ms").Should(BeEmpty())
	})

	It("allows plaintext on loopback addresses only", func() {
		cfg := f.config("a")
		cfg.Plaintext, cfg.TLS = true, peer.TLSFiles{}
		cfg.Listen = "0.0.0.0:0"
		_, err := peer.NewTransport(cfg)
		Expect(err).To(MatchError(peer.ErrPlaintext))

		cfg.Listen = "127.0.0.1:0"
		a := f.start(cfg)
		f.setAddress("b", "192.0.2.1:7000")
		_, err = echo(a, "b", "x", time.Second)
		Expect(err).To(MatchError(peer.ErrPlaintext))
		Expect(peer.Unsent(err)).To(BeTrue())

		bc := f.config("b")
		bc.Plaintext = true
		f.start(bc)
		Eventually(func() (string, error) { return echo(a, "b", "x", time.Second) }).Should(Equal("a:x"))
	})

	It("allows plaintext on any address of a private network", func() {
		cfg := f.config("a")
		cfg.Plaintext, cfg.PrivateNetwork, cfg.TLS = true, true, peer.TLSFiles{}
		cfg.Listen = "0.0.0.0:0"
		f.start(cfg)
	})

	It("refuses an old version and accepts a newer one", func() {
		cfg := f.config("b")
		cfg.Plaintext = true
		b := f.start(cfg)
		for version, code := range map[uint32]string{0: "version", peer.ProtocolVersion + 1: ""} {
			conn, err := net.Dial("tcp", b.Addr())
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			Expect(handshakeWithVersion(conn, "a", version).ErrorCode).To(Equal(code))
		}
	})
})
