package stage

import (
	"fmt"
	"strings"
)

// total sums the counts of a kind's requests that arrived between two seconds.
func (k *simKind) total(from, to int) simTally {
	var sum simTally
	for sec := from; sec < to; sec++ {
		if t := k.buckets[sec]; t != nil {
			sum.add(*t)
		}
	}
	return sum
}

// attainedValue returns the attained share of the attainable value, between two seconds.
func (s *loadSim) attainedValue(from, to int) float64 {
	var attained, attainable float64
	for _, k := range s.kinds {
		t := k.total(from, to)
		attained += k.onTimeValue*float64(t.onTime) + k.lateValue*float64(t.late)
		attainable += k.onTimeValue * float64(t.arrived)
	}
	return attained / attainable
}

// attainedValue returns the attained share of a kind's value.
func (k *simKind) attainedValue(from, to int) float64 {
	t := k.total(from, to)
	return (k.onTimeValue*float64(t.onTime) + k.lateValue*float64(t.late)) / (k.onTimeValue * float64(t.arrived))
}

// answeredShare returns the share of a kind's requests that were answered, on time or late.
func (k *simKind) answeredShare(from, to int) float64 {
	t := k.total(from, to)
	return float64(t.onTime+t.late) / float64(t.arrived)
}

// table formats the outcomes of the requests by kind and second.
func (s *loadSim) table(end int) string {
	var b strings.Builder
	for sec := range end {
		fmt.Fprintf(&b, "%3d value %.2f", sec, s.attainedValue(sec, sec+1))
		for _, k := range s.kinds {
			t := k.total(sec, sec+1)
			fmt.Fprintf(&b, " | %s %4d: %4d on time %4d late %4d refused", k.name, t.arrived, t.onTime, t.late, t.refused)
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(&b, "total value %.3f, out of memory %d, missing inputs %d", s.attainedValue(0, end), s.outOfMemory, s.missingInputs)
	for _, k := range s.kinds {
		fmt.Fprintf(&b, " | %s %.3f", k.name, k.attainedValue(0, end))
	}
	return b.String() + "\n"
}
