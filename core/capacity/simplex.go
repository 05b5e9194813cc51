package capacity

import "math"

// Tolerances of the linear program, whose variables and rows are scaled to about 1, and the
// bound on pivots in one call of solve.
const (
	feasibilityTolerance = 1e-9
	pivotTolerance       = 1e-9
	maxPivots            = 20_000
)

// program is a linear program: maximize the sum of cost times x, subject to rows of the form
// sum of coefficient times x <= bound, with 0 <= x <= 1. Costs are not negative. Rows are
// added one by one, and solve continues from the previous solution by the dual simplex
// method. Without rows the solution is x = 1.
//
// Variables are numbered: those of x first, then the slack of each row. The tableau
// expresses each basic variable as its constant minus the sum of entry times nonbasic
// variable.
type program struct {
	cost []float64
	rows []programRow

	// columns are the nonbasic variables, with their reduced costs; atUpper says that a
	// variable is 1 and not 0.
	columns []int
	reduced []float64
	atUpper []bool
	// basic is the basic variable of each row of the tableau.
	basic    []int
	tableau  [][]float64
	constant []float64
}

type programRow struct {
	coefficients []float64
	bound        float64
}

func newProgram(cost []float64) *program {
	p := &program{cost: cost, reduced: make([]float64, len(cost))}
	for j, c := range cost {
		p.columns = append(p.columns, j)
		p.atUpper = append(p.atUpper, true)
		// The cost of variables that are equally good differs slightly, so that the ratio test
		// has few ties, and so that the served parts of equal variables are spread evenly.
		_, fraction := math.Modf(float64(j) * math.Phi)
		p.reduced[j] = c * (1 + 1e-6*fraction)
	}
	return p
}

// add adds a row. The bound must not be negative.
func (p *program) add(coefficients []float64, bound float64) {
	row := make([]float64, len(p.columns))
	for j, id := range p.columns {
		if id < len(p.cost) {
			row[j] = coefficients[id]
		}
	}
	constant := bound
	for i, id := range p.basic {
		if id >= len(p.cost) || coefficients[id] == 0 {
			continue
		}
		constant -= coefficients[id] * p.constant[i]
		for j, entry := range p.tableau[i] {
			row[j] -= coefficients[id] * entry
		}
	}
	p.basic = append(p.basic, len(p.cost)+len(p.rows))
	p.tableau = append(p.tableau, row)
	p.constant = append(p.constant, constant)
	p.rows = append(p.rows, programRow{coefficients, bound})
}

// solve reports whether an optimal solution was found within maxPivots.
func (p *program) solve() bool {
	for range maxPivots {
		row, below := p.leaving()
		if row < 0 {
			return true
		}
		column := p.entering(row, below)
		if column < 0 {
			// Only rounding errors lead here, as x = 0 is feasible.
			return false
		}
		p.pivot(row, column, below)
	}
	return false
}

// leaving returns the row whose basic variable is outside of its bounds by most, and whether
// it is below them; -1 if there is none.
func (p *program) leaving() (row int, below bool) {
	row, most := -1, feasibilityTolerance
	for i := range p.basic {
		v := p.value(i)
		if -v > most {
			row, below, most = i, true, -v
		}
		if p.basic[i] < len(p.cost) && v-1 > most {
			row, below, most = i, false, v-1
		}
	}
	return row, below
}

// value returns the basic variable of row i.
func (p *program) value(i int) float64 {
	v := p.constant[i]
	for j, entry := range p.tableau[i] {
		if p.atUpper[j] {
			v -= entry
		}
	}
	return v
}

// entering returns the column whose change costs least for each unit by which it moves the
// basic variable of the row towards its bounds; -1 if none moves it.
func (p *program) entering(row int, below bool) int {
	best, bestRatio, bestEntry := -1, math.Inf(1), 0.0
	for j, entry := range p.tableau[row] {
		if math.Abs(entry) < pivotTolerance || (entry > 0) != (p.atUpper[j] == below) {
			continue
		}
		ratio := math.Abs(p.reduced[j] / entry)
		if ratio < bestRatio || ratio == bestRatio && math.Abs(entry) > bestEntry {
			best, bestRatio, bestEntry = j, ratio, math.Abs(entry)
		}
	}
	return best
}

// pivot exchanges the basic variable of a row for the variable of a column. The former is
// then at its lower bound if it was below its bounds, else at its upper bound.
func (p *program) pivot(row, column int, below bool) {
	pivotRow := p.tableau[row]
	scale := 1 / pivotRow[column]
	for j := range pivotRow {
		pivotRow[j] *= scale
	}
	pivotRow[column] = scale
	p.constant[row] *= scale
	eliminate := func(target []float64, factor float64) {
		for j, entry := range pivotRow {
			target[j] -= factor * entry
		}
		target[column] = -factor * scale
	}
	for i, target := range p.tableau {
		if factor := target[column]; i != row && factor != 0 {
			eliminate(target, factor)
			p.constant[i] -= factor * p.constant[row]
		}
	}
	eliminate(p.reduced, p.reduced[column])
	p.columns[column], p.basic[row] = p.basic[row], p.columns[column]
	p.atUpper[column] = !below
}

// solution returns x.
func (p *program) solution() []float64 {
	x := make([]float64, len(p.cost))
	for j, id := range p.columns {
		if id < len(x) && p.atUpper[j] {
			x[id] = 1
		}
	}
	for i, id := range p.basic {
		if id < len(x) {
			x[id] = min(max(p.value(i), 0), 1)
		}
	}
	return x
}

// prices returns the dual value of each row: by how much the optimum grows with its bound.
func (p *program) prices() []float64 {
	prices := make([]float64, len(p.rows))
	for j, id := range p.columns {
		if id >= len(p.cost) {
			prices[id-len(p.cost)] = max(-p.reduced[j], 0)
		}
	}
	return prices
}

// upperBound returns an upper bound on the optimum, which holds for any prices that are not
// negative and is the optimum for those of an optimal solution.
func (p *program) upperBound(prices []float64) float64 {
	left := append([]float64(nil), p.cost...)
	var bound float64
	for i, price := range prices {
		if price == 0 {
			continue
		}
		bound += price * p.rows[i].bound
		for j, c := range p.rows[i].coefficients {
			left[j] -= price * c
		}
	}
	for _, c := range left {
		bound += max(c, 0)
	}
	return bound
}
