package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/wheatseam/wheatseam/core/orders"
	"github.com/wheatseam/wheatseam/internal/httpbody"
)

// maxStateBytes bounds what an engine says of itself.
const maxStateBytes = 1 << 20

// ErrStaleFence is an engine's refusal of an order with an old fencing number.
var ErrStaleFence = errors.New("the fencing number is stale")

// State asks the engine at address what it serves and which orders it took.
func (c *Client) State(ctx context.Context, address string) (orders.State, error) {
	return c.exchangeState(ctx, http.MethodGet, "http://"+address+"/v1/state", nil)
}

// Order gives an order to the engine at address and returns its state. An
// engine that has taken the order before does nothing.
func (c *Client) Order(ctx context.Context, address string, o orders.Order) (orders.State, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return orders.State{}, fmt.Errorf("encode order: %w", err)
	}
	return c.exchangeState(ctx, http.MethodPost, "http://"+address+"/v1/orders", bytes.NewReader(body))
}

func (c *Client) exchangeState(ctx context.Context, method, target string, body io.Reader) (orders.State, error) {
	var s orders.State
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return s, fmt.Errorf("build %s: %w", target, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return s, fmt.Errorf("%s: %w", target, err)
	}
	defer resp.Body.Close()
	raw, err := httpbody.Read(resp.Body, maxStateBytes)
	if err != nil {
		return s, err
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return s, fmt.Errorf("%s: %w", target, ErrStaleFence)
	default:
		return s, fmt.Errorf("%s answered %d", target, resp.StatusCode)
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, fmt.Errorf("decode state of %s: %w", target, err)
	}
	return s, nil
}
