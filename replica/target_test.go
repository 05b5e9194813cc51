package replica_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/replica"
)

// requestLine makes a call and returns the first line that the replica read.
func requestLine(g *WithT, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	line := make(chan string, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		read, _ := bufio.NewReader(conn).ReadString('\n')
		line <- strings.TrimSpace(read)
	}()
	resp, err := replica.NewClient(nil, nil).Do(context.Background(), replica.Call{
		Method: http.MethodPost, Address: l.Addr().String(), Target: target, Host: "h", Header: http.Header{},
	})
	if err == nil {
		resp.Body.Close()
	}
	if errors.Is(err, replica.ErrTargetChanges) {
		return "", err
	}
	return <-line, nil
}

// Guards against replicas that run a request with another path than the caller sent, since a path
// that begins with two slashes was sent in the absolute form, which names another one.
func TestRequestTargetsAreSentUnchanged(t *testing.T) {
	for _, target := range []string{
		"/a", "/a?x", "/a?", "/a//b", "/a%2Fb%2f", "/a;b=c?d=//e", "/a/../b", "/%zz", "/ä", "*",
		"//contract-4/seal", "//contract-4/seal?x=//y", "//", "///", "//a%2Fb", "//a@b:80/c", "//a?",
		"http://h/seal",
	} {
		g := NewWithT(t)
		line, err := requestLine(g, target)
		g.Expect(err).NotTo(HaveOccurred(), target)
		g.Expect(line).To(Equal("POST " + target + " HTTP/1.1"))
		g.Expect(replica.CheckTarget(target)).To(Succeed())
	}
	for _, target := range []string{"//a{b", "//a%zz", "//ä"} {
		g := NewWithT(t)
		_, err := requestLine(g, target)
		g.Expect(err).To(MatchError(replica.ErrTargetChanges), target)
		g.Expect(replica.CheckTarget(target)).To(MatchError(replica.ErrTargetChanges))
	}
}
