// Package ledger reads the execution ledgers of the stand-ins, which simulate the
// upstreams, from GET /control/ledger.
package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// requestTimeout limits one request to a stand-in. idlePollInterval is the delay
// between two reads while executions are still running.
const (
	requestTimeout   = 15 * time.Second
	idlePollInterval = 100 * time.Millisecond
)

// State is the state of an execution.
type State string

// States of an execution. A failed execution may have had its side effect.
const (
	Running   State = "running"
	Done      State = "done"
	Cancelled State = "cancelled"
	Failed    State = "failed"
)

// Entry is the ledger entry of one execution of a stage.
type Entry struct {
	Key            string  `json:"key"`
	RequestID      string  `json:"request_id"`
	Attempt        int     `json:"attempt"`
	Stage          string  `json:"stage"`
	Customer       string  `json:"customer"`
	Upstream       string  `json:"upstream"`
	StartedUnixMS  int64   `json:"started_unix_ms"`
	FinishedUnixMS int64   `json:"finished_unix_ms"`
	State          State   `json:"state"`
	EngineMS       float64 `json:"engine_ms"`
	Tokens         int     `json:"tokens"`
}

// Upstream is a stand-in whose ledger is read.
type Upstream struct {
	Name    string
	Address string
}

// Reader reads the ledgers of a set of stand-ins.
type Reader struct {
	Client    *http.Client
	Upstreams []Upstream
}

// Clear deletes all entries of every ledger.
func (r *Reader) Clear(ctx context.Context) error {
	return r.forEachUpstream(ctx, func(ctx context.Context, _ int, u Upstream) error {
		return r.call(ctx, http.MethodDelete, u, "", nil)
	})
}

// WaitUntilIdle reads all ledgers repeatedly until no execution is running or maxWait has
// passed, and returns the entries of the last read. After maxWait they may include
// running executions.
func (r *Reader) WaitUntilIdle(ctx context.Context, maxWait time.Duration) ([]Entry, error) {
	deadline := time.Now().Add(maxWait)
	for {
		entries, err := r.Read(ctx)
		if err != nil || !anyRunning(entries) || time.Now().After(deadline) {
			return entries, err
		}
		select {
		case <-ctx.Done():
			return entries, ctx.Err()
		case <-time.After(idlePollInterval):
		}
	}
}

func anyRunning(entries []Entry) bool {
	for _, e := range entries {
		if e.State == Running {
			return true
		}
	}
	return false
}

// Read reads all ledgers once. It fails if a ledger has overwritten entries because of
// its size limit, since an incomplete ledger cannot be audited.
func (r *Reader) Read(ctx context.Context) ([]Entry, error) {
	lists := make([][]Entry, len(r.Upstreams))
	err := r.forEachUpstream(ctx, func(ctx context.Context, i int, u Upstream) error {
		var summary struct {
			Overwritten int `json:"overwritten"`
		}
		if err := r.call(ctx, http.MethodGet, u, "?summary=1", &summary); err != nil {
			return err
		}
		if summary.Overwritten > 0 {
			return fmt.Errorf("the ledger of %s has lost %d entries", u.Name, summary.Overwritten)
		}
		var list struct {
			Entries []Entry `json:"entries"`
		}
		if err := r.call(ctx, http.MethodGet, u, "", &list); err != nil {
			return err
		}
		lists[i] = ownEntries(list.Entries, u)
		return nil
	})
	var out []Entry
	for _, l := range lists {
		out = append(out, l...)
	}
	return out, err
}

// ownEntries returns the entries of u. Stand-ins in one process may share a ledger, so
// that it also has entries of other upstreams.
func ownEntries(entries []Entry, u Upstream) []Entry {
	var out []Entry
	for _, e := range entries {
		if u.Name == "" || e.Upstream == "" || e.Upstream == u.Name {
			out = append(out, e)
		}
	}
	return out
}

// forEachUpstream calls f concurrently for every stand-in and joins the errors.
func (r *Reader) forEachUpstream(ctx context.Context, f func(context.Context, int, Upstream) error) error {
	errs := make([]error, len(r.Upstreams))
	var g errgroup.Group
	for i, u := range r.Upstreams {
		g.Go(func() error {
			errs[i] = f(ctx, i, u)
			return nil
		})
	}
	_ = g.Wait()
	return errors.Join(errs...)
}

func (r *Reader) call(ctx context.Context, method string, u Upstream, query string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+u.Address+"/control/ledger"+query, nil)
	if err != nil {
		return err
	}
	resp, err := r.Client.Do(req)
	if err != nil {
		return fmt.Errorf("ledger of %s: %w", u.Name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("ledger of %s: status %d", u.Name, resp.StatusCode)
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("ledger of %s: %w", u.Name, err)
	}
	return nil
}
