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
	soon   = 5 * time.Second
	little = 50 * time.Millisecond
)

var _ = Describe("Relay", func() {
	var target net.Listener
	var relay *Relay

	// accepted yields the target's ends of the relayed connections.
	var accepted chan *net.TCPConn

	startWith := func(cfg Config) {
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
	pair := func() (caller, far *net.TCPConn) {
		caller = dial()
		Eventually(accepted, soon).Should(Receive(&far))
		DeferCleanup(func() { _ = far.Close() })
		return caller, far
	}
	send := func(c *net.TCPConn, text string) {
		_, err := c.Write([]byte(text))
		Expect(err).NotTo(HaveOccurred())
	}
	receive := func(c *net.TCPConn, want string) {
		Expect(c.SetReadDeadline(time.Now().Add(soon))).To(Succeed())
		got := make([]byte, len(want))
		_, err := io.ReadFull(c, got)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(got)).To(Equal(want))
	}
	silent := func(c *net.TCPConn) {
		Expect(c.SetReadDeadline(time.Now().Add(little))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	}
	isReset := func(c *net.TCPConn) {
		Expect(c.SetReadDeadline(time.Now().Add(soon))).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("reset by peer")))
	}

	// The reset may come as early as in the connect.
	expectRefused := func() {
		c, err := net.Dial("tcp", relay.Address())
		if err != nil {
			Expect(err).To(MatchError(ContainSubstring("reset by peer")))
			return
		}
		defer c.Close()
		isReset(c.(*net.TCPConn))
	}

	It("cuts one caller and leaves the others", func() {
		startWith(Config{})
		caller, far := pair()
		relay.SetFrom("127.0.0.9", Conditions{Cut: true})
		send(caller, "on")
		receive(far, "on")
		relay.SetFrom("127.0.0.1", Conditions{Cut: true})
		isReset(caller)
		expectRefused()
		relay.Heal()
		caller, far = pair()
		send(caller, "again")
		receive(far, "again")
	})

	It("relays both ways, whole, and passes on the end of each stream", func() {
		startWith(Config{})
		caller, far := pair()
		big := bytes.Repeat([]byte("wheat"), 1<<20)
		go func() {
			_, _ = caller.Write(big)
			_ = caller.CloseWrite()
		}()
		Expect(far.SetReadDeadline(time.Now().Add(soon))).To(Succeed())
		got, err := io.ReadAll(far)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, big)).To(BeTrue())
		send(far, "answer")
		Expect(far.Close()).To(Succeed())
		receive(caller, "answer")
		_, err = caller.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		Expect(relay.Stats()).To(Equal(Stats{Accepted: 1, BytesToTarget: int64(len(big)), BytesToCaller: 6}))
	})

	It("cuts: resets old and new connections until healed", func() {
		startWith(Config{})
		caller, far := pair()
		relay.Set(Conditions{Cut: true})
		isReset(caller)
		isReset(far)
		expectRefused()
		Expect(relay.Stats().Reset).To(Equal(2))
		Expect(accepted).To(BeEmpty())
		relay.Heal()
		caller, far = pair()
		send(caller, "again")
		receive(far, "again")
	})

	DescribeTable("blackholes one way, and delivers what was held once healed",
		func(c Conditions, dark func(caller, far *net.TCPConn) (from, to *net.TCPConn)) {
			startWith(Config{})
			caller, far := pair()
			relay.Set(c)
			from, to := dark(caller, far)
			send(from, "held")
			silent(to)
			send(to, "passes")
			receive(from, "passes")
			relay.Heal()
			receive(to, "held")
		},
		Entry("to the target", Conditions{ToTarget: Direction{Blackhole: true}},
			func(caller, far *net.TCPConn) (*net.TCPConn, *net.TCPConn) { return caller, far }),
		Entry("to the caller", Conditions{ToCaller: Direction{Blackhole: true}},
			func(caller, far *net.TCPConn) (*net.TCPConn, *net.TCPConn) { return far, caller }),
	)

	It("blackholes both ways, new connections too", func() {
		startWith(Config{})
		caller, far := pair()
		dark := Direction{Blackhole: true}
		relay.Set(Conditions{ToTarget: dark, ToCaller: dark})
		send(caller, "there")
		send(far, "back")
		silent(far)
		silent(caller)
		late := dial()
		send(late, "late")
		Consistently(accepted, little).ShouldNot(Receive())
		relay.Heal()
		receive(far, "there")
		receive(caller, "back")
		var lateFar *net.TCPConn
		Eventually(accepted, soon).Should(Receive(&lateFar))
		receive(lateFar, "late")
		Expect(lateFar.Close()).To(Succeed())
	})

	It("silences the connections that are open, for good, and no others", func() {
		startWith(Config{})
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
		Expect(oldServer.SetReadDeadline(time.Now().Add(little))).To(Succeed())
		_, err = oldServer.Read(one)
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		recent := dial()
		recentServer := <-accepted
		_, err = recent.Write([]byte("3"))
		Expect(err).NotTo(HaveOccurred())
		Expect(recentServer.SetReadDeadline(time.Now().Add(soon))).To(Succeed())
		Expect(recentServer.Read(one)).To(Equal(1))
	})

	It("hides the death of one side behind a blackhole", func() {
		startWith(Config{})
		caller, far := pair()
		relay.Set(Conditions{ToCaller: Direction{Blackhole: true}})
		Expect(abort(far)).To(Succeed())
		silent(caller)
		relay.Heal()
		isReset(caller)
	})

	It("delays a direction, and ends the delay when healed", func() {
		startWith(Config{})
		caller, far := pair()
		relay.Set(Conditions{ToTarget: Direction{Delay: little}})
		start := time.Now()
		send(caller, "slow")
		receive(far, "slow")
		Expect(time.Since(start)).To(BeNumerically(">=", little))
		relay.Set(Conditions{ToTarget: Direction{Delay: time.Hour}})
		send(caller, "slower")
		silent(far)
		relay.Heal()
		receive(far, "slower")
	})

	It("bounds its connections and what it holds", func() {
		startWith(Config{MaxConnections: 1})
		caller, _ := pair()
		expectRefused()
		relay.Set(Conditions{ToTarget: Direction{Blackhole: true}})
		Expect(caller.SetWriteDeadline(time.Now().Add(4 * little))).To(Succeed())
		n, err := caller.Write(make([]byte, 64<<20))
		Expect(err).To(MatchError(ContainSubstring("timeout")))
		Expect(n).To(BeNumerically("<", 32<<20))
	})

	It("resets a caller whose target does not listen, and finds a new target", func() {
		startWith(Config{})
		address := target.Addr().String()
		gone, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		relay.SetTarget(gone.Addr().String())
		Expect(gone.Close()).To(Succeed())
		expectRefused()
		relay.SetTarget(address)
		caller, far := pair()
		send(caller, "found")
		receive(far, "found")
	})

	It("ends all connections when it is closed, also those in a blackhole", func() {
		startWith(Config{})
		caller, _ := pair()
		relay.Set(Conditions{ToTarget: Direction{Blackhole: true}})
		send(caller, "held")
		waiting := dial()
		Eventually(func() int { return relay.Stats().Accepted }, soon).Should(Equal(2))
		Expect(relay.Close()).To(Succeed())
		isReset(caller)
		isReset(waiting)
	})
})
