package route

import "math/rand/v2"

// maxDrawn bounds the candidates that one pick scores.
const maxDrawn = 16

// smallPool is the number of candidates up to which all are drawn: the one that
// looks best cannot get many times its even share then, and leaving one out of
// three leaves the emptiest out of every third pick.
const smallPoolSize = 4

// scored is a drawn candidate and its cost.
type scoredCandidate struct {
	index int
	cost  float64
}

// Picker chooses among the eligible candidates (at least one). It appends the
// ones it weighed to drawn, the chosen one first.
type Picker interface {
	Name() string
	Pick(v *View, eligible []int, rng *rand.Rand, drawn []scoredCandidate) []scoredCandidate
}

// randomChoices draws one candidate at random from the own failure domain, the
// other choices from everywhere, adds the home of the prefix, and takes the
// cheapest. Drawing few keeps daemons that share a view from all choosing the
// same upstream: of n daemons' calls the one that looks best gets about
// choices times its even share, and no more. Of smallPool or fewer all are drawn.
type randomChoices struct {
	choices int
	scorers []Scorer
	// packed says that generations are packed: then as many candidates as may
	// be are drawn, since the fullest one with room must be among them.
	packing bool
	local   []int
}

func (*randomChoices) Name() string { return "random_choices" }

func (p *randomChoices) Pick(v *View, eligible []int, rng *rand.Rand, drawn []scoredCandidate) []scoredCandidate {
	p.local = p.local[:0]
	for _, i := range eligible {
		if v.Candidates[i].Domain == v.Domain {
			p.local = append(p.local, i)
		}
	}
	choices := p.choices
	if len(eligible) <= smallPoolSize || p.packing && canPack(v) {
		choices = maxDrawn
	}
	drawn = p.draw(v, p.local, 1, rng, drawn)
	drawn = p.draw(v, eligible, choices, rng, drawn)
	if v.PrefixHome >= 0 {
		drawn = p.addCandidate(v, v.PrefixHome, drawn)
	}
	best := 0
	for i := range drawn {
		if drawn[i].cost < drawn[best].cost {
			best = i
		}
	}
	drawn[0], drawn[best] = drawn[best], drawn[0]
	return drawn
}

// draw adds members of from until want candidates are drawn.
func (p *randomChoices) draw(v *View, from []int, want int, rng *rand.Rand, drawn []scoredCandidate) []scoredCandidate {
	for k := 0; len(drawn) < want && k < len(from); k++ {
		j := k + rng.IntN(len(from)-k)
		from[k], from[j] = from[j], from[k]
		drawn = p.addCandidate(v, from[k], drawn)
	}
	return drawn
}

// add scores candidate i unless it was drawn already.
func (p *randomChoices) addCandidate(v *View, i int, drawn []scoredCandidate) []scoredCandidate {
	for _, d := range drawn {
		if d.index == i {
			return drawn
		}
	}
	if len(drawn) == maxDrawn {
		return drawn
	}
	return append(drawn, scoredCandidate{i, totalCost(v, p.scorers, &v.Candidates[i])})
}

// roundRobin takes the eligible candidates in turn.
type roundRobin struct{ next int }

func (*roundRobin) Name() string { return "round_robin" }

func (p *roundRobin) Pick(_ *View, eligible []int, _ *rand.Rand, drawn []scoredCandidate) []scoredCandidate {
	i := eligible[p.next%len(eligible)]
	p.next++
	return append(drawn, scoredCandidate{index: i})
}

// leastRequests takes the candidate with the fewest own calls in flight, a
// random one among equals.
type leastRequests struct{}

func (leastRequests) Name() string { return "least_requests" }

func (leastRequests) Pick(v *View, eligible []int, rng *rand.Rand, drawn []scoredCandidate) []scoredCandidate {
	best, ties := eligible[0], 0
	for _, i := range eligible {
		switch own, least := v.Candidates[i].OwnCalls, v.Candidates[best].OwnCalls; {
		case own < least:
			best, ties = i, 1
		case own == least:
			if ties++; rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return append(drawn, scoredCandidate{best, float64(v.Candidates[best].OwnCalls)})
}
