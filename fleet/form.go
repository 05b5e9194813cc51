package fleet

import (
	"time"

	"go.uber.org/zap"
)

// formBound is when a host counts on what it knows, whether its seeds answered
// or not: seeds start up to 300 ms after the others, a dial of one that is dark
// takes dialTimeout, and the next round of introductions some 200 ms.
const formBound = time.Second

// Formed returns a channel that is closed once this host knows the fleet well
// enough to agree with its fellows on who ranks first: a host that had formed
// has named its fellows, or a round of introductions brought none that was new.
// It is closed after formBound in any case, since a host may be cut off.
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
		f.log.Info("fleet formed", zap.String("why", why), zap.Int("hosts", f.roster.size()))
		close(f.formed)
	})
}
