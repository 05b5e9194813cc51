// Package upstreamload polls upstreams, engines and plain services alike, for
// their load: GET /v1/load. Which upstream is polled when is decided by
// core/load.
package upstreamload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/wheatseam/wheatseam/core/load"
	"github.com/wheatseam/wheatseam/internal/httpbody"
)

const (
	// path is where upstreams report their load.
	path = "/v1/load"
	// maxBodyBytes bounds a load report.
	maxBodyBytes = 4 << 10
	// connsPerUpstream bounds the connections of a Client to one upstream.
	connsPerUpstream = 1
)

// answer is what an upstream reports; further fields are ignored.
type answer struct {
	AsOfUnixMS int64 `json:"as_of_unix_ms"`
	Running    int   `json:"running"`
	Queued     int   `json:"queued"`
	Leaving    bool  `json:"leaving"`
}

// Client reads the load of upstreams. It may be used concurrently.
type Client struct{ http *http.Client }

// NewClient returns a Client with connections of its own, so that polls do not
// wait behind calls.
func NewClient() *Client {
	return &Client{http: &http.Client{
		Transport: httpbody.NewTransport(connsPerUpstream),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Get reads the load of the upstream called name at address (ip:port).
func (c *Client) Get(ctx context.Context, name, address string) (load.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return load.Report{}, fmt.Errorf("load of %s: %w", name, err)
	}
	req.Header.Set("User-Agent", "") // sends none
	resp, err := c.http.Do(req)
	if err != nil {
		return load.Report{}, fmt.Errorf("load of %s: %w", name, err)
	}
	defer resp.Body.Close()
	body, err := httpbody.Read(resp.Body, maxBodyBytes)
	if err != nil {
		return load.Report{}, fmt.Errorf("load of %s: %w", name, err)
	}
	if resp.StatusCode != http.StatusOK {
		return load.Report{}, fmt.Errorf("load of %s: status %d", name, resp.StatusCode)
	}
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return load.Report{}, fmt.Errorf("load of %s: %w", name, err)
	}
	if a.AsOfUnixMS <= 0 || a.Running < 0 || a.Queued < 0 {
		return load.Report{}, fmt.Errorf("load of %s: figures out of range", name)
	}
	return load.Report{
		Upstream: name, AsOf: time.UnixMilli(a.AsOfUnixMS),
		Running: a.Running, Queued: a.Queued, Leaving: a.Leaving,
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
