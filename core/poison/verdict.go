package poison

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Verdict is the decision on a subject.
type Verdict struct {
	Subject Fingerprint
	Kind    Kind
	// Round counts how often the subject has been quarantined.
	Round uint32
	// Lifted says that the subject is no longer refused: a run has survived since the first crash,
	// at LastSuccess, or an outage or other subjects account for the crashes.
	Lifted bool
	// LastSuccess is when a run with the subject last survived, as far as is known; zero if
	// never.
	LastSuccess time.Time
	// Trials is the number of granted trials, and LastTrial when the last one was granted.
	Trials    uint32
	LastTrial time.Time
	// UnusedTrials is the number of granted trials that led to no run.
	UnusedTrials uint32
	// QuarantinedAt is when the verdict was made, and FirstCrash when the first
	// crash occurred that counts against it.
	QuarantinedAt, FirstCrash time.Time
	// Doubtful says that replicas also crashed without the subject at that time, or that
	// the crashes are attributed to another one.
	Doubtful bool
	// own says that this detector made the verdict, so that it knows all crashes behind it. It is
	// not sent.
	own bool
}

// Times and bounds of verdicts.
const (
	// Lifetime is how long a verdict lasts.
	Lifetime = time.Hour
	// FirstTrial and SecondTrial are the times of the trials, after the verdict and after
	// the first trial respectively. A trial of a request that does crash replicas costs
	// another crash and the other runs on that replica; a wrong verdict lasts until a trial
	// succeeds.
	FirstTrial  = 30 * time.Second
	SecondTrial = 5 * time.Minute
	// DoubtfulTrial replaces FirstTrial for doubtful verdicts, and for those on parts: a
	// wrong one has many requests refused.
	DoubtfulTrial = 2 * time.Second
	// ObjectionTime is the time from a verdict on a part until it is in force: the time in which
	// it reaches all hosts, and the objection of one that has seen the part survive returns.
	ObjectionTime = 500 * time.Millisecond
	// MaxTrials is the maximum number of trials of a verdict that led to a run: the users'
	// requirements allow three further runs. MaxUnusedTrials is the maximum number of trials
	// that led to no run and are granted again.
	MaxTrials       = 2
	MaxUnusedTrials = 16
	// MaxVerdicts is the maximum number of retained verdicts, of which the newest are kept.
	// They fit into one message of about 12 kB.
	MaxVerdicts = 256
)

// Supersedes reports whether a verdict replaces another one on the same request.
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
	if v.UnusedTrials != old.UnusedTrials {
		return v.UnusedTrials > old.UnusedTrials
	}
	return v.Doubtful && !old.Doubtful
}

// InForceAt is when requests begin to be refused.
func (v Verdict) InForceAt() time.Time {
	if v.Kind == Part {
		return v.QuarantinedAt.Add(ObjectionTime)
	}
	return v.QuarantinedAt
}

// nextTrial returns when the next trial may be granted, and false if no trial is left.
func (v Verdict) nextTrial() (time.Time, bool) {
	switch used := v.Trials - min(v.UnusedTrials, MaxUnusedTrials, v.Trials); {
	case used >= MaxTrials:
		return time.Time{}, false
	case used > 0:
		return v.LastTrial.Add(SecondTrial), true
	case v.Doubtful || v.Kind == Part:
		return v.QuarantinedAt.Add(DoubtfulTrial), true
	}
	return v.QuarantinedAt.Add(FirstTrial), true
}

// RetryAfter returns how long a refused caller has to wait until its request may be served.
func (v Verdict) RetryAfter(now time.Time) time.Duration {
	due, available := v.nextTrial()
	if !available {
		due = v.QuarantinedAt.Add(Lifetime)
	}
	return max(0, due.Sub(now))
}

// Verdicts returns all retained verdicts, including lifted ones, ordered by subject. The
// caller owns the slice.
func (m *Detector) Verdicts() []Verdict {
	out := make([]Verdict, 0, len(m.verdicts))
	for _, v := range m.verdicts {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b Verdict) int { return slices.Compare(a.Subject[:], b.Subject[:]) })
	return out
}

// expiryMargin is how long before its expiry a verdict is excluded from the digest.
// Detectors drop a verdict at slightly different times and need not exchange it because of
// that.
const expiryMargin = 10 * time.Second

// Digest returns a hash that is equal for detectors with the same verdicts; 0 if there are
// none.
func (m *Detector) Digest(now time.Time) uint64 {
	var digest uint64
	for _, v := range m.verdicts {
		if now.Sub(v.QuarantinedAt) > Lifetime-expiryMargin {
			continue
		}
		var buf [FingerprintSize + 13]byte
		copy(buf[:], v.Subject[:])
		binary.LittleEndian.PutUint32(buf[FingerprintSize:], v.Round)
		binary.LittleEndian.PutUint32(buf[FingerprintSize+4:], v.Trials)
		binary.LittleEndian.PutUint32(buf[FingerprintSize+8:], v.UnusedTrials)
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
