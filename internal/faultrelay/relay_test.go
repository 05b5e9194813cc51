package faultrelay

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFaultrelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "faultrelay")
}

const (
	eventTimeout = 5 * time.Second
	shortDelay   = 50 * time.Millisecond
)

var _ = Describe("Relay", func() {
	var target net.Listener
	var relay *Relay

	// accepted receives the target's ends of the relayed connections.
	var accepted chan *net.TCPConn

	startRelay := func(cfg Config) {
		var err error
		cfg.Target = target.Addr().String()
		relay, err = New(cfg)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { Expect(relay.Close()).To(Succeed()) })
	}

	BeforeEach(func() {
		var err error
		target, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		accepted = make(chan *net.TCPConn, 16)
		go func(l net.Listener, out chan<- *net.TCPConn) {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				out <- c.(*net.TCPConn)
			}
		}(target, accepted)
		DeferCleanup(target.Close)
	})

	dial := func() *net.TCPConn {
		c, err := net.Dial("tcp", relay.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c.(*net.TCPConn)
	}
	connect := func() (caller, server *net.TCPConn) {
		caller = dial()
		Eventually(accepted, eventTimeout).Should(Receive(&server))
		DeferCleanup(func() { _ = server.Close() })
		return caller, server
	}
	send := func(c *net.TCPConn, text string) {
		_, err := c.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}
	receive := func(c *net.TCPConn, want string) {
		Expect(c.SetReadDeadline(time.Now().Add(eventTimeout))).To(Succeed())
		got := make([]byte, len(want))
		_, err := io.ReadFull(c, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(want))
	}
	expectNoData := func(c *net.TCPConn) {
		Expect(c.SetReadDeadline(time.Now().Add(shortDelay))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	}
	expectReset := func(c *net.TCPConn) {
		Expect(c.SetReadDeadline(time.Now().Add(eventTimeout))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("reset by peer")))
	}

	// The reset may arrive during connect already, so that Dial fails.
	expectRefused := func() {
		c, err := net.Dial("tcp", relay.Address())
		if err != nil {
			Expect(err).To(MatchError(ContainSubstring("reset by peer")))
			return
		}
		defer c.Close()
		expectReset(c.(*net.TCPConn))
	}

	It("resets one caller's connections and relays the others", func() {
		startRelay(Config{})
		caller, server := connect()
		relay.SetFrom("127.0.0.9", Conditions{Cut: true})
		send(caller, "on")
		receive(server, "on")
		relay.SetFrom("127.0.0.1", Conditions{Cut: true})
		expectReset(caller)
		expectRefused()
		relay.Heal()
		caller, server = connect()
		send(caller, "again")
		receive(server, "again")
	})

	It("relays both directions completely and passes on the end of each stream", func() {
		startRelay(Config{})
		caller, server := connect()
		big := bytes.Repeat([]byte("wheat"), 1<<20)
		go func() {
			_, _ = caller.Write(big)
			_ = caller.CloseWrite()
		}()
		Expect(server.SetReadDeadline(time.Now().Add(eventTimeout))).To(Succeed())
		got, err := io.ReadAll(server)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, big)).To(BeTrue())
		send(server, "answer")
		Expect(server.Close()).To(Succeed())
		receive(caller, "answer")
		_, err = caller.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		Expect(relay.Stats()).To(Equal(Stats{Accepted: 1, BytesToTarget: int64(len(big)), BytesToCaller: 6}))
	})

	It("resets established and new connections while cut, until healed", func() {
		startRelay(Config{})
		caller, server := connect()
		relay.Set(Conditions{Cut: true})
		expectReset(caller)
		expectReset(server)
		expectRefused()
		Expect(relay.Stats().Reset).To(Equal(2))
		Expect(accepted).To(BeEmpty())
		relay.Heal()
		caller, server = connect()
		send(caller, "again")
		receive(server, "again")
	})

	DescribeTable("blackholes one direction and delivers the buffered data once healed",
		func(c Conditions, endpoints func(caller, server *net.TCPConn) (from, to *net.TCPConn)) {
			startRelay(Config{})
			caller, server := connect()
			relay.Set(c)
			from, to := endpoints(caller, server)
			send(from, "held")
			expectNoData(to)
			send(to, "passes")
			receive(from, "passes")
			relay.Heal()
			receive(to, "held")
		},
		Entry("to the target", Conditions{ToTarget: Direction{Blackhole: true}},
			func(caller, server *net.TCPConn) (*net.TCPConn, *net.TCPConn) { return caller, server }),
		Entry("to the caller", Conditions{ToCaller: Direction{Blackhole: true}},
			func(caller, server *net.TCPConn) (*net.TCPConn, *net.TCPConn) { return server, caller }),
	)

	It("blackholes both directions, for new connections too", func() {
		startRelay(Config{})
		caller, server := connect()
		blackhole := Direction{Blackhole: true}
		relay.Set(Conditions{ToTarget: blackhole, ToCaller: blackhole})
		send(caller, "there")
		send(server, "back")
		expectNoData(server)
		expectNoData(caller)
		late := dial()
		send(late, "late")
		Consistently(accepted, shortDelay).ShouldNot(Receive())
		relay.Heal()
		receive(server, "there")
		receive(caller, "back")
		var lateServer *net.TCPConn
		Eventually(accepted, eventTimeout).Should(Receive(&lateServer))
		receive(lateServer, "late")
		Expect(lateServer.Close()).To(Succeed())
	})

	It("blackholes open connections permanently and leaves new ones working", func() {
		startRelay(Config{})
		old := dial()
		oldServer := <-accepted
		_, err := old.Write([]byte("1"))
		Expect(err).NotTo(HaveOccurred())
		one := make([]byte, 1)
		Expect(oldServer.Read(one)).To(Equal(1))
		Expect(relay.BlackholeOpenConnections()).To(Equal(1))
		relay.Heal()
		_, err = old.Write([]byte("2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(oldServer.SetReadDeadline(time.Now().Add(shortDelay))).To(Succeed())
		_, err = oldServer.Read(one)
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		recent := dial()
		recentServer := <-accepted
		_, err = recent.Write([]byte("3"))
		Expect(err).NotTo(HaveOccurred())
		Expect(recentServer.SetReadDeadline(time.Now().Add(eventTimeout))).To(Succeed())
		Expect(recentServer.Read(one)).To(Equal(1))
	})

	It("hides the reset by one side while there is a blackhole", func() {
		startRelay(Config{})
		caller, server := connect()
		relay.Set(Conditions{ToCaller: Direction{Blackhole: true}})
		Expect(closeWithReset(server)).To(Succeed())
		expectNoData(caller)
		relay.Heal()
		expectReset(caller)
	})

	It("delays one direction until healed", func() {
		startRelay(Config{})
		caller, server := connect()
		relay.Set(Conditions{ToTarget: Direction{Delay: shortDelay}})
		start := time.Now()
		send(caller, "slow")
		receive(server, "slow")
		Expect(time.Since(start)).To(BeNumerically(">=", shortDelay))
		relay.Set(Conditions{ToTarget: Direction{Delay: time.Hour}})
		send(caller, "slower")
		expectNoData(server)
		relay.Heal()
		receive(server, "slower")
	})

	It("limits its connections and the data it buffers", func() {
		startRelay(Config{MaxConnections: 1})
		caller, _ := connect()
		expectRefused()
		relay.Set(Conditions{ToTarget: Direction{Blackhole: true}})
		Expect(caller.SetWriteDeadline(time.Now().Add(4 * shortDelay))).To(Succeed())
		n, err := caller.Write(make([]byte, 64<<20))
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		Expect(n).To(BeNumerically("<", 32<<20))
	})

	It("resets a caller whose target does not listen, and dials a new target", func() {
		startRelay(Config{})
		address := target.Addr().String()
		closedListener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		relay.SetTarget(closedListener.Addr().String())
		Expect(closedListener.Close()).To(Succeed())
		expectRefused()
		relay.SetTarget(address)
		caller, server := connect()
		send(caller, "found")
		receive(server, "found")
	})

	It("resets all connections when it is closed, including those in a blackhole", func() {
		startRelay(Config{})
		caller, _ := connect()
		relay.Set(Conditions{ToTarget: Direction{Blackhole: true}})
		send(caller, "held")
		waiting := dial()
		Eventually(func() int { return relay.Stats().Accepted }, eventTimeout).Should(Equal(2))
		Expect(relay.Close()).To(Succeed())
		expectReset(caller)
		expectReset(waiting)
	})
})
