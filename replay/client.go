package replay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// maxAnswer bounds the bytes that are read of one answer.
const maxAnswer = 8 << 20

// maxIdlePerHost bounds the idle connections kept to one host.
const maxIdlePerHost = 1024

// The media types of the callers' API.
const (
	typeProblem = "application/problem+json"
	typeStream  = "text/event-stream"
)

// The events of a streamed answer.
const (
	eventToken = "token"
	// eventReset discards the tokens so far: another attempt begins.
	eventReset = "reset"
	eventDone  = "done"
	eventError = "error"
)

// NewClient returns an HTTP client fit for open-loop load: connections are
// reused, and as many are opened as there are requests in flight.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}}
}

type input struct {
	Text string `json:"text"`
}

// body is the body of a request of the callers' API.
type body struct {
	Input      input  `json:"input"`
	DeadlineMS int64  `json:"deadline_ms"`
	Stream     bool   `json:"stream,omitempty"`
	Prefix     string `json:"prefix,omitempty"`
}

// exchange sends c and fills in what came back. started is the wall clock of
// the request's offset.
func exchange(ctx context.Context, client *http.Client, apiKey string, b body, started time.Time, c *Call) {
	err := send(ctx, client, apiKey, b, started, c)
	c.EndedAt = time.Now()
	c.Latency = c.EndedAt.Sub(started)
	if err != nil {
		c.Outcome = Unanswered
		c.Problem = err.Error()
	}
}

func send(ctx context.Context, client *http.Client, apiKey string, b body, started time.Time, c *Call) error {
	text, err := json.Marshal(b)
	if err != nil {
		return err
	}
	target := "http://" + c.Host + "/v1/pipelines/" + url.PathEscape(c.Request.Pipeline)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(text))
	if err != nil {
		return err
	}
	req.GetBody = nil // net/http must not send it again by itself
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	if c.Key != "" {
		req.Header.Set("Idempotency-Key", c.Key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	limited := io.LimitReader(resp.Body, maxAnswer)
	switch {
	case media == typeProblem:
		return c.takeRefusal(json.NewDecoder(limited).Decode)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d without a problem document", resp.StatusCode)
	case media == typeStream:
		return c.readStream(limited, started)
	default:
		return c.takeAnswer(json.NewDecoder(limited).Decode)
	}
}

func (c *Call) takeAnswer(decode func(any) error) error {
	if err := decode(&c.Answer); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	if c.Answer.RequestID == "" {
		return errors.New("malformed answer: no request_id")
	}
	c.Outcome = Answered
	return nil
}

func (c *Call) takeRefusal(decode func(any) error) error {
	if err := decode(&c.Refusal); err != nil {
		return fmt.Errorf("malformed problem document: %w", err)
	}
	if c.Refusal.Kind == "" || c.Refusal.Execution == "" {
		return errors.New("malformed problem document: no kind or execution")
	}
	c.Outcome = Refused
	return nil
}

// readStream reads server-sent events until one ends the answer.
func (c *Call) readStream(r io.Reader, started time.Time) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxAnswer)
	var event string
	var data strings.Builder
	stream := tokens{started: started}
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "event:"):
			event = strings.TrimSpace(strings.TrimPrefix(line, "event:"))
		case strings.HasPrefix(line, "data:"):
			data.WriteString(strings.TrimPrefix(line, "data:"))
		case line == "" && event != "":
			end, err := c.takeEvent(event, data.String(), &stream)
			if end || err != nil {
				return err
			}
			event = ""
			data.Reset()
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("cut stream: %w", err)
	}
	return errors.New("cut stream: it ended without a closing event")
}

// tokens is what came of a stream so far.
type tokens struct {
	started time.Time
	last    time.Time
	text    strings.Builder
}

// takeEvent handles one event and says whether it ends the answer.
func (c *Call) takeEvent(event, data string, t *tokens) (bool, error) {
	decode := func(into any) error { return json.Unmarshal([]byte(data), into) }
	switch event {
	case eventToken:
		return false, c.takeToken(decode, t)
	case eventReset:
		c.FirstToken, t.last = 0, time.Time{}
		t.text.Reset()
		return false, nil
	case eventDone:
		if err := c.takeAnswer(decode); err != nil {
			return true, err
		}
		c.TextDiffers = differs(t.text.String(), c.Answer.Result)
		return true, nil
	case eventError:
		return true, c.takeRefusal(decode)
	default:
		return false, nil
	}
}

func (c *Call) takeToken(decode func(any) error, t *tokens) error {
	var token struct {
		Text string `json:"text"`
	}
	if err := decode(&token); err != nil {
		return fmt.Errorf("malformed token: %w", err)
	}
	now := time.Now()
	if t.last.IsZero() {
		c.FirstToken = now.Sub(t.started)
	} else {
		c.Gaps = append(c.Gaps, now.Sub(t.last))
	}
	t.last = now
	t.text.WriteString(token.Text)
	return nil
}

// differs says whether the streamed text is another than that of the result.
// A result of another form cannot be compared and does not differ.
func differs(streamed string, result json.RawMessage) bool {
	var whole struct {
		Text *string `json:"text"`
	}
	if json.Unmarshal(result, &whole) != nil || whole.Text == nil {
		return false
	}
	return streamed != "" && streamed != *whole.Text
}
