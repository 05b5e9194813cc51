package quarantine

import (
	"time"

	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/wire"
)

// The methods between daemons.
const (
	methodEnded    = "quarantine.ended"
	methodVerdicts = "quarantine.verdicts"
	methodTrial    = "quarantine.trial"
)

// Times go as ages: hosts agree on no time of day.
func ageOf(now, at time.Time) int64 { return max(0, now.Sub(at).Milliseconds()) }

func atOf(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(min(max(0, ageMS), maxAgeMS)) * time.Millisecond)
}

// maxAgeMS bounds the ages that a message may tell: twice the life of a verdict.
const maxAgeMS = int64(2 * poison.Lifetime / time.Millisecond)

func endsToWire(now time.Time, ends []poison.Crash) *wire.ReplicasEnded {
	out := &wire.ReplicasEnded{}
	for _, e := range ends {
		end := &wire.ReplicaEnd{Service: e.Service, Replica: e.Replica, AgeMs: ageOf(now, e.At)}
		for _, s := range e.Suspects {
			suspect := &wire.EndSuspect{Request: s.Request[:], RanMs: uint32(max(0, s.RunTime.Milliseconds()))}
			if !s.LastSuccess.IsZero() {
				suspect.ServedMs = max(1, ageOf(now, s.LastSuccess))
			}
			end.Suspects = append(end.Suspects, suspect)
		}
		out.Ends = append(out.Ends, end)
	}
	return out
}

func endsFromWire(now time.Time, m *wire.ReplicasEnded) []poison.Crash {
	var ends []poison.Crash
	for _, e := range m.GetEnds() {
		end := poison.Crash{Service: e.GetService(), Replica: e.GetReplica(), At: atOf(now, e.GetAgeMs())}
		for _, s := range e.GetSuspects() {
			f, ok := fingerprint(s.GetRequest())
			if !ok {
				continue
			}
			suspect := poison.Suspect{Request: f, RunTime: time.Duration(s.GetRanMs()) * time.Millisecond}
			if s.GetServedMs() > 0 {
				suspect.LastSuccess = atOf(now, s.GetServedMs())
			}
			end.Suspects = append(end.Suspects, suspect)
		}
		ends = append(ends, end)
	}
	return ends
}

func verdictsToWire(now time.Time, verdicts []poison.Verdict) []*wire.Verdict {
	out := make([]*wire.Verdict, 0, len(verdicts))
	for _, v := range verdicts {
		w := &wire.Verdict{
			Request: v.Request[:], Round: v.Round, Lifted: v.Lifted, Trials: v.Trials, Untried: v.UnusedTrials, Doubtful: v.Doubtful,
			AgeMs: ageOf(now, v.QuarantinedAt), SinceMs: ageOf(now, v.FirstCrash),
		}
		if v.Trials > 0 {
			w.TriedMs = ageOf(now, v.LastTrial)
		}
		out = append(out, w)
	}
	return out
}

func verdictsFromWire(now time.Time, in []*wire.Verdict) []poison.Verdict {
	var out []poison.Verdict
	for _, w := range in {
		f, ok := fingerprint(w.GetRequest())
		if !ok {
			continue
		}
		v := poison.Verdict{
			Request: f, Round: w.GetRound(), Lifted: w.GetLifted(), Trials: w.GetTrials(), UnusedTrials: w.GetUntried(), Doubtful: w.GetDoubtful(),
			QuarantinedAt: atOf(now, w.GetAgeMs()), FirstCrash: atOf(now, w.GetSinceMs()),
		}
		if v.Trials > 0 {
			v.LastTrial = atOf(now, w.GetTriedMs())
		}
		out = append(out, v)
	}
	return out
}

// fingerprint reads a fingerprint; false when it has another size.
func fingerprint(raw []byte) (poison.Fingerprint, bool) {
	if len(raw) != poison.FingerprintSize {
		return poison.Fingerprint{}, false
	}
	return poison.Fingerprint(raw), true
}
