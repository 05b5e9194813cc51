package stage

import (
	"math"
	"time"

	"github.com/wheatseam/wheatseam/core/catalog"
	"github.com/wheatseam/wheatseam/core/intake"
)

// service is the state of one service that runs stages.
type service struct {
	name     string
	figures  catalog.Pieces
	replicas []*replica
	// domains is the number of failure domains with replicas.
	domains int
	queue   queue
	// backlog counts the pieces of all jobs that are not made.
	backlog backlog
	ranks   ranks
	// dirty says that something happened since the last pass over the queue, at
	// lastPass, that may allow a call; without it the next one is due at nextPass.
	dirty              bool
	lastPass, nextPass time.Time
	// inspects is how many more questions for room may be asked.
	inspects int
	// load is what readerLoad counted at loadAt, with what was decided since.
	load   map[string]float64
	loadAt time.Time
	// pace is the smoothed ratio of measured to nominal call times.
	pace float64
	// usual is the smoothed number of pieces of a call, usualBytes that of the bytes of
	// a result.
	usual, usualBytes float64
}

// callTime is the expected time of a call of n pieces.
func (s *service) callTime(n int) time.Duration {
	return time.Duration(s.pace * float64(s.nominal(n)))
}

// usualTime is the expected time of a call that n pieces are part of: others
// come with them.
func (s *service) usualTime(n int) time.Duration {
	return s.callTime(min(s.figures.Batch, max(n, int(s.usual))))
}

// nominal is the time of a call of n pieces by the configuration's figures.
func (s *service) nominal(n int) time.Duration {
	return s.figures.CallTime + time.Duration(n)*s.figures.PieceTime
}

// countDomains counts the failure domains with replicas.
func (s *service) countDomains() int {
	domains := map[string]bool{}
	for _, r := range s.replicas {
		domains[r.FailureDomain] = true
	}
	return len(domains)
}

// replica is the state of one replica.
type replica struct {
	catalog.Replica
	service *service
	// gate bounds the calls here, together with others that this host makes.
	gate *intake.Gate
	// listed says that the replica is in the configuration in force.
	listed bool
	// replaced says that another start of the replica, or another replica, has its
	// address.
	replaced bool
	calls    []*call
	// lapsed are the calls that are no longer counted on, and still heard.
	lapsed []*call
	// used is the bytes of results made or being made there.
	used int64
	// pace is the smoothed ratio of measured to nominal call times there, as of
	// pacedAt; see paceNow.
	pace    float64
	pacedAt time.Time
	// failures counts failures in a row, and suspect is until when the replica
	// is avoided.
	failures int
	suspect  time.Time
	// busy is until when the replica is not called since it refused one, and
	// refusals counts those in a row.
	busy     time.Time
	refusals int
	// noRoom is until when nothing is sent, since a result found no room.
	noRoom time.Time
	// foreign is the room, in bytes, that was taken at foreignAt by results that
	// this planner does not know of; see foreignNow.
	foreign   int64
	foreignAt time.Time
	// inspectAt is when the replica is to be asked for its room; zero for not at
	// all. inspecting is when it was, until it has answered.
	inspectAt, inspecting time.Time
}

// call is a running call.
type call struct {
	id      uint64
	replica *replica
	pieces  []*piece
	started time.Time
	// ends is when the call is expected to end, and overdue when its pieces
	// are made elsewhere too.
	ends, overdue time.Time
	given         bool
	// lapses is when the call is no longer counted on, or when it is next looked
	// whether it is of use.
	lapses time.Time
	lapsed bool
	// later counts the calls that were made later and answered before.
	later int
}

// usable says whether the replica may be called at all.
func (r *replica) usable(now time.Time) bool {
	return r.takesWork() && !now.Before(r.suspect) && !r.closed(now)
}

// takesWork says whether the replica takes new work by its own word and the list's.
func (r *replica) takesWork() bool { return r.listed && !r.Draining && !r.gate.Leaves() }

// closed says that the replica takes no calls of this host for longer than a call takes.
func (r *replica) closed(now time.Time) bool {
	rate, bounded := r.gate.Rate(now)
	return bounded && rate == 0 && now.Add(r.service.callTime(1)).Before(r.gate.Opens(now))
}

