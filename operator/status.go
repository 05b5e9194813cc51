package operator

import (
	"errors"
	"time"

	"github.com/wheatseam/wheatseam/record"
	"github.com/wheatseam/wheatseam/wire"
)

// ErrUnknownRequest means that no queried host has a record of the request:
// there was no such request, or its record was evicted.
var ErrUnknownRequest = errors.New("operator: no record of the request")

// ErrUnknownHost means that the host is not in the bundle.
var ErrUnknownHost = errors.New("operator: unknown host")

// Explanation holds every decision about one request, in the order in which they
// were recorded.
type Explanation struct {
	RequestID string         `json:"request_id"`
	Host      string         `json:"host"`
	Entries   []record.Entry `json:"entries"`
}

// Status is the state of one host and of its active bundle.
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
	// Error says why the host could not be queried. All fields except Host are
	// empty then.
	Error string `json:"error,omitempty"`
}

// LocalDaemon is the daemon that the operators' listener belongs to. Its methods must
// be safe for concurrent use.
type LocalDaemon interface {
	// Host returns the name of the host.
	Host() string
	// Status returns the status of the host. It may block briefly while it queries
	// the components of the daemon.
	Status() Status
	// Drain starts a graceful shutdown, as SIGTERM does. Later calls have no
	// effect.
	Drain()
	// Hosts returns the names of all entry hosts of the bundle, including this one.
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

// unixMs returns t in Unix milliseconds, and 0 for the zero time.
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
