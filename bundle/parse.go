package bundle

import (
	"fmt"
	"time"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// MaxSignedBytes is the maximum size of a signed bundle: the configuration
// service stores values of up to one megabyte.
const MaxSignedBytes = 1_000_000

// The defaults of values that a bundle omits.
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

// Parse decodes one YAML document, signed or not, applies the defaults and
// validates it. Its error is a *CheckError with every problem found. Parse does
// not verify the signature; VerifyAndParse does. It is safe for concurrent use.
func Parse(raw []byte) (*Bundle, error) {
	if len(raw) > MaxSignedBytes {
		r := &strictyaml.Report{}
		r.AddProblem("", "%d bytes; at most %d are allowed", len(raw), MaxSignedBytes)
		return nil, checkError(r)
	}
	b := newBundleWithDefaults()
	r := strictyaml.Decode(raw, b)
	b.applyPoolDefaults()
	if !r.Unreadable() {
		checkFields(b, r)
		checkSemantics(b, r)
	}
	if err := checkError(r); err != nil {
		return nil, err
	}
	return b, nil
}

// newBundleWithDefaults returns a bundle with the defaults of the top-level
// sections. Decoding overwrites every value that the document states, including
// zeros.
func newBundleWithDefaults() *Bundle {
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

// applyPoolDefaults sets the values that pools omit.
func (b *Bundle) applyPoolDefaults() {
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

// indexedPath returns "list[i]".
func indexedPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }
