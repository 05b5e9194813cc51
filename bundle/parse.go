package bundle

import (
	"fmt"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

// MaxSize bounds a signed bundle, in bytes: the configuration service holds
// values of up to a megabyte.
const MaxSize = 1 << 20

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

var structChecks = validator.New(validator.WithRequiredStructEnabled())

// Parse reads one YAML document, signed or not, and applies the defaults. It
// does not look at the signature; Open does. Any goroutine may call it.
func Parse(raw []byte) (*Bundle, error) {
	if len(raw) > MaxSize {
		return nil, fmt.Errorf("bundle: %d bytes, at most %d are allowed", len(raw), MaxSize)
	}
	file, err := parser.ParseBytes(raw, 0)
	if err != nil {
		return nil, fmt.Errorf("bundle: %w", err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, fmt.Errorf("bundle: want one YAML document, got %d", len(file.Docs))
	}
	b := withDefaults()
	if err := yaml.NodeToValue(file.Docs[0].Body, b, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("bundle: %w", err)
	}
	b.applyListDefaults()
	if err := structChecks.Struct(b); err != nil {
		return nil, fmt.Errorf("bundle: %w", err)
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
