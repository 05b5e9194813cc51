// Package engine is the client for model engines with the HTTP chat/completions
// API. It always requests a streamed response.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/service"
)

// Client calls the engines of one pool. It is safe for concurrent use.
type Client struct {
	http *http.Client
	now  func() time.Time
}

// NewClient returns a client with at most maxConns connections to each engine.
// now is the clock that GenerateRequest.NotAfter is checked against.
func NewClient(maxConns int, now func() time.Time) *Client {
	return &Client{http: &http.Client{Transport: httpbody.NewTransport(maxConns)}, now: now}
}

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// GenerateRequest is one attempt to run a generate stage at an engine.
type GenerateRequest struct {
	Address   string
	Model     string
	RequestID string
	Attempt   int
	Customer  string
	Messages  []Message
	MaxTokens int
	// Priority is passed to the engine. Engines that support it run higher values
	// first.
	Priority int
	// NotAfter is the time from which the call must no longer be sent. It is
	// checked right before the call is sent.
	NotAfter time.Time
}

// Output is the text that an engine generated. Tokens is its number of streamed
// parts.
type Output struct {
	Text   string
	Tokens int
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Priority  int       `json:"priority,omitempty"`
	User      string    `json:"user"`
}

// Generate sends a request and calls onToken for each part of the text as it
// arrives. The output is complete only if the error is nil. A stream that ends
// without the [DONE] marker is an error. The error is a *service.Error.
func (c *Client) Generate(ctx context.Context, g GenerateRequest, onToken func(string)) (Output, error) {
	req, err := newRequest(ctx, g)
	if err != nil {
		return Output{}, &service.Error{NotExecuted: true, Err: err}
	}
	if !c.now().Before(g.NotAfter) {
		return Output{}, &service.Error{NotExecuted: true, Err: httpbody.ErrDeadlinePassed}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Output{}, &service.Error{
			NotExecuted: httpbody.IsNotSent(err), Err: fmt.Errorf("call %s: %w", g.Address, err),
		}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Output{}, &service.Error{
			Status:      resp.StatusCode,
			NotExecuted: resp.Header.Get(httpbody.HeaderNotExecuted) == "true",
			Err:         fmt.Errorf("%s answered %d", g.Address, resp.StatusCode),
		}
	}
	out, err := readStream(resp.Body, g, onToken)
	if err != nil {
		return out, &service.Error{Status: http.StatusOK, Err: fmt.Errorf("stream of %s: %w", g.Address, err)}
	}
	return out, nil
}

func newRequest(ctx context.Context, g GenerateRequest) (*http.Request, error) {
	body, err := json.Marshal(chatRequest{
		Model: g.Model, Messages: g.Messages, Stream: true,
		MaxTokens: g.MaxTokens, Priority: g.Priority, User: g.Customer,
	})
	if err != nil {
		return nil, fmt.Errorf("encode generation: %w", err)
	}
	target := "http://" + g.Address + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build generation: %w", err)
	}
	// Without GetBody the HTTP transport cannot resend the call on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(httpbody.HeaderRequestID, g.RequestID)
	req.Header.Set(httpbody.HeaderAttempt, strconv.Itoa(g.Attempt))
	return req, nil
}
