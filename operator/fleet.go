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

// The peer methods that daemons ask each other on behalf of operators.
const (
	methodExplain = "operator.explain"
	methodStatus  = "operator.status"
	methodDump    = "operator.dump"
)

// The bounds of asking the whole fleet.
const (
	fleetParallel = 16
	hostTimeout   = time.Second
	// maxDump bounds a dump from another host after decompression, in bytes.
	maxDump = 64 << 20
)

// Fleet answers operators' questions about any host. Its methods are safe for
// concurrent use.
type FleetQuerier struct {
	local    LocalDaemon
	records  *record.Store
	sections *Sections
	peers    peer.Caller
}

// NewFleet returns a Fleet for the daemon local and registers its peer methods.
func NewFleetQuerier(local LocalDaemon, records *record.Store, sections *Sections, peers peer.Caller, mux *peer.Mux) *FleetQuerier {
	f := &FleetQuerier{local: local, records: records, sections: sections, peers: peers}
	peer.Handle(mux, methodExplain, f.serveExplain)
	peer.Handle(mux, methodStatus, f.serveStatus)
	peer.Handle(mux, methodDump, f.serveDump)
	return f
}

func (f *FleetQuerier) serveExplain(_ context.Context, _ peer.Sender, req *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	entries, ok := f.records.Get(req.RequestId)
	return &wire.ExplainResponse{Found: ok, Entries: entriesToWire(entries)}, nil
}

func (f *FleetQuerier) serveStatus(context.Context, peer.Sender, *wire.StatusRequest) (*wire.StatusResponse, error) {
	return statusToWire(f.local.Status()), nil
}

func (f *FleetQuerier) serveDump(_ context.Context, _ peer.Sender, req *wire.DumpRequest) (*wire.DumpResponse, error) {
	var buf bytes.Buffer
	zipped := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zipped).Encode(f.sections.Dump(req.Section)); err != nil {
		return nil, fmt.Errorf("dump: %w", err)
	}
	if err := zipped.Close(); err != nil {
		return nil, fmt.Errorf("dump: %w", err)
	}
	return &wire.DumpResponse{GzipJson: buf.Bytes()}, nil
}

// HostOf returns the host that a request id names before its last dot, or ""
// if it names none.
func HostOf(requestID string) string {
	i := strings.LastIndexByte(requestID, '.')
	return requestID[:max(i, 0)]
}

// Explain returns the decisions about a request, from here or from the host
// that its id names; an id without a known host is asked for at all hosts. The
// error is ErrUnknownRequest, or that of the call.
func (f *FleetQuerier) Explain(ctx context.Context, requestID string) (Explanation, error) {
	self := f.local.Host()
	if entries, ok := f.records.Get(requestID); ok {
		return Explanation{RequestID: requestID, Host: self, Entries: entries}, nil
	}
	host := HostOf(requestID)
	switch {
	case host == self:
		return Explanation{}, fmt.Errorf("%w: %s is of this host, which has forgotten it or never had it", ErrUnknownRequest, requestID)
	case slices.Contains(f.local.Hosts(), host):
		return f.explainAt(ctx, host, requestID)
	default:
		return f.explainAnywhere(ctx, requestID)
	}
}

func (f *FleetQuerier) explainAt(ctx context.Context, host, requestID string) (Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var resp wire.ExplainResponse
	if err := f.peers.Call(ctx, host, methodExplain, &wire.ExplainRequest{RequestId: requestID}, &resp); err != nil {
		return Explanation{}, err
	}
	if !resp.Found {
		return Explanation{}, fmt.Errorf("%w: %s at %s", ErrUnknownRequest, requestID, host)
	}
	return Explanation{RequestID: requestID, Host: host, Entries: entriesFromWire(resp.Entries)}, nil
}

// explainAnywhere asks all hosts and takes the first that knows the request.
func (f *FleetQuerier) explainAnywhere(ctx context.Context, requestID string) (Explanation, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var found *Explanation
	asked, failed := 0, 0
	f.eachOther(func(host string) {
		e, err := f.explainAt(ctx, host, requestID)
		mu.Lock()
		defer mu.Unlock()
		asked++
		switch {
		case err == nil && found == nil:
			found = &e
			cancel()
		case err != nil && found == nil && !isUnknown(err):
			failed++
		}
	})
	if found == nil {
		return Explanation{}, fmt.Errorf("%w: %s at any of %d other hosts (%d did not answer)", ErrUnknownRequest, requestID, asked, failed)
	}
	return *found, nil
}

// Statuses returns the status of every host, sorted by name. A host that does
// not answer has its Error set.
func (f *FleetQuerier) Statuses(ctx context.Context) []Status {
	var mu sync.Mutex
	all := []Status{f.local.Status()}
	f.eachOther(func(host string) {
		s := f.statusAt(ctx, host)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, s)
	})
	slices.SortFunc(all, func(a, b Status) int { return strings.Compare(a.Host, b.Host) })
	return all
}

func (f *FleetQuerier) statusAt(ctx context.Context, host string) Status {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var resp wire.StatusResponse
	if err := f.peers.Call(ctx, host, methodStatus, &wire.StatusRequest{}, &resp); err != nil {
		return Status{Host: host, Error: err.Error()}
	}
	return statusFromWire(host, &resp)
}

// Dump returns the state dump of a host as JSON; section "" means all. The
// error is ErrUnknownHost or that of the call.
func (f *FleetQuerier) Dump(ctx context.Context, host, section string) (json.RawMessage, error) {
	if host == "" || host == f.local.Host() {
		return json.Marshal(f.sections.Dump(section))
	}
	if !slices.Contains(f.local.Hosts(), host) {
		return nil, fmt.Errorf("%w: %q", ErrUnknownHost, host)
	}
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var resp wire.DumpResponse
	if err := f.peers.Call(ctx, host, methodDump, &wire.DumpRequest{Section: section}, &resp); err != nil {
		return nil, err
	}
	unzipped, err := gzip.NewReader(bytes.NewReader(resp.GzipJson))
	if err != nil {
		return nil, fmt.Errorf("dump of %s: %w", host, err)
	}
	raw, err := io.ReadAll(io.LimitReader(unzipped, maxDump))
	if err != nil {
		return nil, fmt.Errorf("dump of %s: %w", host, err)
	}
	return raw, nil
}

// eachOther runs ask for every other host, a bounded number at a time.
func (f *FleetQuerier) eachOther(ask func(host string)) {
	self := f.local.Host()
	var group errgroup.Group
	group.SetLimit(fleetParallel)
	for _, host := range f.local.Hosts() {
		if host != self {
			group.Go(func() error { ask(host); return nil })
		}
	}
	_ = group.Wait() // the functions return no errors
}
