package operator

import (
	"errors"
	"time"

	"github.com/wheatseam/wheatseam/record"
	"github.com/wheatseam/wheatseam/wire"
)

// ErrUnknownRequest is a request of which no asked host holds a record: there
// was none, or it is forgotten.
var ErrUnknownRequest = errors.New("operator: no record of the request")

// ErrUnknownHost is a host that is not in the bundle.
var ErrUnknownHost = errors.New("operator: unknown host")

// Explanation holds every decision about one request, in order.
type Explanation struct {
	RequestID string         `json:"request_id"`
	Host      string         `json:"host"`
	Entries   []record.Entry `json:"entries"`
}

// Status says how one host is and which bundle it has in force.
type Status struct {
	Host             string    `json:"host"`
	FailureDomain    string    `json:"failure_domain"`
	Ready            bool      `json:"ready"`
	Draining         bool      `json:"draining"`
	Reason           string    `json:"reason,omitempty"`
	BundleVersion    uint64    `json:"bundle_version"`
	BundleDigest     string    `json:"bundle_digest,omitempty"`
	BundleSource     string    `json:"bundle_source,omitempty"`
	BundleSince      time.Time `json:"bundle_since"`
	RequestsInFlight int       `json:"requests_in_flight"`
	// Error says why the host could not be asked; the rest is then empty.
	Error string `json:"error,omitempty"`
}

// Local is the daemon that a listener belongs to. Its methods are called from
// any goroutine.
type LocalDaemon interface {
	// Host returns the daemon's name.
	Host() string
	// Status returns the daemon's own status. It may wait a moment for the
	// parts of the daemon.
	Status() Status
	// Drain starts the way out, as SIGTERM does. Later calls do nothing.
	Drain()
	// Hosts lists the names of all entry hosts of the bundle, this one included.
	Hosts() []string
}

func statusToWire(s Status) *wire.StatusResponse {
	return &wire.StatusResponse{
		FailureDomain: s.FailureDomain, Ready: s.Ready, Draining: s.Draining, Reason: s.Reason,
		BundleVersion: s.BundleVersion, BundleDigest: s.BundleDigest, BundleSource: s.BundleSource,
		BundleSinceUnixMs: unixMs(s.BundleSince), RequestsInFlight: int64(s.RequestsInFlight),
	}
}

func statusFromWire(host string, m *wire.StatusResponse) Status {
	return Status{
		Host: host, FailureDomain: m.FailureDomain, Ready: m.Ready, Draining: m.Draining, Reason: m.Reason,
		BundleVersion: m.BundleVersion, BundleDigest: m.BundleDigest, BundleSource: m.BundleSource,
		BundleSince: fromUnixMs(m.BundleSinceUnixMs), RequestsInFlight: int(m.RequestsInFlight),
	}
}

// unixMs keeps the zero time zero.
func unixMs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMs(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func entriesToWire(entries []record.Entry) []*wire.DecisionEntry {
	out := make([]*wire.DecisionEntry, 0, len(entries))
	for _, e := range entries {
		m := &wire.DecisionEntry{
			AtUnixNs: e.At.UnixNano(), Step: string(e.Step), Stage: e.Stage,
			Attempt: uint32(e.Attempt), Outcome: e.Outcome,
		}
		for _, f := range e.Fields {
			m.Fields = append(m.Fields, &wire.DecisionField{Key: f.Key, Value: f.Value})
		}
		for _, c := range e.Candidates {
			m.Candidates = append(m.Candidates, &wire.DecisionCandidate{Upstream: c.Upstream, Score: c.Score, Refused: c.RefusalReason})
		}
		out = append(out, m)
	}
	return out
}

func entriesFromWire(entries []*wire.DecisionEntry) []record.Entry {
	out := make([]record.Entry, 0, len(entries))
	for _, m := range entries {
		e := record.Entry{
			At: time.Unix(0, m.AtUnixNs), Step: record.Step(m.Step), Stage: m.Stage,
			Attempt: int(m.Attempt), Outcome: m.Outcome,
		}
		for _, f := range m.Fields {
			e.Fields = append(e.Fields, record.Field{Key: f.Key, Value: f.Value})
		}
		for _, c := range m.Candidates {
			e.Candidates = append(e.Candidates, record.Candidate{Upstream: c.Upstream, Score: c.Score, RefusalReason: c.Refused})
		}
		out = append(out, e)
	}
	return out
}
