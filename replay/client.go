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

// maxAnswerBytes limits the bytes that are read of one response.
const maxAnswerBytes = 8 << 20

// maxIdleConnsPerHost limits the idle connections to one host.
const maxIdleConnsPerHost = 1024

// Media types of responses of the callers' API.
const (
	mediaTypeProblem     = "application/problem+json"
	mediaTypeEventStream = "text/event-stream"
)

// Event types of a streamed answer.
const (
	eventToken = "token"
	// eventReset discards all earlier tokens, because another attempt begins.
	eventReset = "reset"
	eventDone  = "done"
	eventError = "error"
)

// NewClient returns an HTTP client for open-loop load: it reuses connections and does
// not limit the number of open ones, so that no request waits for a connection.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,
	}}
}

type requestInput struct {
	Text string `json:"text"`
}

// requestBody is the body of a request to the callers' API.
type requestBody struct {
	Input      requestInput `json:"input"`
	DeadlineMS int64        `json:"deadline_ms"`
	Stream     bool         `json:"stream,omitempty"`
	Prefix     string       `json:"prefix,omitempty"`
}

// performCall sends c and records its outcome. due is the wall-clock time of the
// request's offset.
func performCall(ctx context.Context, client *http.Client, apiKey string, body requestBody, due time.Time, c *Call) {
	err := sendRequest(ctx, client, apiKey, body, due, c)
	c.EndedAt = time.Now()
	c.Latency = c.EndedAt.Sub(due)
	if err != nil {
		c.Outcome = Unanswered
		c.Problem = err.Error()
	}
}

func sendRequest(ctx context.Context, client *http.Client, apiKey string, body requestBody, due time.Time, c *Call) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	requestURL := "http://" + c.Host + "/v1/pipelines/" + url.PathEscape(c.Request.Pipeline)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, requestURL, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	req.GetBody = nil // prevents net/http from retrying the request
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
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	limited := io.LimitReader(resp.Body, maxAnswerBytes)
	switch {
	case mediaType == mediaTypeProblem:
		return c.decodeRefusal(json.NewDecoder(limited).Decode)
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("status %d without a problem document", resp.StatusCode)
	case mediaType == mediaTypeEventStream:
		return c.readStream(limited, due)
	default:
		return c.decodeAnswer(json.NewDecoder(limited).Decode)
	}
}

func (c *Call) decodeAnswer(decode func(any) error) error {
	if err := decode(&c.Answer); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	if c.Answer.RequestID == "" {
		return errors.New("malformed answer: no request_id")
	}
	c.Outcome = Answered
	return nil
}

func (c *Call) decodeRefusal(decode func(any) error) error {
	if err := decode(&c.Refusal); err != nil {
		return fmt.Errorf("malformed problem document: %w", err)
	}
	if c.Refusal.Kind == "" || c.Refusal.Execution == "" {
		return errors.New("malformed problem document: no kind or execution")
	}
	c.Outcome = Refused
	return nil
}

// readStream reads server-sent events until a final one, which is either the answer
// or a refusal.
func (c *Call) readStream(r io.Reader, due time.Time) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxAnswerBytes)
	var event string
	var data strings.Builder
	stream := streamState{due: due}
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "event:"):
			event = strings.TrimSpace(strings.TrimPrefix(line, "event:"))
		case strings.HasPrefix(line, "data:"):
			data.WriteString(strings.TrimPrefix(line, "data:"))
		case line == "" && event != "":
			end, err := c.handleEvent(event, data.String(), &stream)
			if end || err != nil {
				return err
			}
			event = ""
			data.Reset()
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("truncated stream: %w", err)
	}
	return errors.New("truncated stream: no final event")
}

// streamState accumulates the tokens of a stream.
type streamState struct {
	due       time.Time
	lastToken time.Time
	text      strings.Builder
}

// handleEvent processes one event and reports whether it is the final one.
func (c *Call) handleEvent(event, data string, t *streamState) (bool, error) {
	decode := func(into any) error { return json.Unmarshal([]byte(data), into) }
	switch event {
	case eventToken:
		return false, c.handleToken(decode, t)
	case eventReset:
		c.FirstToken, t.lastToken = 0, time.Time{}
		t.text.Reset()
		return false, nil
	case eventDone:
		if err := c.decodeAnswer(decode); err != nil {
			return true, err
		}
		c.StreamedTextDiffers = streamedTextDiffers(t.text.String(), c.Answer.Result)
		return true, nil
	case eventError:
		return true, c.decodeRefusal(decode)
	default:
		return false, nil
	}
}

func (c *Call) handleToken(decode func(any) error, t *streamState) error {
	var token struct {
		Text string `json:"text"`
	}
	if err := decode(&token); err != nil {
		return fmt.Errorf("malformed token: %w", err)
	}
	now := time.Now()
	if t.lastToken.IsZero() {
		c.FirstToken = now.Sub(t.due)
	} else {
		c.InterTokenGaps = append(c.InterTokenGaps, now.Sub(t.lastToken))
	}
	t.lastToken = now
	t.text.WriteString(token.Text)
	return nil
}

// streamedTextDiffers reports whether the streamed text differs from the text of the
// result. It returns false if no text was streamed or the result has none to compare.
func streamedTextDiffers(streamedText string, result json.RawMessage) bool {
	var decoded struct {
		Text *string `json:"text"`
	}
	if json.Unmarshal(result, &decoded) != nil || decoded.Text == nil {
		return false
	}
	return streamedText != "" && streamedText != *decoded.Text
}
