package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wheatseam/wheatseam/internal/clock"
)

const (
	// formingAsk is the interval of introductions while the fleet forms, and
	// formingHosts the number of hosts for each of which it is as much longer.
	formingAsk   = 100 * time.Millisecond
	formingHosts = 160
	// seedSettles is how long a seed listens before it counts on having heard
	// of all hosts that run: they introduce themselves at formingAsk, and the
	// last of those that start together is up half a second after the first.
	seedSettles = 400 * time.Millisecond
	// firstNamed is the number of hosts that a seed names to one whose fleet
	// forms.
	firstNamed = 3
	// formBound is when a host counts on what it knows, whether its seeds
	// answered or not: seeds start up to 300 ms after the others and settle, and
	// a dial of one that is dark takes dialTimeout.
	formBound = time.Second
)

// Formed returns a channel that is closed once this host knows the fleet well
// enough to agree with its fellows on who ranks first: a seed that has settled,
// or had done so long ago, has named the first in rank. It is closed after
// formBound in any case, since a host may be cut off.
//
// Hosts that start together know different parts of the fleet for a moment.
// What only one host of the fleet should do, each would do for itself.
func (f *Fleet) Formed() <-chan struct{} { return f.formed }

// hasFormed says whether Formed is closed.
func (f *Fleet) hasFormed() bool {
	select {
	case <-f.formed:
		return true
	default:
		return false
	}
}

// form closes Formed.
func (f *Fleet) form(why string) {
	f.formOnce.Do(func() {
		f.log.Info("fleet formed", zap.String("why", why), zap.Int("hosts", f.KnownHostCount()))
		close(f.formed)
	})
}

// introduceForming introduces this host to all seeds, again and again, until
// the fleet has formed. The hosts that rank first are all that it learns: the
// names of all, sent to all at once, would fill the links of the seeds.
func (f *Fleet) introduceForming(ctx context.Context) {
	bound := clock.AfterFunc(formBound, func() { f.form("time is over") })
	defer bound.Stop()
	if slices.Contains(*f.seeds.Load(), f.cfg.Self.Name) {
		settled := clock.AfterFunc(seedSettles, func() { f.form("a seed, and the others had time to say so") })
		defer settled.Stop()
	}
	if len(f.targets()) == 0 {
		f.form("no seed but this host")
	}
	for !f.hasFormed() {
		for _, host := range f.targets() {
			f.askForming(ctx, host)
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

// formingInterval is the interval of introductions while a fleet of n hosts
// forms.
func formingInterval(n int) time.Duration {
	return formingAsk * time.Duration(formingHosts+n) / formingHosts
}

// askForming introduces this host to a seed, unless that is under way.
func (f *Fleet) askForming(ctx context.Context, host string) {
	if _, under := f.asked.LoadOrStore(host, true); under {
		return
	}
	go func() {
		defer f.asked.Delete(host)
		f.ask(ctx, host)
	}()
}
