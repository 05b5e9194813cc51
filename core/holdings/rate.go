package holdings

import "time"

// rateWindow is the time over which released bytes are counted.
const rateWindow = 10 * time.Second

// releaseRate counts the bytes released in the current window and the one before.
type releaseRate struct {
	began           time.Time
	current, before int64
}

// advance starts a new window if the current one is over.
func (r *releaseRate) advance(now time.Time) {
	switch age := now.Sub(r.began); {
	case age >= 2*rateWindow:
		r.began, r.before, r.current = now, 0, 0
	case age >= rateWindow:
		r.began, r.before, r.current = r.began.Add(rateWindow), r.current, 0
	}
}

func (r *releaseRate) add(now time.Time, bytes int64) {
	r.advance(now)
	r.current += bytes
}

// perSecond is the number of bytes released in a second, over one to two windows.
func (r *releaseRate) perSecond(now time.Time) float64 {
	r.advance(now)
	return float64(r.current+r.before) / (rateWindow + now.Sub(r.began)).Seconds()
}
