// Package upstreamload polls upstreams, both engines and plain services, for their
// load with GET /v1/load. Package core/load decides when to poll which upstream.
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
	// loadPath is the URL path at which upstreams report their load.
	loadPath = "/v1/load"
	// maxBodyBytes limits the size of a load report.
	maxBodyBytes = 4 << 10
	// maxConnsPerUpstream limits the connections of a Client to one upstream.
	maxConnsPerUpstream = 1
)

// loadResponse is the load report of an upstream. Unknown fields are ignored.
type loadResponse struct {
	AsOfUnixMS int64 `json:"as_of_unix_ms"`
	Running    int   `json:"running"`
	Queued     int   `json:"queued"`
	Leaving    bool  `json:"leaving"`
}

// Client reads the load of upstreams. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a Client with its own connections, so that polls do not queue
// behind calls. It does not follow redirects.
func NewClient() *Client {
	return &Client{http: &http.Client{
		Transport: httpbody.NewTransport(maxConnsPerUpstream),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Get reads the load of the named upstream at address (ip:port). It returns an
// error if the response is not a valid report.
func (c *Client) Get(ctx context.Context, name, address string) (load.Report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+loadPath, nil)
	if err != nil {
		return load.Report{}, fmt.Errorf("load of %s: %w", name, err)
	}
	req.Header.Set("User-Agent", "") // suppresses the header
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
	var response loadResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return load.Report{}, fmt.Errorf("load of %s: %w", name, err)
	}
	if response.AsOfUnixMS <= 0 || response.Running < 0 || response.Queued < 0 {
		return load.Report{}, fmt.Errorf("load of %s: negative count or missing time", name)
	}
	return load.Report{
		Upstream: name, AsOf: time.UnixMilli(response.AsOfUnixMS),
		Running: response.Running, Queued: response.Queued, Leaving: response.Leaving,
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
