package discovery

import (
	"fmt"
)

// StepRoundTrip returns the size of the step between two configurations, and an
// error unless it leads from one to the other and from nothing else.
func StepRoundTrip(from, to string) (int, error) {
	s, err := newStep(1, []byte(from), 2, []byte(to))
	if err != nil {
		return 0, err
	}
	raw, err := s.apply([]byte(from))
	if err != nil {
		return 0, err
	}
	if string(raw) != to {
		return 0, fmt.Errorf("the step leads elsewhere")
	}
	if other, err := s.apply([]byte("another base")); err == nil && string(other) == to && len(from) > len(to) {
		return 0, fmt.Errorf("the step leads there from another base")
	}
	s.data = append([]byte(nil), s.data...)
	s.data[len(s.data)/2] ^= 1
	if _, err := s.apply([]byte(from)); err == nil {
		return 0, fmt.Errorf("a damaged step was applied")
	}
	return len(s.data), nil
}
