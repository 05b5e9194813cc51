package gateway

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/reach"
	"github.com/wheatseam/wheatseam/fleet"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/wire"
)

// Guards against errors of this host, or a caller that left, that count against a replica.
func TestConnectFailures(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{syscall.ECONNREFUSED, true}, {syscall.EHOSTUNREACH, true}, {syscall.ENETUNREACH, true}, {os.ErrDeadlineExceeded, true},
		{syscall.EMFILE, false}, {syscall.EADDRNOTAVAIL, false}, {context.Canceled, false},
	} {
		err := &httpbody.DialError{Err: &net.OpError{Op: "dial", Err: c.err}}
		NewWithT(t).Expect(isConnectFailure(fmt.Errorf("call: %w", err))).To(Equal(c.want), "%v", c.err)
	}
}

// Guards against reports of a peer that no host can have made, and against reports that count
// longer the more hosts they pass.
func TestReportsFromWire(t *testing.T) {
	g, now := NewWithT(t), time.Unix(1000, 0)
	s := &reachability{table: reach.New("self")}
	s.refreshDomains(now, func() []fleet.Host {
		return []fleet.Host{{Host: member.Host{Name: "a", FailureDomain: "x"}}, {Host: member.Host{Name: "b", FailureDomain: "y"}}}
	})
	g.Expect(s.reportsFromWire(now, []*wire.ReplicaUnreachable{
		{Replica: "r", Reporter: "a", AgeMs: 80}, {Replica: "r", Reporter: "unknown"}, {Replica: "r", Reporter: "b", AgeMs: -1}, nil,
		{Replica: "r", Reporter: "b", AgeMs: math.MaxInt64},
	})).To(Equal([]reach.Report{
		{Replica: "r", Reporter: "a", Domain: "x", At: now.Add(-100 * time.Millisecond)},
		{Replica: "r", Reporter: "b", Domain: "y", At: now.Add(-maxNoticeAge - reportLinkDelay)},
	}))
}
