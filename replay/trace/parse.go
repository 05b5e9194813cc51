package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/google/uuid"
)

// maxLineBytes limits the length of one line.
const maxLineBytes = 1 << 20

// maxRepeat limits the repetitions of a text, maxTextBytes the length of the repeated
// text.
const (
	maxRepeat    = 10_000
	maxTextBytes = 256 << 10
)

// LineError is an error in one line of a trace.
type LineError struct {
	// Line counts from 1.
	Line int
	Err  error
}

// Error implements error.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// parser accumulates the lines of one trace and the errors in them.
type parser struct {
	trace        Trace
	lineNumber   int
	prefixNames  map[string]bool
	requestsByID map[string]Request
	errs         []error
}

// Parse reads a trace and sorts its requests and faults by offset. Its error joins
// one *LineError for each invalid line.
func Parse(r io.Reader) (*Trace, error) {
	p := &parser{prefixNames: map[string]bool{}, requestsByID: map[string]Request{}}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		p.lineNumber++
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		if err := p.parseLine(text); err != nil {
			p.errs = append(p.errs, &LineError{Line: p.lineNumber, Err: err})
		}
	}
	if err := lines.Err(); err != nil {
		p.errs = append(p.errs, &LineError{Line: p.lineNumber + 1, Err: err})
	}
	if p.trace.Header.Version == 0 && len(p.errs) == 0 {
		p.errs = append(p.errs, &LineError{Line: 1, Err: errors.New("the trace is empty")})
	}
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	slices.SortStableFunc(p.trace.Requests, func(a, b Request) int { return cmp.Compare(a.AtMS, b.AtMS) })
	slices.SortStableFunc(p.trace.Faults, func(a, b Fault) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return &p.trace, nil
}

func (p *parser) parseLine(text []byte) error {
	var line struct {
		Type lineType `json:"type"`
	}
	if err := json.Unmarshal(text, &line); err != nil {
		return fmt.Errorf("not a JSON object: %w", err)
	}
	if line.Type != typeTrace && p.trace.Header.Version == 0 {
		p.trace.Header.Version = FormatVersion // reports the missing header only once
		return fmt.Errorf("the first line must be of type %q, not %q", typeTrace, line.Type)
	}
	switch line.Type {
	case typeTrace:
		return p.parseHeader(text)
	case typePrefix:
		return p.parsePrefix(text)
	case typeRequest:
		return p.parseRequest(text)
	case typeFault:
		return p.parseFault(text)
	default:
		return fmt.Errorf("unknown type %q", line.Type)
	}
}

// decodeLine decodes one line. It rejects unknown members and trailing data.
func decodeLine(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more than one JSON object on the line")
	}
	return nil
}

func (p *parser) parseHeader(text []byte) error {
	if p.trace.Header.Version != 0 {
		return errors.New("a second header is not allowed")
	}
	p.trace.Header.Version = FormatVersion // reports an invalid header only once
	var l headerLine
	if err := decodeLine(text, &l); err != nil {
		return err
	}
	if l.Version != FormatVersion {
		return fmt.Errorf("version %d is not supported, only %d", l.Version, FormatVersion)
	}
	if l.Name == "" {
		return errors.New("name is missing")
	}
	p.trace.Header = l.Header
	return nil
}

func (p *parser) parsePrefix(text []byte) error {
	var l prefixLine
	if err := decodeLine(text, &l); err != nil {
		return err
	}
	if l.Name == "" || l.Text == "" {
		return errors.New("a prefix requires name and text")
	}
	if p.prefixNames[l.Name] {
		return fmt.Errorf("duplicate prefix %q", l.Name)
	}
	if err := validateText(l.Text, l.Repeat); err != nil {
		return err
	}
	p.prefixNames[l.Name] = true
	p.trace.Prefixes = append(p.trace.Prefixes, l.Prefix)
	return nil
}

func (p *parser) parseRequest(text []byte) error {
	var l requestLine
	if err := decodeLine(text, &l); err != nil {
		return err
	}
	r := l.Request
	if r.ID == "" {
		return errors.New("id is missing")
	}
	if _, ok := p.requestsByID[r.ID]; ok {
		return fmt.Errorf("duplicate id %q", r.ID)
	}
	if len(p.requestsByID) >= MaxRequests {
		return fmt.Errorf("more than %d requests", MaxRequests)
	}
	if err := validateOffset(r.AtMS); err != nil {
		return err
	}
	r, err := p.completeRequest(r)
	if err != nil {
		return err
	}
	p.requestsByID[r.ID] = r
	p.trace.Requests = append(p.trace.Requests, r)
	return nil
}

