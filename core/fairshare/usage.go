package fairshare

import "time"

const (
	// Window is the time over which work is counted. A customer that returns to its usual
	// rate is within its share again after this time.
	Window = 2 * time.Second
	// slots is the number of parts in which a Window expires.
	slots     = 20
	slotWidth = Window / slots
	// urgencies is the number of kinds that an account counts apart. Kinds beyond it are
	// counted with the last one.
	urgencies = 3
)

// urgency returns the index by which an account counts a kind.
func urgency(kind int) int { return min(max(kind, 0), urgencies-1) }

// usage is the work asked for and admitted within the Window.
type usage struct {
	asked       [slots]float32 // by slot number modulo slots
	admitted    [slots][urgencies]float32
	askedSum    float64
	admittedSum [urgencies]float64
	// latest is the slot number up to which the sums are current.
	latest int64
}

// advance drops the work that has left the Window. The sums are formed anew so that
// rounding errors do not accumulate.
func (u *usage) advance(slot int64) {
	if slot <= u.latest {
		return
	}
	for n := max(u.latest+1, slot-slots+1); n <= slot; n++ {
		u.asked[n%slots], u.admitted[n%slots] = 0, [urgencies]float32{}
	}
	u.latest, u.askedSum, u.admittedSum = slot, 0, [urgencies]float64{}
	for i := range slots {
		u.askedSum += float64(u.asked[i])
		for k, work := range u.admitted[i] {
			u.admittedSum[k] += float64(work)
		}
	}
}

func (u *usage) ask(work float64) {
	u.asked[u.latest%slots] += float32(work)
	u.askedSum += work
}

func (u *usage) admit(kind int, work float64) {
	u.admitted[u.latest%slots][urgency(kind)] += float32(work)
	u.admittedSum[urgency(kind)] += work
}

// admittedTo returns the admitted work of a kind and of all that are more urgent.
func (u *usage) admittedTo(kind int) float64 { return sumTo(u.admittedSum, kind) }

// admittedAll returns the admitted work of all kinds.
func (u *usage) admittedAll() float64 { return sumTo(u.admittedSum, urgencies) }

func sumTo[T float32 | float64](byUrgency [urgencies]T, kind int) (sum float64) {
	for _, work := range byUrgency[:urgency(kind)+1] {
		sum += float64(work)
	}
	return sum
}

// timeBelow returns the time until the admitted work of a kind, and of those that are more
// urgent, is below a level if no further work is admitted; at most the Window.
func (u *usage) timeBelow(level float64, kind int) time.Duration {
	left := u.admittedTo(kind)
	for n := int64(1); n <= slots; n++ {
		if left < level {
			return time.Duration(n-1) * slotWidth
		}
		left -= sumTo(u.admitted[(u.latest+n)%slots], kind)
	}
	return Window
}
