package cluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/platform"
)

// The reading of the host list: as with the bundle, the whole fleet makes a
// fixed number of reads a second, at random times.
const (
	// hostListSpacing is the mean time between two reads by the whole fleet.
	hostListSpacing = 500 * time.Millisecond
	// hostListMin is the least mean time between two reads by one daemon.
	hostListMin = 2 * time.Second
	// hostListRetry bounds the wait between the first tries.
	hostListRetry = 5 * time.Second
)

// hex is a log field with a short digest.
func hex(key string, v uint64) zap.Field { return zap.String(key, fmt.Sprintf("%016x", v)) }

// hostBook holds the addresses of the entry hosts.
type hostBook struct {
	mu       sync.RWMutex
	byBundle map[string]string
	byList   map[string]string
	revision uint64
	readAt   time.Time
}

// resolve returns the address where a host's daemon hears peers.
func (h *hostBook) resolve(host string) (string, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if a, ok := h.byBundle[host]; ok {
		return a, true
	}
	a, ok := h.byList[host]
	return a, ok
}

// bundle takes the addresses of a bundle.
func (h *hostBook) bundle(b *bundle.Bundle) {
	addresses := make(map[string]string, len(b.Hosts))
	for _, x := range b.Hosts {
		addresses[x.Name] = x.PeerAddress
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byBundle = addresses
}

// list takes the addresses of the host list.
func (h *hostBook) list(l platform.HostList) {
	addresses := map[string]string{}
	for _, x := range l.Hosts {
		if x.Role == platform.RoleEntry {
			addresses[x.Name] = x.Address
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byList, h.revision, h.readAt = addresses, l.Revision, clock.Now()
}

// HostListDump says what is known of the host list.
type HostListDump struct {
	Revision uint64        `json:"revision"`
	Hosts    int           `json:"entry_hosts"`
	ReadAgo  time.Duration `json:"read_ago_ns"`
}

func (h *hostBook) dump() HostListDump {
	h.mu.RLock()
	defer h.mu.RUnlock()
	d := HostListDump{Revision: h.revision, Hosts: len(h.byList)}
	if !h.readAt.IsZero() {
		d.ReadAgo = clock.Since(h.readAt)
	}
	return d
}

// readHosts reads the host list until ctx ends: with backoff until the first
// answer, then at random times.
func (c *Cluster) readHosts(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.MaxInterval = hostListRetry
	_, err := backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, c.readHostsOnce(ctx) },
		backoff.WithBackOff(b), backoff.WithMaxElapsedTime(0))
	for err == nil && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-clock.After(hostListWait(c.members.View().LiveCount)):
			_ = c.readHostsOnce(ctx) // logged there; the next read comes anyway
		}
	}
}

// hostListWait draws the wait until the next read in a fleet of that size.
func hostListWait(living int) time.Duration {
	mean := max(hostListMin, time.Duration(living)*hostListSpacing)
	return mean/2 + rand.N(mean)
}

// readHostsOnce reads the host list and tells membership.
func (c *Cluster) readHostsOnce(ctx context.Context) error {
	l, err := c.cfg.Platform.Hosts(ctx)
	if err != nil {
		c.log.Warn("host list", zap.Error(err))
		return err
	}
	c.hosts.list(l)
	e := member.HostList{AsOfUnixMS: l.AsOfUnixMS}
	entries := member.Configured{}
	for _, h := range l.Hosts {
		if h.Role == platform.RoleUpstream {
			e.Upstreams = append(e.Upstreams, member.ListedUpstream{Name: h.Name, Leaving: h.State == platform.StateLeaving})
		} else {
			entries.Hosts = append(entries.Hosts, member.Host{Name: h.Name})
		}
	}
	// Until there is a bundle the host list says who the fellows are.
	c.members.PostIf(func() bool { return c.inForce.Load() == nil }, entries)
	c.members.Post(e)
	return nil
}
