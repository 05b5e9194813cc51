package operator

import (
	"encoding/json"
	"fmt"
	"sync"
)

// Sections are the parts of a daemon's state dump. Any number of goroutines
// may use one.
type Sections struct {
	mu       sync.Mutex
	sections map[string]func() any
}

// NewSections returns a dump without sections.
func NewSections() *Sections { return &Sections{sections: make(map[string]func() any)} }

// Register adds a section: state returns a value that encoding/json can write
// and that nobody changes afterwards. It is called for each dump, from any
// goroutine, and must not block. A section of the same name is replaced.
func (s *Sections) Register(name string, state func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sections[name] = state
}

// Dump returns the named section, or all if name is empty; an unknown name
// gives an empty dump.
func (s *Sections) Dump(name string) map[string]json.RawMessage {
	s.mu.Lock()
	wanted := make(map[string]func() any)
	for n, state := range s.sections {
		if name == "" || n == name {
			wanted[n] = state
		}
	}
	s.mu.Unlock()
	dump := make(map[string]json.RawMessage, len(wanted))
	for n, state := range wanted {
		dump[n] = callSection(state)
	}
	return dump
}

// failedSection stands for a section that can't be written.
type failedSection struct {
	Error string `json:"error"`
}

// callSection keeps a fault in one section from costing the others.
func callSection(state func() any) (raw json.RawMessage) {
	defer func() {
		if r := recover(); r != nil {
			raw = failed(fmt.Sprint(r))
		}
	}()
	raw, err := json.Marshal(state())
	if err != nil {
		return failed(err.Error())
	}
	return raw
}

func failed(reason string) json.RawMessage {
	raw, _ := json.Marshal(failedSection{Error: reason}) // a string always marshals
	return raw
}
