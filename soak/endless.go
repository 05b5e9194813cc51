package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

const (
	// MaxMemoryMB is the resident memory that a daemon may have, in units of 2^20 bytes: that of
	// the smallest host.
	MaxMemoryMB = 144
	// memorySampleInterval is the interval at which the memory of the daemons is read.
	memorySampleInterval = 100 * time.Millisecond
)

// endlessKinds returns the kinds of endless bytes that a replica sends. Those that look like a
// signed answer, or like events of a stream, would count as the replica's answer.
func endlessKinds(rep *site.Replica) []site.Endless {
	var kinds []site.Endless
	for _, k := range site.EndlessKinds() {
		if k != site.EndlessAfterResponse && (k != site.EndlessEvents || rep.Kind != site.Engine) {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// sendEndlessBytes lets replicas send endless bytes, one after the other, until ctx ends.
func (r *runner) sendEndlessBytes(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, randomDuration(rng, 500*time.Millisecond, 2500*time.Millisecond))
		r.mu.Lock()
		rep := r.replicas[rng.IntN(len(r.replicas))]
		r.mu.Unlock()
		kinds := endlessKinds(rep)
		b := site.Behaviour{Endless: kinds[rng.IntN(len(kinds))], EndlessInterval: time.Duration(rng.IntN(2)) * 5 * time.Millisecond}
		r.recordFault("%s sends an %s, with a pause of %s", rep.ID, b.Endless, b.EndlessInterval)
		rep.SetBehaviour(b)
		sleep(ctx, randomDuration(rng, 200*time.Millisecond, 2*time.Second))
		rep.SetBehaviour(site.Behaviour{})
	}
}

// watchMemory records the peak memory of the daemons, and those that exceed Config.MaxMemoryMB,
// until ctx ends.
func (r *runner) watchMemory(ctx context.Context) {
	exceeded := map[daemonIncarnation]bool{}
	peak := 0
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.report.PeakMemory = peak
	}()
	for ctx.Err() == nil {
		for _, d := range r.daemons {
			p := daemonIncarnation{d, d.currentIncarnation()}
			bytes := d.residentMemory()
			peak = max(peak, bytes)
			if limit := r.cfg.MaxMemoryMB; limit > 0 && bytes > limit<<20 && !exceeded[p] {
				exceeded[p] = true
				r.recordViolation("memory: %s has %d MB, allowed %d", d.name, bytes>>20, limit)
			}
		}
		sleep(ctx, memorySampleInterval)
	}
}

// residentMemory returns the resident memory of the process in bytes; 0 if there is no process.
func (d *daemon) residentMemory() int {
	d.mu.Lock()
	p := d.process
	d.mu.Unlock()
	if p == nil {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Pid()))
	if err != nil {
		return 0 // the process has ended
	}
	var size, resident int
	if _, err := fmt.Sscan(string(raw), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize()
}
