package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/internal/standin/site"
)

const (
	// enginesPerVersion is the number of engines that join with a new version.
	enginesPerVersion = 3
	// maxDowntime is the longest time for which daemons stay down.
	maxDowntime = 1200 * time.Millisecond
	// minEventInterval and maxEventInterval bound the interval between the events of streams
	// around a loss, so that some are open when it happens.
	minEventInterval = 150 * time.Millisecond
	maxEventInterval = 450 * time.Millisecond
	// replaceTimeout limits the wait for a daemon that is replaced in turn.
	replaceTimeout = 5 * time.Second
)

// leaves is when old versions leave the store, seen from a loss.
type leaves string

const (
	leavesNever  leaves = "not around"
	leavesBefore leaves = "before"
	leavesDuring leaves = "during"
	leavesAfter  leaves = "after"
)

// leaveMoments are drawn from; before a loss, hosts that remember the version are lost with it.
var leaveMoments = []leaves{leavesNever, leavesBefore, leavesBefore, leavesDuring, leavesAfter}

// loseDaemons plays releases with losses of daemons, one after the other, until ctx ends.
func (r *runner) loseDaemons(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(rng, 300*time.Millisecond, 1200*time.Millisecond))
		r.slowStreams(randomDuration(rng, minEventInterval, maxEventInterval))
		if rng.IntN(4) == 0 {
			r.hideVersion(ctx, rng)
		} else {
			r.loseDuringRelease(ctx, rng)
		}
		r.slowStreams(0)
	}
}

// slowStreams sets the interval between the events of all engines.
func (r *runner) slowStreams(interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventInterval = interval
	for _, rep := range r.replicas {
		rep.SlowStreams(interval)
	}
}

// loseDuringRelease lets a new version join and the oldest one, or all old ones, leave, before,
// during or after a loss of daemons.
func (r *runner) loseDuringRelease(ctx context.Context, rng *rand.Rand) {
	moment := leaveMoments[rng.IntN(len(leaveMoments))]
	joins, all := rng.IntN(4) > 0, rng.IntN(3) > 0
	r.recordFault("a release, whose old versions leave %s the next loss", moment)
	if joins || r.versionCount() == 1 {
		r.joinVersion()
	}
	sleep(ctx, randomDuration(rng, 400*time.Millisecond, 900*time.Millisecond))
	leave := func() {
		if r.leaveOldVersions(all) {
			sleep(ctx, randomDuration(rng, 200*time.Millisecond, 500*time.Millisecond))
		}
	}
	if moment == leavesBefore {
		leave()
	}
	whileDown := func() {
		if moment == leavesDuring {
			leave()
		}
	}
	kinds := []func(){
		func() { r.loseAll(ctx, rng, lossOfAll, whileDown) },
		func() { r.loseAll(ctx, rng, lossOfAll, whileDown) },
		func() {
			r.loseAll(ctx, rng, lossOfAll, whileDown)
			sleep(ctx, randomDuration(rng, 500*time.Millisecond, 1500*time.Millisecond))
			r.loseAll(ctx, rng, lossOfAll, func() {})
		},
		func() { r.loseDomain(ctx, rng, whileDown) },
		func() { r.replaceInTurn(ctx, whileDown) },
	}
	kind := rng.IntN(len(kinds))
	kinds[kind]()
	if moment == leavesAfter {
		sleep(ctx, randomDuration(rng, 0, time.Second))
		leave()
	}
	sleep(ctx, randomDuration(rng, time.Second, 2*time.Second)) // callers take their streams up
}

