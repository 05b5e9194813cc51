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

// addClaims creates the service that acquires claims for requests with a
// non-repeatable stage and holds claimed keys for all daemons.
func (d *Daemon) addClaims() {
	s := claims.New(claims.Config{
		Host: d.settings.Host, Incarnation: d.incarnation,
		Started: time.UnixMilli(int64(d.incarnation)),
		Caller:  deferredCaller{d}, Now: d.Now, ClockAndViewsTrusted: d.clockAndViewsTrusted, OwnerUnavailable: d.ownerUnavailable, Log: d.log,
		Seed: xxhash.Sum64String(d.settings.Host),
	}, d.peerMux)
	d.claims = s
	d.bundleAppliers = append(d.bundleAppliers, s)
}

// VoidKey implements caller.Backend.
func (d *Daemon) VoidKey(ctx context.Context, sub caller.Submission) bool {
	stage, ok := sub.Pipeline.FirstNonRepeatable()
	if !ok {
		return true
	}
	ctx, cancel := clock.WithTimeout(ctx, confirmNotRunTimeout)
	defer cancel()
	key := request.ClaimKey{Customer: sub.Customer.Name, Key: sub.IdempotencyKey, Stage: stage.Name}
	notRun, err := d.claims.Void(ctx, key)
	return err == nil && notRun
}

// claimsReadyTimeout bounds the time for which a starting host refuses requests
// because its claims are not ready. A majority may be unreachable for longer, but
// repeatable requests need no claims, so the host serves those from then on.
const claimsReadyTimeout = 5 * time.Second

// claimsReadyOrTimedOut reports whether claims have been fully ready once since
// the start or claimsReadyTimeout has passed.
func (d *Daemon) claimsReadyOrTimedOut() bool {
	if d.claimsReady.Load() {
		return true
	}
	started := time.UnixMilli(int64(d.incarnation))
	if d.claims.FullyReady() || d.Now().Sub(started) > claimsReadyTimeout {
		d.claimsReady.Store(true)
		return true
	}
	return false
}

// clockAndViewsTrusted reports whether this host's clock agrees with its peers'
// clocks and its membership views have been renewed since the last pause of the
// process.
func (d *Daemon) clockAndViewsTrusted() bool { return d.cluster.Fresh() && !d.cluster.Skewed() }

// ownerUnavailable reports whether a process of a host has ended or does not answer
// probes. A request that waits for a key of such a process is refused at once instead
// of at its deadline. A leaving process is available, since it completes its requests.
func (d *Daemon) ownerUnavailable(host string, incarnation uint64) bool {
	return processUnavailable(d.cluster.Members(), host, incarnation)
}

// processUnavailable implements ownerUnavailable for a list of members. A process
// of a host that is not in the list is unavailable.
func processUnavailable(members []member.Member, host string, incarnation uint64) bool {
	for _, m := range members {
		if m.Host.Name == host {
			answers := m.State == member.Alive || m.State == member.Leaving
			return !answers || m.Incarnation > incarnation
		}
	}
	return true
}
