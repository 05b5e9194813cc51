package gateway

import (
	"slices"

	"github.com/wheatseam/wheatseam/core/poison"
	"github.com/wheatseam/wheatseam/internal/clock"
	"github.com/wheatseam/wheatseam/problem"
	"github.com/wheatseam/wheatseam/quarantine"
)

// subjects are what the request can be quarantined for: its content and the parts of its prompt.
func (x *exchange) subjects() []poison.Fingerprint {
	return append([]poison.Fingerprint{x.fingerprint}, x.parts...)
}

// refusableSubjects are the subjects for which the request is refused once they are quarantined: all
// but that of its trial.
func (x *exchange) refusableSubjects() []poison.Fingerprint {
	return slices.DeleteFunc(x.subjects(), func(f poison.Fingerprint) bool { return x.trial != nil && f == *x.trial })
}

// partFingerprints returns the fingerprints of the parts of a prompt that other requests may
// share, each once; nil for services that are no engines.
func (x *exchange) partFingerprints() []poison.Fingerprint {
	if s := x.config.Services[x.service]; s == nil || !s.Engine {
		return nil
	}
	var out []poison.Fingerprint
	seen := map[string]bool{"": true}
	for _, id := range x.sharedParts() {
		if !seen[id] {
			seen[id] = true
			out = append(out, poison.PartFingerprint(x.service, id))
		}
	}
	return out
}

// requestTrial asks for a trial if the request is quarantined for one subject. With several, a
// crash would not tell which of them caused it.
func (x *exchange) requestTrial() {
	verdicts := x.g.quarantine.Refusing(x.subjects())
	if len(verdicts) == 1 && x.g.quarantine.RequestTrial(x.r.Context(), verdicts[0]) {
		x.trial = &verdicts[0].Subject
	}
}

// releaseUnusedTrial returns a trial that led to no run, so that another caller can use
// it.
func (x *exchange) releaseUnusedTrial() {
	if x.trial != nil && x.runs == 0 {
		x.g.quarantine.ReturnTrial(*x.trial)
	}
}

// checkQuarantine refuses a quarantined request. The refusal implies that the request has
// not run under this ID; if it has, fail answers with another error. A retry before the
// given Retry-After would only be refused again.
func (x *exchange) checkQuarantine() *problem.Error {
	var perr *problem.Error
	for _, v := range x.g.quarantine.Refusing(x.subjects()) {
		if x.trial != nil && *x.trial == v.Subject {
			continue
		}
		if after := v.RetryAfter(clock.Now()); perr == nil || after > perr.RetryAfter {
			perr = withRetryAfter(x.quarantineError(v), after)
		}
	}
	return perr
}

// quarantineError is the error of a request that is refused because of a verdict.
func (x *exchange) quarantineError(v poison.Verdict) *problem.Error {
	if v.Kind == poison.Content {
		return problem.New(problem.Quarantined, "replicas crashed under this request")
	}
	ids := x.sharedParts()
	i := slices.IndexFunc(ids, func(id string) bool { return poison.PartFingerprint(x.service, id) == v.Subject })
	if i < 0 {
		return problem.New(problem.Quarantined, "replicas crashed under a part of the prompt")
	}
	return problem.New(problem.Quarantined, "replicas crashed under part %.64s of the prompt", ids[i])
}

// partsSurvived records once that the run survived the parts of its prompt: its answer is complete,
// or its events have come for quarantine.SurvivalTime.
func (t *attempt) partsSurvived(complete bool) {
	if t.survived || !complete && clock.Since(t.firstAt) < quarantine.SurvivalTime {
		return
	}
	t.survived = true
	t.x.g.quarantine.PartsSurvived(t.firstAt, t.x.parts)
}

// unsurvivedParts are the parts of the prompt that the run did not survive.
func (t *attempt) unsurvivedParts() []poison.Fingerprint {
	if t.survived {
		return nil
	}
	return t.x.parts
}
