package bundle

import (
	"fmt"
	"time"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// MaxSize bounds a signed bundle, in bytes: the configuration service holds
// values of up to a megabyte.
const MaxSize = 1_000_000

// The defaults of values that a bundle leaves out.
const (
	DefaultGroupSize        = 3
	DefaultRetention        = 2 * time.Minute
	DefaultMaxClockSkew     = 250 * time.Millisecond
	DefaultMaxKeyAhead      = time.Second
	DefaultRetryBudgetRatio = 0.1
	DefaultMaxAttempts      = 3
	DefaultHedgeBudgetRatio = 0.05
	DefaultHedgeQuantile    = 0.95
	DefaultMaxConnections   = 64
	DefaultRole             = "mixed"
)

// Parse reads one YAML document, signed or not, applies the defaults and
// checks it. Its error is a *CheckError with every fault that was found. It
// does not look at the signature; Open does. Any goroutine may call it.
func Parse(raw []byte) (*Bundle, error) {
	if len(raw) > MaxSize {
		r := &strictyaml.Report{}
		r.AddProblem("", "%d bytes, at most %d are allowed", len(raw), MaxSize)
		return nil, checkError(r)
	}
	b := withDefaults()
	r := strictyaml.Decode(raw, b)
	b.applyListDefaults()
	if !r.Unreadable() {
		checkFields(b, r)
		checkMeaning(b, r)
	}
	if err := checkError(r); err != nil {
		return nil, err
	}
	return b, nil
}

// withDefaults returns a bundle that holds the defaults of the top-level
// sections; decoding overwrites what the document states, zeros included.
func withDefaults() *Bundle {
	return &Bundle{
		Policy: PolicyAdaptive,
		Claims: ClaimPolicy{
			GroupSize:    DefaultGroupSize,
			Retention:    DefaultRetention,
			MaxClockSkew: DefaultMaxClockSkew,
			MaxKeyAhead:  DefaultMaxKeyAhead,
		},
		Retry: RetryPolicy{BudgetRatio: DefaultRetryBudgetRatio, MaxAttempts: DefaultMaxAttempts},
		Hedge: HedgePolicy{BudgetRatio: DefaultHedgeBudgetRatio, Quantile: DefaultHedgeQuantile},
	}
}

// applyListDefaults fills the values that pools leave out.
func (b *Bundle) applyListDefaults() {
	for i := range b.Pools {
		p := &b.Pools[i]
		if p.MaxConnections == 0 {
			p.MaxConnections = DefaultMaxConnections
		}
		if p.Kind == PoolEngine && p.Role == "" {
			p.Role = DefaultRole
		}
	}
}

// indexed returns "list[i]".
func indexed(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }
