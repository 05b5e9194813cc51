package site_test

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Guards against a replica that ends its endless bytes by itself, or goes on once the connection is
// closed, and would show nothing about the host that reads them.
func TestEndlessBytesEndWithTheConnection(t *testing.T) {
	const enough = 1 << 20
	for _, kind := range site.EndlessKinds() {
		for name, interval := range map[string]time.Duration{"fast": 0, "slow": time.Millisecond} {
			t.Run(kind.String()+", "+name, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				ledger := site.NewLedger()
				r, err := site.StartReplica(ledger, "p", "plain", site.Plain, "127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				t.Cleanup(r.Close)
				r.SetBehaviour(site.Behaviour{Endless: kind, EndlessInterval: interval})
				conn, err := net.Dial("tcp", r.Address())
				g.Expect(err).NotTo(HaveOccurred())
				_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\nAttempt-Id: a\r\nDeadline-Ms: 1000\r\n\r\n")
				g.Expect(err).NotTo(HaveOccurred())
				want := int64(enough)
				if interval > 0 {
					want = 1000
				}
				_, err = io.CopyN(io.Discard, conn, want)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(conn.Close()).To(Succeed())
				g.Eventually(r.Cancelled, "5s").Should(Equal(1))
				g.Expect(ledger.Runs("a")).To(HaveLen(1))
				g.Expect(ledger.Violations()).To(BeEmpty())
			})
		}
	}
}
