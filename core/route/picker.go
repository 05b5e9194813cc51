package route

import "math/rand/v2"

// maxDrawn limits the candidates that one pick scores.
const maxDrawn = 16

// smallPoolSize is the number of candidates up to which all are scored. With so few,
// the cheapest one cannot get many times its even share of the calls, whereas sampling
// two of three would miss the emptiest one in every third pick.
const smallPoolSize = 4

// scoredCandidate is a sampled candidate and its cost.
type scoredCandidate struct {
	index int
	cost  float64
}

// Picker chooses one of the eligible candidates, of which there is at least one. It
// appends the candidates that it considered to drawn, with the chosen one first.
type Picker interface {
	Name() string
	Pick(v *View, eligible []int, rng *rand.Rand, drawn []scoredCandidate) []scoredCandidate
}

// randomChoices samples one candidate at random from the daemon's own failure domain
// and fills up to choices candidates from all domains, adds the home of the prefix, and
// chooses the cheapest. Sampling few candidates keeps daemons that have the same view
// from all choosing the same upstream: of the calls of n daemons, the cheapest upstream
// gets at most about choices times its even share. If there are at most smallPoolSize
// candidates, all are sampled.
type randomChoices struct {
	choices int
	scorers []Scorer
	// packing is set if generations are packed onto few upstreams. Then as many
	// candidates as permitted are sampled, since the fullest one with free capacity
	// must be among them.
	packing bool
	// local and general are scratch buffers.
	local, general []int
}

func (*randomChoices) Name() string { return "random_choices" }

func (p *randomChoices) Pick(v *View, eligible []int, rng *rand.Rand, drawn []scoredCandidate) []scoredCandidate {
	p.local, p.general = p.local[:0], p.general[:0]
	for _, i := range eligible {
		if v.Candidates[i].Domain == v.Domain {
			p.local = append(p.local, i)
		}
		if v.isUniform(i) {
			p.general = append(p.general, i)
		}
	}
	if len(p.general) == 0 {
		p.general = append(p.general, eligible...)
	}
	choices := p.choices
	if len(eligible) <= smallPoolSize || p.packing && canPack(v) {
		choices = maxDrawn
	}
	drawn = p.draw(v, p.local, 1, rng, drawn)
	drawn = p.draw(v, p.general, choices, rng, drawn)
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

// draw adds random elements of from until want candidates are sampled.
func (p *randomChoices) draw(v *View, from []int, want int, rng *rand.Rand, drawn []scoredCandidate) []scoredCandidate {
	for k := 0; len(drawn) < want && k < len(from); k++ {
		j := k + rng.IntN(len(from)-k)
		from[k], from[j] = from[j], from[k]
		drawn = p.addCandidate(v, from[k], drawn)
	}
	return drawn
}

// addCandidate scores and adds candidate i unless it was added already.
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

// roundRobin chooses the eligible candidates in turn.
type roundRobin struct{ next int }

func (*roundRobin) Name() string { return "round_robin" }

func (p *roundRobin) Pick(_ *View, eligible []int, _ *rand.Rand, drawn []scoredCandidate) []scoredCandidate {
	i := eligible[p.next%len(eligible)]
	p.next++
	return append(drawn, scoredCandidate{index: i})
}

// leastRequests chooses the candidate with the fewest calls of this daemon in flight,
// and a random one of these if several are equal.
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
