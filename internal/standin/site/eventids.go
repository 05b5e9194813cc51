package site

import (
	"strconv"
	"strings"
)

// EventFault is a fault in the order or the IDs of the events of an engine's runs.
type EventFault uint8

// The faults.
const (
	// NoEventFault means that the events are in order.
	NoEventFault EventFault = iota
	// EventSkipped: the third event of a stream is missing.
	EventSkipped
	// EventsRepeated: after the third event of a stream, the run goes on with the second one again.
	EventsRepeated
	// ResumedLate: a run that goes on after an event omits the next one.
	ResumedLate
	// ResumedFromStart: a run that goes on after an event begins with the first one.
	ResumedFromStart
	// ResumedWithoutIDs: a run that goes on after an event sends no IDs.
	ResumedWithoutIDs
)

// faultyEvent is the number of the event at which EventSkipped and EventsRepeated show.
const faultyEvent = 3

// eventNumbers returns the numbers of the events that a run sends, of a stream of total events that
// goes on after the given one; 0 for a new stream.
func eventNumbers(last, total int, f EventFault) (numbers []int) {
	first := last + 1
	switch {
	case f == ResumedLate && last > 0:
		first++
	case f == ResumedFromStart:
		first = 1
	}
	for n := first; n <= total; n++ {
		if f == EventSkipped && n == faultyEvent {
			continue
		}
		numbers = append(numbers, n)
		if f == EventsRepeated && n == faultyEvent {
			numbers = append(numbers, n-1, n)
		}
	}
	return numbers
}

// EventIDs is how an engine identifies the events of its streams.
type EventIDs uint8

// The kinds of IDs.
const (
	// NumberedByOne counts the events.
	NumberedByOne EventIDs = iota
	// NumberedBySix counts six for each event.
	NumberedBySix
	// NumberedUnevenly counts a different number for each event.
	NumberedUnevenly
	// WithoutIDs sends no IDs.
	WithoutIDs
)

// id returns the ID of event n.
func (i EventIDs) id(n int) int {
	switch i {
	case NumberedBySix:
		return 6 * n
	case NumberedUnevenly:
		return n * (n + 1) / 2
	}
	return n
}

// number returns the number of the event with the given ID; 0 if there is none.
func (i EventIDs) number(id string) int {
	want, err := strconv.Atoi(id)
	switch {
	case err != nil:
		return 0
	case i == NumberedBySix:
		return want / i.id(1)
	case i != NumberedUnevenly:
		return want
	}
	n := 0
	for i.id(n) < want {
		n++
	}
	return n
}

// withEventID replaces the ID in the text of event n.
func withEventID(text string, n int, i EventIDs) string {
	_, rest, _ := strings.Cut(text, "\n")
	if i == WithoutIDs {
		return rest
	}
	return "id: " + strconv.Itoa(i.id(n)) + "\n" + rest
}

// WithEventIDs returns a body of EventText with the events' IDs replaced.
func WithEventIDs(body string, i EventIDs) string {
	var b strings.Builder
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		if event == "" {
			continue
		}
		id, _, _ := strings.Cut(strings.TrimPrefix(event, "id: "), "\n")
		n, _ := strconv.Atoi(id) // EventText always has one
		b.WriteString(withEventID(event, n, i))
	}
	return b.String()
}
