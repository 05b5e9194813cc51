// Package record keeps the decisions about each request together with their inputs,
// so that operators can find out afterwards why a decision was made.
package record

import "time"

// Step names a decision step, such as "admit", "route.filter" or "retry".
type Step string

// Field is one named input of a decision. The fields of an Entry keep the order in
// which they were added.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Candidate is one upstream that a routing decision considered.
type Candidate struct {
	Upstream string  `json:"upstream"`
	Score    float64 `json:"score"`
	// RefusalReason names the filter that excluded the candidate and says why. It is
	// empty if no filter did.
	RefusalReason string `json:"refused,omitempty"`
}

// Entry is one decision about a request. Candidates are the upstreams that a routing
// decision considered.
type Entry struct {
	At         time.Time   `json:"at"`
	Step       Step        `json:"step"`
	Stage      string      `json:"stage,omitempty"`
	Attempt    int         `json:"attempt,omitempty"`
	Outcome    string      `json:"outcome"`
	Fields     []Field     `json:"fields,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Recorder receives the decisions about one request. Its callers must not call it
// concurrently.
type Recorder interface {
	Add(Entry)
}