// idle says whether the replica may be called now.
func (r *replica) idle(now time.Time) bool {
	return r.usable(now) && len(r.calls) < r.service.figures.Concurrency && !now.Before(r.busy) && !now.Before(r.gate.Opens(now))
}

// freeAt returns when the replica is expected to take its next call.
func (r *replica) freeAt(now time.Time) time.Time {
	at := now
	if len(r.calls) >= r.service.figures.Concurrency {
		at = r.calls[0].ends
		for _, c := range r.calls[1:] {
			if c.ends.Before(at) {
				at = c.ends
			}
		}
	}
	if r.busy.After(at) {
		at = r.busy
	}
	if opens := r.gate.Opens(now); opens.After(at) {
		at = opens
	}
	if at.Before(now) {
		return now
	}
	return at
}

// fits says whether results of n bytes have room beside what is held already.
// Those that are larger than all room fit a replica that holds nothing.
func (r *replica) fits(now time.Time, n int64) bool {
	if now.Before(r.noRoom) {
		return false
	}
	room := r.service.figures.RoomBytes
	held := r.used + r.foreignNow(now)
	return room == 0 || held == 0 || held+n <= room
}

// full notes that the replica had no room for a result, and has it asked why.
func (r *replica) full(now time.Time) {
	r.noRoom = now.Add(r.service.figures.CallTime)
	r.inspectAt = now
	room := r.service.figures.RoomBytes
	if missing := room - r.used; missing > max(r.foreignNow(now), int64(unexplainedShare*float64(room))) {
		r.foreign, r.foreignAt = missing, now
	}
}

// unexplainedShare is the share of a replica's room that has to be missing for
// others' results to be the reason: sizes are approximate.
const unexplainedShare = 0.25

// foreignNow is the room that is still taken by results that this planner does
// not know of. They go one after the other until the last has outlived the time
// for which results are kept.
func (r *replica) foreignNow(now time.Time) int64 {
	life := r.service.figures.ResultLife
	if life <= 0 {
		life = assumedResultLife
	}
	left := life - now.Sub(r.foreignAt)
	if r.foreign <= 0 || left <= 0 {
		return 0
	}
	return int64(float64(r.foreign) * float64(left) / float64(life))
}

// assumedResultLife is how long results are taken to be kept where the
// configuration does not say.
const assumedResultLife = 4 * time.Second

// The weights of a new measurement of call times.
const (
	servicePaceWeight = 0.05
	replicaPaceWeight = 0.4
)

const (
	// paceMemory is the time in which what was measured of a slow replica
	// counts for 1/e only, so that it is tried again.
	paceMemory = 4 * time.Second
	// slowRatio times the service's pace makes a replica a slow one: by then a
	// call elsewhere, also after a wait for it, ends sooner.
	slowRatio = 1.8
)

// paceNow is the replica's pace, fading to the service's.
func (r *replica) paceNow(now time.Time) float64 {
	fade := math.Exp(-float64(now.Sub(r.pacedAt)) / float64(paceMemory))
	return r.service.pace + (r.pace-r.service.pace)*fade
}

// slow says whether calls take much longer than usual at the replica.
func (r *replica) slow(now time.Time) bool { return r.paceNow(now) > slowRatio*r.service.pace }

// measure takes the time of an answered call.
func (r *replica) measure(now time.Time, took time.Duration, pieces int) {
	ratio := float64(took) / float64(r.service.nominal(pieces))
	before := r.paceNow(now)
	r.pace, r.pacedAt = before+replicaPaceWeight*(ratio-before), now
	s := r.service
	s.pace += servicePaceWeight * (min(ratio, 2) - s.pace)
	s.usual += servicePaceWeight * (float64(pieces) - s.usual)
}

// refuse notes a call that the replica had no place for: another planner's call
// runs there.
func (r *replica) refuse(now time.Time, c Config) {
	r.busy = now.Add(c.BusyWait << min(r.refusals, maxBusyDoublings))
	r.refusals++
}

// maxBusyDoublings bounds the wait after refusals in a row to 8 times the first,
// about one call.
const maxBusyDoublings = 3

// fail notes a call without a usable answer.
func (r *replica) fail(now time.Time, c Config) {
	wait := c.SuspectBase << min(r.failures, 10)
	r.failures++
	r.suspect = now.Add(min(wait, c.SuspectMax))
}
