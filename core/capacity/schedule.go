package capacity

import (
	"cmp"
	"slices"
	"time"
)

// maxSteps bounds the steps of the grid, and with it the size of the linear program.
const maxSteps = 240

// stepLengths are the possible lengths of a step. They divide a second.
var stepLengths = []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second}

// grid divides the period into steps.
type grid struct {
	step  time.Duration
	steps int
}

func newGrid(period time.Duration) grid {
	for _, step := range stepLengths {
		if n := int(period / step); n <= maxSteps {
			return grid{step, n}
		}
	}
	step := stepLengths[len(stepLengths)-1]
	return grid{step, int(period / step)}
}

// window returns the first step in which the demand of a request that arrives during step i
// can be provided, and the one after the last.
func (g grid) window(i int, d demand) (first, end int) {
	return i + int(d.release/g.step), i + 1 + int((d.due+g.step-1)/g.step)
}

// load is the work that the requests of one column bring for one resource, in seconds of
// its whole capacity.
type load struct {
	column     int
	first, end int
	work       float64
}

// interval is a span of steps in which the work of a resource is bounded by its capacity.
type interval struct {
	resource   int
	first, end int
}

// column is the requests of one variant that arrive during one step.
type column struct {
	kind, step int
	// offered is their number, and requests how many of them could be served if all other
	// requests were refused. This keeps the coefficients of the program below about 1.
	offered, requests float64
}

// schedule is the linear program that selects which requests to serve.
type schedule struct {
	grid    grid
	columns []column
	// loads are those of each resource, ordered by their first step, latest first.
	loads     [][]load
	intervals []interval
	program   *program
	served    []float64
	prices    []float64
	bound     float64
	// exact says that served is the best schedule. Otherwise the search was ended, bound is
	// still an upper bound, and served may ask for more than the capacity.
	exact bool
}

// maxRounds bounds the rounds in which violated intervals are added.
const maxRounds = 400

// violationTolerance is the part of an interval by which its work may exceed the capacity.
const violationTolerance = 1e-6

// newSchedule finds the best schedule of the kinds with a worth above 0. worths and arrivals
// are by kind, arrivals also by step.
func newSchedule(m *model, g grid, worths []float64, arrivals [][]float64) *schedule {
	s := &schedule{grid: g, loads: make([][]load, len(m.resources))}
	var cost []float64
	for _, v := range m.variants {
		if worths[v.kind] == 0 || !v.inTime {
			continue
		}
		for i, n := range arrivals[v.kind] {
			offered := n * v.share
			requests := s.addLoads(m, v, i, offered)
			s.columns = append(s.columns, column{v.kind, i, offered, requests})
			cost = append(cost, worths[v.kind]*requests)
		}
	}
	for _, loads := range s.loads {
		slices.SortStableFunc(loads, func(a, b load) int { return b.first - a.first })
	}
	s.program = newProgram(cost)
	s.solve()
	return s
}

// addLoads adds the loads of the next column and returns how many of the offered requests
// could be served without all others.
func (s *schedule) addLoads(m *model, v variant, step int, offered float64) float64 {
	requests := offered
	for _, d := range v.demands {
		first, end := s.grid.window(step, d)
		seconds := float64(end-first) * s.grid.step.Seconds()
		requests = min(requests, seconds*m.resources[d.resource].capacity/d.amount)
	}
	for _, d := range v.demands {
		first, end := s.grid.window(step, d)
		work := requests * d.amount / m.resources[d.resource].capacity
		s.loads[d.resource] = append(s.loads[d.resource], load{len(s.columns), first, end, work})
	}
	return requests
}

// solve adds violated intervals until there are none.
func (s *schedule) solve() {
	for range maxRounds {
		solved := s.program.solve()
		s.served = s.program.solution()
		violated := s.violated()
		s.exact = solved && len(violated) == 0
		if !solved || s.exact {
			break
		}
		for _, v := range violated {
			s.addInterval(v)
		}
	}
	s.prices = s.program.prices()
	s.bound = s.program.upperBound(s.prices)
}

// addInterval adds the constraint of an interval. Its row is divided by the interval's length.
func (s *schedule) addInterval(v interval) {
	length := float64(v.end-v.first) * s.grid.step.Seconds()
	row := make([]float64, len(s.columns))
	for _, l := range s.loads[v.resource] {
		if l.first >= v.first && l.end <= v.end {
			row[l.column] += l.work / length
		}
	}
	s.intervals = append(s.intervals, v)
	s.program.add(row, 1)
}

// violated returns, for each resource, intervals whose work exceeds the capacity. They do
// not overlap, and those with the largest excess are preferred.
func (s *schedule) violated() []interval {
	var out []interval
	for r := range s.loads {
		type candidate struct {
			interval
			excess float64
		}
		var candidates []candidate
		s.eachStart(r, s.served, func(first int, byEnd []float64) {
			best := candidate{excess: violationTolerance}
			var work float64
			for end := first + 1; end < len(byEnd); end++ {
				work += byEnd[end]
				length := float64(end-first) * s.grid.step.Seconds()
				if excess := work - length; excess > best.excess*max(1, length) {
					best = candidate{interval{r, first, end}, excess / max(1, length)}
				}
			}
			if best.end > 0 {
				candidates = append(candidates, best)
			}
		})
		slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.excess, a.excess) })
		var chosen []interval
		for _, c := range candidates {
			if !slices.ContainsFunc(chosen, func(o interval) bool { return c.first < o.end && o.first < c.end }) {
				chosen = append(chosen, c.interval)
			}
		}
		out = append(out, chosen...)
	}
	return out
}

// eachStart calls f for each step in which windows of the resource's loads begin, latest
// first, with the work that begins then or later, by the end of its window. served is the
// served part of each column.
func (s *schedule) eachStart(resource int, served []float64, f func(first int, byEnd []float64)) {
	loads := s.loads[resource]
	last := 0
	for _, l := range loads {
		last = max(last, l.end)
	}
	byEnd := make([]float64, last+1)
	for i, l := range loads {
		byEnd[l.end] += served[l.column] * l.work
		if i+1 == len(loads) || loads[i+1].first != l.first {
			f(l.first, byEnd)
		}
	}
}

// densest returns the interval in which a resource has the most work in proportion to its
// capacity if all requests are served, and that proportion. It is 0 if there is no work.
func (s *schedule) densest(resource int) (interval, float64) {
	all := make([]float64, len(s.columns))
	for j, col := range s.columns {
		all[j] = col.offered / col.requests
	}
	var densest interval
	var most float64
	s.eachStart(resource, all, func(first int, byEnd []float64) {
		var work float64
		for end := first + 1; end < len(byEnd); end++ {
			work += byEnd[end]
			if share := work / (float64(end-first) * s.grid.step.Seconds()); share > most {
				densest, most = interval{resource, first, end}, share
			}
		}
	})
	return densest, most
}
