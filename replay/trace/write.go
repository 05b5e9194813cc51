package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
)

// The lines of a trace file.
type (
	headerLine struct {
		Type lineType `json:"type"`
		Header
	}
	prefixLine struct {
		Type lineType `json:"type"`
		Prefix
	}
	requestLine struct {
		Type lineType `json:"type"`
		Request
	}
	faultLine struct {
		Type lineType `json:"type"`
		Fault
	}
)

// Write writes t in the format that Parse reads: the header, the prefixes, then
// requests and faults by offset. Members that a retry inherits are omitted.
func Write(w io.Writer, t *Trace) error {
	buffered := bufio.NewWriter(w)
	enc := json.NewEncoder(buffered)
	enc.SetEscapeHTML(false)
	for _, line := range traceLines(t) {
		if err := enc.Encode(line); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

func traceLines(t *Trace) []any {
	out := []any{headerLine{typeTrace, t.Header}}
	for _, p := range t.Prefixes {
		out = append(out, prefixLine{typePrefix, p})
	}
	type timedLine struct {
		at   int64
		line any
	}
	events := make([]timedLine, 0, len(t.Requests)+len(t.Faults))
	for _, r := range t.Requests {
		events = append(events, timedLine{r.AtMS, requestLine{typeRequest, r.withoutDefaults()}})
	}
	for _, f := range t.Faults {
		events = append(events, timedLine{f.AtMS, faultLine{typeFault, f}})
	}
	slices.SortStableFunc(events, func(a, b timedLine) int { return cmp.Compare(a.at, b.at) })
	for _, e := range events {
		out = append(out, e.line)
	}
	return out
}

// withoutDefaults returns r without the members that Parse fills in.
func (r Request) withoutDefaults() Request {
	if r.RetryOf != "" {
		r = Request{ID: r.ID, AtMS: r.AtMS, RetryOf: r.RetryOf, When: r.When}
		if r.When == RetryUnlessAnswered {
			r.When = ""
		}
		return r
	}
	if r.Expect == ExpectAny {
		r.Expect = ""
	}
	return r
}
