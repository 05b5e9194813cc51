package operator

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wheatseam/wheatseam/peer"
	"github.com/wheatseam/wheatseam/record"
	"github.com/wheatseam/wheatseam/wire"
)

// The peer methods by which daemons forward operators' queries to each other.
const (
	methodExplain = "operator.explain"
	methodStatus  = "operator.status"
	methodDump    = "operator.dump"
)

// Limits on queries to other hosts.
const (
	maxConcurrentQueries = 16
	hostQueryTimeout     = time.Second
	// maxDumpBytes limits the decompressed size of a dump from another host.
	maxDumpBytes = 64 << 20
)

// FleetQuerier answers operators' queries about this host and any other host. Its
// methods are safe for concurrent use.
type FleetQuerier struct {
	local    LocalDaemon
	records  *record.Store
	sections *Sections
	peers    peer.Caller
}

// NewFleetQuerier returns a FleetQuerier for the daemon local and registers its peer
// methods with mux.
func NewFleetQuerier(local LocalDaemon, records *record.Store, sections *Sections, peers peer.Caller, mux *peer.Mux) *FleetQuerier {
	q := &FleetQuerier{local: local, records: records, sections: sections, peers: peers}
	peer.Handle(mux, methodExplain, q.serveExplain)
	peer.Handle(mux, methodStatus, q.serveStatus)
	peer.Handle(mux, methodDump, q.serveDump)
	return q
}

func (q *FleetQuerier) serveExplain(_ context.Context, _ peer.Sender, req *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	entries, ok := q.records.Get(req.RequestId)
	return &wire.ExplainResponse{Found: ok, Entries: entriesToWire(entries)}, nil
}

func (q *FleetQuerier) serveStatus(context.Context, peer.Sender, *wire.StatusRequest) (*wire.StatusResponse, error) {
	return statusToWire(q.local.Status()), nil
}

func (q *FleetQuerier) serveDump(_ context.Context, _ peer.Sender, req *wire.DumpRequest) (*wire.DumpResponse, error) {
	var buf bytes.Buffer
	compressor := gzip.NewWriter(&buf)
	if err := json.NewEncoder(compressor).Encode(q.sections.Dump(req.Section)); err != nil {
		return nil, fmt.Errorf("dump: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("dump: %w", err)
	}
	return &wire.DumpResponse{GzipJson: buf.Bytes()}, nil
}

// hostOfRequestID returns the host name that precedes the last dot of a request
// ID, or "" if there is none.
func hostOfRequestID(requestID string) string {
	i := strings.LastIndexByte(requestID, '.')
	return requestID[:max(i, 0)]
}

// Explain returns the decisions about a request, from the local records or from
// the host that the request ID names. If the ID names no known host, all other
// hosts are queried. The error wraps ErrUnknownRequest or is that of the call.
func (q *FleetQuerier) Explain(ctx context.Context, requestID string) (Explanation, error) {
	self := q.local.Host()
	if entries, ok := q.records.Get(requestID); ok {
		return Explanation{RequestID: requestID, Host: self, Entries: entries}, nil
	}
	host := hostOfRequestID(requestID)
	switch {
	case host == self:
		return Explanation{}, fmt.Errorf("%w: %s is of this host, which has forgotten it or never had it", ErrUnknownRequest, requestID)
	case slices.Contains(q.local.Hosts(), host):
		return q.queryExplain(ctx, host, requestID)
	default:
		return q.queryExplainAnyHost(ctx, requestID)
	}
}

func (q *FleetQuerier) queryExplain(ctx context.Context, host, requestID string) (Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, hostQueryTimeout)
	defer cancel()
	var resp wire.ExplainResponse
	if err := q.peers.Call(ctx, host, methodExplain, &wire.ExplainRequest{RequestId: requestID}, &resp); err != nil {
		return Explanation{}, err
	}
	if !resp.Found {
		return Explanation{}, fmt.Errorf("%w: %s at %s", ErrUnknownRequest, requestID, host)
	}
	return Explanation{RequestID: requestID, Host: host, Entries: entriesFromWire(resp.Entries)}, nil
}

// queryExplainAnyHost queries all other hosts and returns the first explanation
// that it receives.
func (q *FleetQuerier) queryExplainAnyHost(ctx context.Context, requestID string) (Explanation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var found *Explanation
	queried, failed := 0, 0
	q.forEachOtherHost(func(host string) {
		e, err := q.queryExplain(ctx, host, requestID)
		mu.Lock()
		defer mu.Unlock()
		queried++
		switch {
		case err == nil && found == nil:
			found = &e
			cancel()
		case err != nil && found == nil && !isUnknownRequest(err):
			failed++
		}
	})
	if found == nil {
		return Explanation{}, fmt.Errorf("%w: %s at any of %d other hosts (%d did not answer)", ErrUnknownRequest, requestID, queried, failed)
	}
	return *found, nil
}

// Statuses returns the status of every host, sorted by host name. For a host
// that does not respond, only Host and Error are set.
func (q *FleetQuerier) Statuses(ctx context.Context) []Status {
	var mu sync.Mutex
	statuses := []Status{q.local.Status()}
	q.forEachOtherHost(func(host string) {
		s := q.queryStatus(ctx, host)
		mu.Lock()
		defer mu.Unlock()
		statuses = append(statuses, s)
	})
	slices.SortFunc(statuses, func(a, b Status) int { return strings.Compare(a.Host, b.Host) })
	return statuses
}

func (q *FleetQuerier) queryStatus(ctx context.Context, host string) Status {
	ctx, cancel := context.WithTimeout(ctx, hostQueryTimeout)
	defer cancel()
	var resp wire.StatusResponse
	if err := q.peers.Call(ctx, host, methodStatus, &wire.StatusRequest{}, &resp); err != nil {
		return Status{Host: host, Error: err.Error()}
	}
	return statusFromWire(host, &resp)
}

// Dump returns the state dump of a host as JSON. An empty host means this host
// and an empty section means all sections. The error wraps ErrUnknownHost or is
// that of the call.
func (q *FleetQuerier) Dump(ctx context.Context, host, section string) (json.RawMessage, error) {
	if host == "" || host == q.local.Host() {
		return json.Marshal(q.sections.Dump(section))
	}
	if !slices.Contains(q.local.Hosts(), host) {
		return nil, fmt.Errorf("%w: %q", ErrUnknownHost, host)
	}
	ctx, cancel := context.WithTimeout(ctx, hostQueryTimeout)
	defer cancel()
	var resp wire.DumpResponse
	if err := q.peers.Call(ctx, host, methodDump, &wire.DumpRequest{Section: section}, &resp); err != nil {
		return nil, err
	}
	decompressor, err := gzip.NewReader(bytes.NewReader(resp.GzipJson))
	if err != nil {
		return nil, fmt.Errorf("dump of %s: %w", host, err)
	}
	raw, err := io.ReadAll(io.LimitReader(decompressor, maxDumpBytes))
	if err != nil {
		return nil, fmt.Errorf("dump of %s: %w", host, err)
	}
	return raw, nil
}

// forEachOtherHost runs query for every other host, for at most
// maxConcurrentQueries hosts at a time.
func (q *FleetQuerier) forEachOtherHost(query func(host string)) {
	self := q.local.Host()
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for _, host := range q.local.Hosts() {
		if host != self {
			group.Go(func() error { query(host); return nil })
		}
	}
	_ = group.Wait() // always nil, since the functions return no errors
}