// completeRequest validates a request and fills in its defaults. For a retry, it also
// copies the members of the request that is repeated.
func (p *parser) completeRequest(r Request) (Request, error) {
	if r.RetryOf != "" {
		return p.completeRetry(r)
	}
	if r.When != "" {
		return r, errors.New("when is only allowed together with retry_of")
	}
	if r.Customer == "" || r.Pipeline == "" {
		return r, errors.New("a request requires customer and pipeline")
	}
	if r.DeadlineMS <= 0 {
		return r, errors.New("deadline_ms must be positive")
	}
	if r.Key != "" && r.Key != AutoKey {
		if _, err := uuid.Parse(r.Key); err != nil {
			return r, fmt.Errorf("key is neither %q nor a UUID: %w", AutoKey, err)
		}
	}
	if r.Prefix != "" && !p.prefixNames[r.Prefix] {
		return r, fmt.Errorf("prefix %q is not defined on an earlier line", r.Prefix)
	}
	if err := validateText(r.Prompt, r.PromptRepeat); err != nil {
		return r, err
	}
	return r, r.validateExpectation()
}

func (r *Request) validateExpectation() error {
	switch r.Expect {
	case "":
		r.Expect = ExpectAny
	case ExpectAny, ExpectAnswer, ExpectRefusal:
	default:
		return fmt.Errorf("unknown expectation %q", r.Expect)
	}
	return nil
}

func (p *parser) completeRetry(r Request) (Request, error) {
	first, ok := p.requestsByID[r.RetryOf]
	if !ok {
		return r, fmt.Errorf("retry_of %q is not defined on an earlier line", r.RetryOf)
	}
	if first.RetryOf != "" {
		return r, fmt.Errorf("retry_of %q is itself a retry; state the id of the first try", r.RetryOf)
	}
	if r.AtMS < first.AtMS {
		return r, errors.New("the at_ms of a retry is less than that of its first try")
	}
	if first.Key == "" {
		return r, fmt.Errorf("retry_of %q has no key", r.RetryOf)
	}
	allowed := Request{ID: r.ID, AtMS: r.AtMS, RetryOf: r.RetryOf, When: r.When}
	if r != allowed {
		return r, errors.New("a retry may only have the members id, at_ms, retry_of and when")
	}
	switch r.When {
	case "":
		r.When = RetryUnlessAnswered
	case RetryUnlessAnswered, RetryAlways:
	default:
		return r, fmt.Errorf("unknown condition %q", r.When)
	}
	retry := first
	retry.ID, retry.AtMS, retry.RetryOf, retry.When = r.ID, r.AtMS, r.RetryOf, r.When
	return retry, nil
}

func (p *parser) parseFault(text []byte) error {
	var l faultLine
	if err := decodeLine(text, &l); err != nil {
		return err
	}
	if err := validateOffset(l.AtMS); err != nil {
		return err
	}
	if l.Pool == "" {
		return errors.New("pool is missing")
	}
	if slices.ContainsFunc(l.Replicas, func(i int) bool { return i < 0 }) {
		return errors.New("replicas must not be negative")
	}
	if !strings.HasPrefix(string(l.Body), "{") {
		return errors.New("body must be a JSON object")
	}
	p.trace.Faults = append(p.trace.Faults, l.Fault)
	return nil
}

func validateOffset(ms int64) error {
	if ms < 0 || ms > MaxOffset.Milliseconds() {
		return fmt.Errorf("at_ms %d is outside the range 0 to %d", ms, MaxOffset.Milliseconds())
	}
	return nil
}

func validateText(text string, repeat int) error {
	if repeat < 0 || repeat > maxRepeat {
		return fmt.Errorf("repeat %d is outside the range 0 to %d", repeat, maxRepeat)
	}
	if n := len(text) * max(repeat, 1); n > maxTextBytes {
		return fmt.Errorf("text of %d bytes exceeds the limit of %d", n, maxTextBytes)
	}
	return nil
}
