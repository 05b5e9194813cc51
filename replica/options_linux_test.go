package replica_test

import (
	"context"
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/replica"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 18

// Guards against a TCP_USER_TIMEOUT that a library sets on connections to replicas: it would
// end those to a replica that is silent for a while, however keep-alive is set.
func TestNoUserTimeoutOnConnectionsToReplicas(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	c, err := (&replica.DirectDialer{}).Dial(context.Background(), l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	var millis, keepAlive int
	var optionErr error
	g.Expect(raw.Control(func(fd uintptr) {
		if millis, optionErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout); optionErr == nil {
			keepAlive, optionErr = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		}
	})).To(Succeed())
	g.Expect(optionErr).NotTo(HaveOccurred())
	g.Expect(millis).To(BeZero())
	g.Expect(keepAlive).To(BeZero())
}
