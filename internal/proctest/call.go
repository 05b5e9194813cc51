package proctest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/wheatseam/wheatseam/internal/standin/ledger"
	"github.com/wheatseam/wheatseam/problem"
)

// Outcome is what a caller heard.
type Outcome struct {
	// Err is set when there was no answer at all.
	Err       error
	Status    int
	RequestID string            `json:"request_id"`
	Result    json.RawMessage   `json:"result"`
	Kind      problem.Kind      `json:"kind"`
	Execution problem.Execution `json:"execution"`
	Detail    string            `json:"detail"`
	Bundle    uint64            `json:"bundle_version"`
	// RetryAfter is the header's value.
	RetryAfter string
	Took       time.Duration
	// Heard is when the caller had its answer.
	Heard time.Time
}

// Answered reports whether the caller has its whole answer.
func (o Outcome) Answered() bool { return o.Err == nil && o.Status == http.StatusOK }

// NewKey returns a fresh idempotency key.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// callTimeout is how long a caller waits for its answer.
const callTimeout = 10 * time.Second

// Call sends one request through host i and waits for what it hears.
func (f *Fleet) Call(i int, pipeline, key, text string) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return f.CallContext(ctx, i, pipeline, key, text)
}

// CallContext is Call for a caller that goes away when ctx ends.
func (f *Fleet) CallContext(ctx context.Context, i int, pipeline, key, text string) Outcome {
	began := time.Now()
	o := f.call(ctx, i, pipeline, key, text)
	o.Heard = time.Now()
	o.Took = o.Heard.Sub(began)
	return o
}

func (f *Fleet) call(ctx context.Context, i int, pipeline, key, text string) Outcome {
	body, err := json.Marshal(map[string]any{"input": map[string]string{"text": text}})
	if err != nil {
		return Outcome{Err: err}
	}
	target := "http://" + f.callerAddress(i) + "/v1/pipelines/" + pipeline
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return Outcome{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+APIKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	// The client must not send a request again by itself.
	req.GetBody = nil
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Outcome{Err: err}
	}
	defer resp.Body.Close()
	o := Outcome{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After")}
	raw, err := io.ReadAll(resp.Body)
	if err == nil {
		err = json.Unmarshal(raw, &o)
	}
	o.Err = err
	return o
}

// operate calls the operators' listener of daemon i.
func (f *Fleet) operate(i int, method, path string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.operatorAddress(i)+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	resp.Body = io.NopCloser(bytes.NewReader(raw))
	return resp, err
}

const operateTimeout = time.Second

// Operate calls the operators' listener of daemon i and decodes its answer.
func (f *Fleet) CallOperatorAPI(i int, method, path string, into any) error {
	resp, err := f.operate(i, method, path)
	if err != nil {
		return err
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %d: %s", method, path, resp.StatusCode, raw)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(raw, into)
}

// Metrics returns the metrics of daemon i in Prometheus form.
func (f *Fleet) Metrics(i int) (string, error) {
	resp, err := f.operate(i, http.MethodGet, "/metrics")
	if err != nil {
		return "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

// Executions returns the executions begun at a stage under an idempotency key.
func (f *Fleet) Executions(key string) []ledger.Entry {
	var found []ledger.Entry
	for _, e := range f.Upstream.Ledger().Entries() {
		if e.Key == key {
			found = append(found, e)
		}
	}
	return found
}

// Begun counts all executions that have begun.
func (f *Fleet) Begun() int { return len(f.Upstream.Ledger().Entries()) }

// Running counts the executions that have begun and not ended.
func (f *Fleet) Running() int {
	n := 0
	for _, e := range f.Upstream.Ledger().Entries() {
		if e.State == ledger.Running {
			n++
		}
	}
	return n
}
