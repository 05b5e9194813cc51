package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/internal/periodic"
)

const (
	// formingBaseInterval is the interval between roster requests while the fleet is
	// forming; it doubles at formingIntervalHosts known hosts and grows in proportion to
	// their number.
	formingBaseInterval  = 100 * time.Millisecond
	formingIntervalHosts = 160
	// seedSettleTime is how long a seed waits before it assumes that all running hosts
	// have contacted it: they send requests every formingBaseInterval, and the last of
	// those that start together is up half a second after the first.
	seedSettleTime = 400 * time.Millisecond
	// rankQuietTime is how long the highest-ranked hosts that a seed knows have to stay the
	// same before it assumes that they are final: the longest time between two requests of
	// a host that is forming in a fleet of 82, 227 ms, with a round trip. Hosts that start
	// later rank lower unless they have more capacity.
	rankQuietTime = 250 * time.Millisecond
	// rankCheckInterval is the interval at which a seed checks for that.
	rankCheckInterval = 20 * time.Millisecond
	// formingReplyHosts is the number of hosts that a seed reports to a host whose fleet
	// is still forming.
	formingReplyHosts = 3
	// formTimeout is when a host relies on the hosts that it knows, whether or not its
	// seeds answered: seeds start up to 300 ms after the others and then wait for
	// seedSettleTime, and a connection attempt to an unresponsive seed takes dialTimeout.
	formTimeout = time.Second
)

// Formed returns a channel that is closed once this host knows the fleet well enough to
// agree with its peers on which host ranks first, that is once a seed that has formed has
// reported the highest-ranked hosts. On a seed it is closed once these are stable, after
// seedSettleTime at the latest, or at once if there is no other seed. It is closed after formTimeout in any case, since a host
// may be disconnected.
//
// Hosts that start together know different parts of the fleet for a moment. Each of them
// would then do the work that only one host of the fleet should do.
func (f *Fleet) Formed() <-chan struct{} { return f.formed }

// hasFormed reports whether the channel of Formed is closed.
func (f *Fleet) hasFormed() bool {
	select {
	case <-f.formed:
		return true
	default:
		return false
	}
}

// markFormed closes the channel of Formed.
func (f *Fleet) markFormed(reason string) {
	f.formedOnce.Do(func() {
		f.log.Info("fleet formed", zap.String("why", reason), zap.Int("hosts", f.KnownHostCount()))
		close(f.formed)
	})
}

// syncRosterUntilFormed sends roster requests to all seeds until the fleet has formed. It
// receives only the highest-ranked hosts: sending all names to all hosts at once would
// saturate the links of the seeds.
func (f *Fleet) syncRosterUntilFormed(ctx context.Context) {
	timeout := clock.AfterFunc(formTimeout, func() { f.markFormed("timed out waiting for seeds") })
	defer timeout.Stop()
	if slices.Contains(*f.seeds.Load(), f.cfg.Self.Name) {
		settleTimer := clock.AfterFunc(seedSettleTime, func() { f.markFormed("this host is a seed and the settle time has passed") })
		defer settleTimer.Stop()
		go f.awaitStableRank(ctx)
	}
	if len(f.rosterTargets()) == 0 {
		f.markFormed("there is no seed other than this host")
	}
	for !f.hasFormed() {
		for _, host := range f.rosterTargets() {
			f.requestRosterAsync(ctx, host)
		}
		interval := formingInterval(f.KnownHostCount())
		wait := clock.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-f.formed:
			wait.Stop()
		case <-wait.C:
		}
	}
}

// awaitStableRank marks the fleet as formed once the highest-ranked hosts have not changed for
// rankQuietTime. A seed that knows too few hosts for a full reply waits for seedSettleTime.
func (f *Fleet) awaitStableRank(ctx context.Context) {
	w := rankWatch{since: clock.Now()}
	for !f.hasFormed() {
		if w.stable(clock.Now(), f.roster.topRanked(formingReplyHosts)) {
			f.markFormed("the highest-ranked hosts are stable")
			return
		}
		if !periodic.Sleep(ctx, rankCheckInterval) {
			return
		}
	}
}

// rankWatch observes the highest-ranked hosts.
type rankWatch struct {
	top   []Host
	since time.Time
}

// stable reports whether the highest-ranked hosts are as many as a reply has and have been
// the same for rankQuietTime.
func (w *rankWatch) stable(now time.Time, top []Host) bool {
	if !slices.Equal(w.top, top) {
		w.top, w.since = top, now
		return false
	}
	return len(top) == formingReplyHosts && now.Sub(w.since) >= rankQuietTime
}

// formingInterval returns the interval between roster requests while a fleet of n hosts is
// forming.
func formingInterval(n int) time.Duration {
	return formingBaseInterval * time.Duration(formingIntervalHosts+n) / formingIntervalHosts
}

// requestRosterAsync sends a roster request to a seed unless one is already outstanding.
func (f *Fleet) requestRosterAsync(ctx context.Context, host string) {
	if _, pending := f.pendingRequests.LoadOrStore(host, true); pending {
		return
	}
	go func() {
		defer f.pendingRequests.Delete(host)
		f.requestRoster(ctx, host)
	}()
}
