package operator

import (
	"encoding/json"
	"fmt"
	"sync"
)

// Sections holds the sections of a daemon's state dump. It is safe for concurrent
// use.
type Sections struct {
	mu     sync.Mutex
	byName map[string]func() any
}

// NewSections returns an empty set of sections.
func NewSections() *Sections { return &Sections{byName: make(map[string]func() any)} }

// Register adds a section or replaces the one of the same name. state returns a
// value that encoding/json can encode and that is not modified afterwards. It is
// called for each dump, from any goroutine, and must not block.
func (s *Sections) Register(name string, state func() any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byName[name] = state
}

// Dump returns the JSON of the named section, or of all sections if name is
// empty. For an unknown name the result is empty.
func (s *Sections) Dump(name string) map[string]json.RawMessage {
	s.mu.Lock()
	selected := make(map[string]func() any)
	for n, state := range s.byName {
		if name == "" || n == name {
			selected[n] = state
		}
	}
	s.mu.Unlock()
	dump := make(map[string]json.RawMessage, len(selected))
	for n, state := range selected {
		dump[n] = encodeSection(state)
	}
	return dump
}

// sectionError replaces a section that cannot be encoded.
type sectionError struct {
	Error string `json:"error"`
}

// encodeSection encodes the state of one section. It turns a panic or an encoding
// error into a sectionError, so that the other sections are still returned.
func encodeSection(state func() any) (raw json.RawMessage) {
	defer func() {
		if r := recover(); r != nil {
			raw = encodeSectionError(fmt.Sprint(r))
		}
	}()
	raw, err := json.Marshal(state())
	if err != nil {
		return encodeSectionError(err.Error())
	}
	return raw
}

func encodeSectionError(reason string) json.RawMessage {
	raw, _ := json.Marshal(sectionError{Error: reason}) // encoding a string cannot fail
	return raw
}