// joinVersion registers engines of a new version.
func (r *runner) joinVersion() {
	r.mu.Lock()
	r.releases++
	version := fmt.Sprintf("v%d", len(softwareVersions)+r.releases)
	before := r.versions
	r.versions = []string{version}
	n := len(r.replicas)
	r.mu.Unlock()
	r.recordFault("%d engines of %s join", enginesPerVersion, version)
	for i := range enginesPerVersion {
		if err := r.addReplica(fmt.Sprintf("llm-%s-%d", version, n+i), "llm", site.Engine); err != nil {
			r.recordViolation("replica: %v", err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(slices.Clone(before), version)
}

// versionCount returns the number of versions that are not leaving.
func (r *runner) versionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.versions)
}

// leaveOldVersions lets the engines of the oldest version, or of all but the newest one, drain and
// removes them from the store. They serve on. It returns false if there is one version only.
func (r *runner) leaveOldVersions(all bool) bool {
	r.mu.Lock()
	n := min(1, len(r.versions)-1)
	if all {
		n = len(r.versions) - 1
	}
	left := r.versions[:n]
	r.versions = r.versions[n:]
	r.mu.Unlock()
	r.removeVersions(left...)
	return n > 0
}

// drainTime is how long engines of versions that leave are listed as draining.
const drainTime = 200 * time.Millisecond

// removeVersions lets the engines of versions drain, and removes them from the store.
func (r *runner) removeVersions(versions ...string) {
	if len(versions) == 0 {
		return
	}
	r.recordFault("%v leave", versions)
	r.mu.Lock()
	var left []*site.Replica
	for _, rep := range r.replicas {
		if rep.Kind != site.Engine || !slices.Contains(versions, rep.Version) {
			continue
		}
		left = append(left, rep)
		if _, draining := r.drainingSince[rep.ID]; !draining {
			r.store.Put("servers/"+rep.ID, site.StoreEntry(rep, "draining"))
			r.drainingSince[rep.ID] = time.Now()
		}
	}
	r.mu.Unlock()
	time.Sleep(drainTime)
	for _, rep := range left {
		r.store.Delete("servers/" + rep.ID)
	}
}

// loseAll kills all daemons at once, and starts them again together.
func (r *runner) loseAll(ctx context.Context, rng *rand.Rand, kind lossKind, whileDown func()) {
	if ctx.Err() != nil {
		return
	}
	r.recordFault("all daemons are killed at once")
	r.recordLoss(kind, true)
	r.lose(ctx, rng, r.daemons, whileDown)
}

// loseDomain kills the daemons of a failure domain at once, and starts them again.
func (r *runner) loseDomain(ctx context.Context, rng *rand.Rand, whileDown func()) {
	domain := failureDomains[rng.IntN(min(len(failureDomains), len(r.daemons)))]
	r.recordFault("all daemons of failure domain %s are killed at once", domain)
	r.recordLoss(lossOfDomain, false)
	r.lose(ctx, rng, slices.DeleteFunc(slices.Clone(r.daemons), func(d *daemon) bool { return d.failureDomain != domain }), whileDown)
}

// lose kills daemons at once and starts them again together.
func (r *runner) lose(ctx context.Context, rng *rand.Rand, lost []*daemon, whileDown func()) {
	for _, d := range lost {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range lost {
		// Daemons that another fault restarts meanwhile are up by now.
		d.restarting.Lock()
		d.stop(syscall.SIGKILL)
	}
	whileDown()
	sleep(ctx, r.downtime(rng))
	for _, d := range lost {
		if err := d.start(); err != nil {
			r.recordViolation("%s does not start: %v", d.name, err)
		}
		d.restarting.Unlock()
	}
}

// replaceInTurn kills one daemon after the other, each once the one before is ready again.
func (r *runner) replaceInTurn(ctx context.Context, afterFirst func()) {
	r.recordFault("all daemons are replaced in turn")
	for i, d := range r.daemons {
		if ctx.Err() != nil {
			return
		}
		r.recordLoss(lossInTurn, false)
		r.restartDaemon(d, syscall.SIGKILL, "replaced")
		if i == 0 {
			afterFirst()
		}
		ready, cancel := context.WithTimeout(ctx, replaceTimeout)
		for ready.Err() == nil && !d.ready() {
			sleep(ready, 20*time.Millisecond)
		}
		cancel()
	}
}

// hideVersion lets a version come and go while all daemons but one are suspended or cut off from
// the store and the others, and kills that one afterwards; or while all are down.
func (r *runner) hideVersion(ctx context.Context, rng *rand.Rand) {
	comeAndGo := func(served time.Duration) {
		r.joinVersion()
		sleep(ctx, served)
		r.leaveNewestVersion()
	}
	saw := r.daemons[rng.IntN(len(r.daemons))]
	others := slices.DeleteFunc(slices.Clone(r.daemons), func(d *daemon) bool { return d == saw })
	served := randomDuration(rng, 700*time.Millisecond, 1500*time.Millisecond)
	switch rng.IntN(3) {
	case 0:
		r.recordFault("a version comes and goes while all daemons are down")
		r.loseAll(ctx, rng, hiddenVersion, func() { comeAndGo(served / 4) })
		return
	case 1:
		r.recordFault("a version comes and goes while all daemons but %s are suspended", saw.name)
		for _, d := range others {
			d.signal(syscall.SIGSTOP)
		}
	default:
		r.recordFault("a version comes and goes while all daemons but %s are cut off from the store and each other", saw.name)
		for _, d := range r.daemons {
			d.recordLinkFault()
			d.peerRelay.Set(faultrelay.Conditions{Cut: true})
		}
		for _, d := range others {
			d.storeRelay.Set(faultrelay.Conditions{Cut: true})
		}
	}
	r.favoured.Store(saw)
	comeAndGo(served)
	r.recordLoss(hiddenVersion, false)
	var wg sync.WaitGroup
	wg.Go(func() { r.lose(ctx, rng, []*daemon{saw}, func() {}) })
	for _, d := range r.daemons {
		d.recordDisturbance()
		d.storeRelay.Heal()
		d.peerRelay.Heal()
		if d != saw {
			d.signal(syscall.SIGCONT)
		}
	}
	wg.Wait()
	r.favoured.Store(nil)
	sleep(ctx, randomDuration(rng, time.Second, 2*time.Second)) // callers take their streams up
}

// leaveNewestVersion lets the newest version leave, unless it is the only one.
func (r *runner) leaveNewestVersion() {
	r.mu.Lock()
	n := len(r.versions)
	version := r.versions[n-1]
	if n > 1 {
		r.versions = r.versions[:n-1]
	}
	r.mu.Unlock()
	if n > 1 {
		r.removeVersions(version)
	}
}
