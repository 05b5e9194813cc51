package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// dialRaw opens a caller's connection and sends raw bytes on it.
func (r *gatewayProcess) dialRaw(raw string) *net.TCPConn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", r.callers)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, raw)
	Expect(err).NotTo(HaveOccurred())
	return conn.(*net.TCPConn)
}

// requestHead is the start of a request to a path with an ID.
func requestHead(path, id string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Api-Key: key-1\r\nDeadline-Ms: 2000\r\nAttempt-Id: " + id + "\r\n"
}

var _ = Describe("a caller that disconnects", func() {
	It("with half of its body sent reaches no replica", func() {
		f := newFixture()
		g := f.start().ready()
		conn := g.dialRaw(requestHead(sealPath, "half") + "Content-Length: 10\r\n\r\nhalf")
		time.Sleep(50 * time.Millisecond)
		Expect(conn.Close()).To(Succeed())
		Consistently(func() []site.Run { return f.ledger.Runs("half") }, "300ms").Should(BeEmpty())
	})

	It("while its stages run reaches no engine", func() {
		f := newFixture()
		g := f.start().ready()
		f.behave("encode", site.Behaviour{ServiceTime: 200 * time.Millisecond})
		conn := g.dialRaw(requestHead(resumePath, "early") + "Piece-Count: 1,1\r\nPiece-Key: k\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(100 * time.Millisecond)
		Expect(conn.Close()).To(Succeed())
		Consistently(func() []site.Run { return f.ledger.Runs("early") }, "700ms").Should(BeEmpty())
	})

	It("while a replica works receives nothing that looks like an answer", func() {
		f := newFixture()
		g := f.start().ready()
		f.behave("plain", site.Behaviour{Hang: true})
		conn := g.dialRaw(requestHead(safePath, "gone") + "Content-Length: 0\r\n\r\n")
		time.Sleep(50 * time.Millisecond)
		Expect(conn.CloseWrite()).To(Succeed(), "the caller still reads")
		received, _ := io.ReadAll(conn) // how the connection ends does not matter
		Expect(string(received)).To(BeEmpty())
	})

	It("gets every answer to its pipelined requests", func() {
		f := newFixture()
		g := f.start().ready()
		conn := g.dialRaw(strings.Repeat(requestHead(safePath, "row")+"Content-Length: 0\r\n\r\n", 3))
		answers := bufio.NewReader(conn)
		for range 3 {
			resp, err := http.ReadResponse(answers, nil)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(string(body)).To(HaveSuffix(" to row\n"))
		}
	})
})
