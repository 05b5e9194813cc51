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

// Timing of the host list reads. As for the bundle, the whole fleet together makes a
// fixed number of reads per second, at random times.
const (
	// hostListFleetInterval is the mean time between two reads by the whole fleet.
	hostListFleetInterval = 500 * time.Millisecond
	// hostListMinInterval is the shortest mean time between two reads by one daemon.
	hostListMinInterval = 2 * time.Second
	// hostListMaxBackoff bounds the backoff until the first successful read.
	hostListMaxBackoff = 5 * time.Second
)

// digestField returns a log field with a digest in hexadecimal.
func digestField(key string, v uint64) zap.Field { return zap.String(key, fmt.Sprintf("%016x", v)) }

// hostAddresses holds the peer addresses of the entry hosts.
type hostAddresses struct {
	mu           sync.RWMutex
	fromBundle   map[string]string
	fromHostList map[string]string
	revision     uint64
	readAt       time.Time
}

// resolve returns the address where a host's daemon listens for peers.
func (h *hostAddresses) resolve(host string) (string, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if a, ok := h.fromBundle[host]; ok {
		return a, true
	}
	a, ok := h.fromHostList[host]
	return a, ok
}

// setBundle replaces the addresses from the bundle.
func (h *hostAddresses) setBundle(b *bundle.Bundle) {
	addresses := make(map[string]string, len(b.Hosts))
	for _, x := range b.Hosts {
		addresses[x.Name] = x.PeerAddress
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fromBundle = addresses
}

// setHostList replaces the addresses from the host list.
func (h *hostAddresses) setHostList(l platform.HostList) {
	addresses := map[string]string{}
	for _, x := range l.Hosts {
		if x.Role == platform.RoleEntry {
			addresses[x.Name] = x.Address
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fromHostList, h.revision, h.readAt = addresses, l.Revision, clock.Now()
}

// HostListDump describes the last host list that was read.
type HostListDump struct {
	Revision uint64        `json:"revision"`
	Hosts    int           `json:"entry_hosts"`
	ReadAgo  time.Duration `json:"read_ago_ns"`
}

func (h *hostAddresses) dump() HostListDump {
	h.mu.RLock()
	defer h.mu.RUnlock()
	d := HostListDump{Revision: h.revision, Hosts: len(h.fromHostList)}
	if !h.readAt.IsZero() {
		d.ReadAgo = clock.Since(h.readAt)
	}
	return d
}

// readHosts reads the host list until ctx ends: with exponential backoff until the
// first success, then at random intervals.
func (c *Cluster) readHosts(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.MaxInterval = hostListMaxBackoff
	_, err := backoff.Retry(ctx, func() (struct{}, error) { return struct{}{}, c.readHostsOnce(ctx) },
		backoff.WithBackOff(b), backoff.WithMaxElapsedTime(0))
	for err == nil && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-clock.After(hostListDelay(c.members.View().LiveCount)):
			_ = c.readHostsOnce(ctx) // readHostsOnce logs the error; the next read follows anyway
		}
	}
}

// hostListDelay returns a random delay until the next read, for a fleet with the given
// number of live hosts.
func hostListDelay(liveCount int) time.Duration {
	mean := max(hostListMinInterval, time.Duration(liveCount)*hostListFleetInterval)
	return mean/2 + rand.N(mean)
}

// readHostsOnce reads the host list and passes it to membership.
func (c *Cluster) readHostsOnce(ctx context.Context) error {
	l, err := c.cfg.Platform.Hosts(ctx)
	if err != nil {
		c.log.Warn("reading the host list failed", zap.Error(err))
		return err
	}
	c.hosts.setHostList(l)
	e := member.HostList{AsOfUnixMS: l.AsOfUnixMS}
	entries := member.Configured{}
	for _, h := range l.Hosts {
		if h.Role == platform.RoleUpstream {
			e.Upstreams = append(e.Upstreams, member.ListedUpstream{Name: h.Name, Leaving: h.State == platform.StateLeaving})
		} else {
			entries.Hosts = append(entries.Hosts, member.Host{Name: h.Name})
		}
	}
	// Until there is a bundle, the host list defines the members.
	c.members.PostIf(func() bool { return c.activeBundle.Load() == nil }, entries)
	c.members.Post(e)
	return nil
}
