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

// Outcome is the result of a request as its caller sees it.
type Outcome struct {
	// Err is set if there was no answer, or none that could be read and decoded.
	Err           error
	Status        int
	RequestID     string            `json:"request_id"`
	Result        json.RawMessage   `json:"result"`
	Kind          problem.Kind      `json:"kind"`
	Execution     problem.Execution `json:"execution"`
	Detail        string            `json:"detail"`
	BundleVersion uint64            `json:"bundle_version"`
	// RetryAfter is the value of the Retry-After header.
	RetryAfter string
	Took       time.Duration
	// Heard is the time at which the answer was complete or the request failed.
	Heard time.Time
}

// Answered reports whether the caller received a complete answer with status 200.
func (o Outcome) Answered() bool { return o.Err == nil && o.Status == http.StatusOK }

// NewKey returns a fresh idempotency key.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// callTimeout is how long a caller waits for an answer.
const callTimeout = 10 * time.Second

// Call sends one request to host i and waits for its outcome. An empty key sends no
// idempotency key.
func (f *Fleet) Call(i int, pipeline, key, text string) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return f.CallContext(ctx, i, pipeline, key, text)
}

// CallContext is Call for a caller that abandons the request when ctx ends.
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
	target := "http://" + f.CallerAddress(i) + "/v1/pipelines/" + pipeline
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return Outcome{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+APIKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	// Without GetBody the HTTP client cannot resend the request on its own.
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

// callOperatorAPI sends a request to the operators' listener of daemon i.
func (f *Fleet) callOperatorAPI(i int, method, path string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.OperatorAddress(i)+path, nil)
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

const operatorTimeout = time.Second

// CallOperatorAPI calls the operators' listener of daemon i and decodes the JSON
// answer into into, if that is not nil. Any status but 200 is an error.
func (f *Fleet) CallOperatorAPI(i int, method, path string, into any) error {
	resp, err := f.callOperatorAPI(i, method, path)
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

// Metrics returns the metrics of daemon i in the Prometheus text format.
func (f *Fleet) Metrics(i int) (string, error) {
	resp, err := f.callOperatorAPI(i, http.MethodGet, "/metrics")
	if err != nil {
		return "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

// Executions returns the executions that have started under an idempotency key.
func (f *Fleet) Executions(key string) []ledger.Entry {
	var found []ledger.Entry
	for _, e := range f.Upstream.Ledger().Entries() {
		if e.Key == key {
			found = append(found, e)
		}
	}
	return found
}

// StartedCount returns the number of executions that have started.
func (f *Fleet) StartedCount() int { return len(f.Upstream.Ledger().Entries()) }

// RunningCount returns the number of executions that have started and not ended.
func (f *Fleet) RunningCount() int {
	n := 0
	for _, e := range f.Upstream.Ledger().Entries() {
		if e.State == ledger.Running {
			n++
		}
	}
	return n
}
