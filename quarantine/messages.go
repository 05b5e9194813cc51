package quarantine

import (
	"time"

	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/wire"
)

// The methods between daemons.
const (
	methodCrashes  = "quarantine.ended"
	methodVerdicts = "quarantine.verdicts"
	methodTrial    = "quarantine.trial"
)

// toAgeMS converts a time to an age. Messages carry ages because the clocks of hosts
// differ.
func toAgeMS(now, at time.Time) int64 { return max(0, now.Sub(at).Milliseconds()) }

func fromAgeMS(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(min(max(0, ageMS), maxAgeMS)) * time.Millisecond)
}

// successToAgeMS converts the time of a success to an age; 0 if it is zero.
func successToAgeMS(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return max(1, toAgeMS(now, at))
}

func successFromAgeMS(now time.Time, ageMS int64) time.Time {
	if ageMS <= 0 {
		return time.Time{}
	}
	return fromAgeMS(now, ageMS)
}

func kindOf(part bool) poison.Kind {
	if part {
		return poison.Part
	}
	return poison.Content
}

// maxAgeMS limits the ages accepted from a message to twice the lifetime of a verdict.
const maxAgeMS = int64(2 * poison.Lifetime / time.Millisecond)

func crashesToWire(now time.Time, crashes []poison.Crash) *wire.ReplicasEnded {
	out := &wire.ReplicasEnded{}
	for _, e := range crashes {
		crash := &wire.ReplicaEnd{Service: e.Service, Replica: e.Replica, AgeMs: toAgeMS(now, e.At)}
		for _, s := range e.Suspects {
			suspect := &wire.EndSuspect{Request: s.Subject[:], RanMs: uint32(max(0, s.RunTime.Milliseconds())), ServedMs: successToAgeMS(now, s.LastSuccess), Part: s.Kind == poison.Part}
			crash.Suspects = append(crash.Suspects, suspect)
		}
		for _, i := range e.Idle {
			crash.Idle = append(crash.Idle, &wire.IdleReplica{Replica: i.Replica, AnsweredMs: toAgeMS(now, i.AnsweredAt)})
		}
		out.Ends = append(out.Ends, crash)
	}
	return out
}

func crashesFromWire(now time.Time, m *wire.ReplicasEnded) []poison.Crash {
	var crashes []poison.Crash
	for _, e := range m.GetEnds() {
		crash := poison.Crash{Service: e.GetService(), Replica: e.GetReplica(), At: fromAgeMS(now, e.GetAgeMs())}
		for _, s := range e.GetSuspects() {
			f, ok := parseFingerprint(s.GetRequest())
			if !ok {
				continue
			}
			suspect := poison.Suspect{Subject: f, Kind: kindOf(s.GetPart()), RunTime: time.Duration(s.GetRanMs()) * time.Millisecond, LastSuccess: successFromAgeMS(now, s.GetServedMs())}
			crash.Suspects = append(crash.Suspects, suspect)
		}
		for _, i := range e.GetIdle() {
			crash.Idle = append(crash.Idle, poison.IdleReplica{Replica: i.GetReplica(), AnsweredAt: fromAgeMS(now, i.GetAnsweredMs())})
		}
		crashes = append(crashes, crash)
	}
	return crashes
}

func verdictsToWire(now time.Time, verdicts []poison.Verdict) []*wire.Verdict {
	out := make([]*wire.Verdict, 0, len(verdicts))
	for _, v := range verdicts {
		w := &wire.Verdict{
			Request: v.Subject[:], Round: v.Round, Lifted: v.Lifted, Trials: v.Trials, Untried: v.UnusedTrials, Doubtful: v.Doubtful,
			AgeMs: toAgeMS(now, v.QuarantinedAt), SinceMs: toAgeMS(now, v.FirstCrash), Part: v.Kind == poison.Part, ServedMs: successToAgeMS(now, v.LastSuccess),
		}
		if v.Trials > 0 {
			w.TriedMs = toAgeMS(now, v.LastTrial)
		}
		out = append(out, w)
	}
	return out
}

func verdictsFromWire(now time.Time, in []*wire.Verdict) []poison.Verdict {
	var out []poison.Verdict
	for _, w := range in {
		f, ok := parseFingerprint(w.GetRequest())
		if !ok {
			continue
		}
		v := poison.Verdict{
			Subject: f, Kind: kindOf(w.GetPart()), Round: w.GetRound(), Lifted: w.GetLifted(), Trials: w.GetTrials(), UnusedTrials: w.GetUntried(), Doubtful: w.GetDoubtful(),
			QuarantinedAt: fromAgeMS(now, w.GetAgeMs()), FirstCrash: fromAgeMS(now, w.GetSinceMs()), LastSuccess: successFromAgeMS(now, w.GetServedMs()),
		}
		if v.Trials > 0 {
			v.LastTrial = fromAgeMS(now, w.GetTriedMs())
		}
		out = append(out, v)
	}
	return out
}

// parseFingerprint parses a fingerprint; it returns false if the size is wrong.
func parseFingerprint(raw []byte) (poison.Fingerprint, bool) {
	if len(raw) != poison.FingerprintSize {
		return poison.Fingerprint{}, false
	}
	return poison.Fingerprint(raw), true
}
