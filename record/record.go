// Package record keeps, for each request, every decision taken about it and the
// inputs that decided it, so that the decision can be explained afterwards.
package record

import "time"

// Step names a decision step, such as "admit", "route.filter" or "retry".
type Step string

// Field is one named input of a decision, kept in the order it was added.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Candidate is one upstream that was weighed by a routing decision.
type Candidate struct {
	Upstream string  `json:"upstream"`
	Score    float64 `json:"score"`
	// Refused says which filter refused the candidate and why; else empty.
	RefusalReason string `json:"refused,omitempty"`
}

// Entry is one decision.
type Entry struct {
	At         time.Time   `json:"at"`
	Step       Step        `json:"step"`
	Stage      string      `json:"stage,omitempty"`
	Attempt    int         `json:"attempt,omitempty"`
	Outcome    string      `json:"outcome"`
	Fields     []Field     `json:"fields,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Recorder takes the entries of one request. Implementations belong to one
// request and are called by one goroutine at a time.
type Recorder interface {
	Add(Entry)
}
