package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/caller"
	"github.com/wheatseam/wheatseam/claims"
	"github.com/wheatseam/wheatseam/core/member"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/internal/clock"
)

// addClaims makes the part that claims keys of requests that may not be
// repeated, and holds keys for the fleet.
func (d *Daemon) addClaims() {
	s := claims.New(claims.Config{
		Host: d.settings.Host, Incarnation: d.incarnation,
		Started: time.UnixMilli(int64(d.incarnation)),
		Caller:  lateCaller{d}, Now: d.Now, Trusted: d.trusted, Gone: d.gone, Log: d.log,
		Seed: xxhash.Sum64String(d.settings.Host),
	}, d.peerMux)
	d.claims = s
	d.appliers = append(d.appliers, s)
}

// VoidKey implements caller.Backend.
func (d *Daemon) VoidKey(ctx context.Context, sub caller.Submission) bool {
	stage, ok := sub.Pipeline.FirstNonRepeatable()
	if !ok {
		return true
	}
	ctx, cancel := clock.WithTimeout(ctx, settleTimeout)
	defer cancel()
	key := request.ClaimKey{Customer: sub.Customer.Name, Key: sub.IdempotencyKey, Stage: stage.Name}
	notRun, err := d.claims.Void(ctx, key)
	return err == nil && notRun
}

// settleGrace is how long a starting host waits for its claims to settle. After
// that it serves what may be repeated, since a majority may be out of reach.
const settleGrace = 5 * time.Second

// settled says whether claims have settled, or no longer hold the host back.
func (d *Daemon) settled() bool {
	if d.claimsSettled.Load() {
		return true
	}
	started := time.UnixMilli(int64(d.incarnation))
	if d.claims.Settled() || d.Now().Sub(started) > settleGrace {
		d.claimsSettled.Store(true)
		return true
	}
	return false
}

// trusted says whether this host's clock agrees with its peers' and its views
// are renewed since the last pause.
func (d *Daemon) trusted() bool { return d.cluster.Fresh() && !d.cluster.Skewed() }

// gone says whether a process of a host has ended, or does not answer probes: a
// request that waits for it is better told now than at its deadline. One that leaves
// sees its requests through.
func (d *Daemon) gone(host string, incarnation uint64) bool {
	return goneOf(d.cluster.Members(), host, incarnation)
}

// goneOf is gone by what is known of the hosts.
func goneOf(members []member.Member, host string, incarnation uint64) bool {
	for _, m := range members {
		if m.Host.Name == host {
			answers := m.State == member.Alive || m.State == member.Leaving
			return !answers || m.Incarnation > incarnation
		}
	}
	return true
}
