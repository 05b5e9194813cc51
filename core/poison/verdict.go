package poison

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict is what is decided on a request.
type Verdict struct {
	Request Fingerprint
	// Round counts how often the request was condemned.
	Round uint32
	// Lifted says that a run ended well after that.
	Lifted bool
	// Trials is the number of trials that were granted, and TriedAt when the last
	// one was.
	Trials  uint32
	TriedAt time.Time
	// Untried is the number of trials that came to no run.
	Untried uint32
	// At is when the request was condemned, and Since when the first of the ends
	// was that count against it.
	At, Since time.Time
	// Doubtful says that replicas ended at the time without the request too, or
	// that another request accounts for the ends.
	Doubtful bool
}

// The times of verdicts.
const (
	// Lifetime is how long a verdict lasts.
	Lifetime = time.Hour
	// FirstTrial and SecondTrial are when trials are due, after the verdict and
	// after the first trial. A trial of a true culprit ends a replica once more and
	// takes the runs on it along; a wrong verdict lasts until a trial.
	FirstTrial  = 30 * time.Second
	SecondTrial = 5 * time.Minute
	// DoubtfulTrial is in place of FirstTrial for doubtful verdicts.
	DoubtfulTrial = 2 * time.Second
	// MaxTrials bounds the trials of a verdict: the users allow three further runs.
	// MaxUntried bounds those that came to no run and are granted anew.
	MaxTrials       = 2
	MaxUnusedTrials = 16
	// MaxVerdicts bounds the verdicts that are kept, the newest: they fit in one
	// message of some 12 kB.
	MaxVerdicts = 256
)

// Supersedes says whether a verdict on the same request is to replace another.
func (v Verdict) Supersedes(old Verdict) bool {
	if v.Round != old.Round {
		return v.Round > old.Round
	}
	if v.Lifted != old.Lifted {
		return v.Lifted
	}
	if v.Trials != old.Trials {
		return v.Trials > old.Trials
	}
	if v.Untried != old.Untried {
		return v.Untried > old.Untried
	}
	return v.Doubtful && !old.Doubtful
}

// trialDue is when the next trial may be granted, and false when none is left.
func (v Verdict) nextTrial() (time.Time, bool) {
	switch used := v.Trials - min(v.Untried, MaxUnusedTrials, v.Trials); {
	case used >= MaxTrials:
		return time.Time{}, false
	case used > 0:
		return v.TriedAt.Add(SecondTrial), true
	case v.Doubtful:
		return v.At.Add(DoubtfulTrial), true
	}
	return v.At.Add(FirstTrial), true
}

// RetryAfter is how long a refused caller has to wait until it could be served.
func (v Verdict) RetryAfter(now time.Time) time.Duration {
	due, available := v.nextTrial()
	if !available {
		due = v.At.Add(Lifetime)
	}
	return max(0, due.Sub(now))
}

// Verdicts returns all verdicts that are kept, also lifted ones, by request. The
// slice is the caller's.
func (m *Machine) Verdicts() []Verdict {
	out := make([]Verdict, 0, len(m.verdicts))
	for _, v := range m.verdicts {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b Verdict) int { return slices.Compare(a.Request[:], b.Request[:]) })
	return out
}

// expiryMargin is how long before its end a verdict leaves the digest: machines
// forget it within a moment of each other, and need not tell each other of it.
const expiryMargin = 10 * time.Second

// Digest is the same for machines with the same verdicts; 0 without any.
func (m *Machine) Digest(now time.Time) uint64 {
	var digest uint64
	for _, v := range m.verdicts {
		if now.Sub(v.At) > Lifetime-expiryMargin {
			continue
		}
		var buf [FingerprintSize + 13]byte
		copy(buf[:], v.Request[:])
		binary.LittleEndian.PutUint32(buf[FingerprintSize:], v.Round)
		binary.LittleEndian.PutUint32(buf[FingerprintSize+4:], v.Trials)
		binary.LittleEndian.PutUint32(buf[FingerprintSize+8:], v.Untried)
		if v.Lifted {
			buf[FingerprintSize+12] = 1
		}
		if v.Doubtful {
			buf[FingerprintSize+12] += 2
		}
		digest ^= xxhash.Sum64(buf[:])
	}
	return digest
}
