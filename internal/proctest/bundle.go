package proctest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
)

// The names used by the fleet's bundle.
const (
	// APIKey is the key of the one customer.
	APIKey   = "proctest-key"
	Customer = "firma"
	// PipelineSeal has one stage that may not be repeated.
	PipelineSeal = "seal"
	// PipelineSummary encodes, then generates.
	PipelineSummary = "summary"
	// PipelineQuotation generates, then calls a stage that may not be
	// repeated.
	PipelineQuotation = "quotation"
)

// reserve returns n addresses that were free a moment ago. A kernel-picked
// port must be known before its daemon starts, since the bundle names it.
func reserve(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("reserve a port: %w", err)
		}
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

func newBundle(hosts int, peers []string) (*bundle.Bundle, error) {
	sum := sha256.Sum256([]byte(APIKey))
	b := &bundle.Bundle{
		Version: 1, Deployment: "proctest", Policy: bundle.PolicyAdaptive,
		Objective: bundle.Objective{Attainment: 1},
		Claims: bundle.ClaimPolicy{
			GroupSize: 3, Retention: time.Minute,
			MaxClockSkew: 100 * time.Millisecond, MaxKeyAhead: 100 * time.Millisecond,
		},
		Retry: bundle.RetryPolicy{BudgetRatio: 0.2, MaxAttempts: 3},
		Hedge: bundle.HedgePolicy{BudgetRatio: 0.05, Quantile: 0.95},
		Customers: []bundle.Customer{{
			Name: Customer, KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1,
			Pipelines: []string{PipelineSeal, PipelineSummary, PipelineQuotation},
		}},
		Pipelines: pipelines(),
	}
	for i := range hosts {
		domain := fmt.Sprintf("domain-%d", i+1)
		b.FailureDomains = append(b.FailureDomains, bundle.FailureDomain{Name: domain, Region: "r"})
		b.Hosts = append(b.Hosts, bundle.Host{Name: hostName(i), FailureDomain: domain, PeerAddress: peers[i]})
	}
	return b, addPools(b)
}

func hostName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func pipelines() []bundle.Pipeline {
	encode := bundle.Stage{Name: "encode", Kind: bundle.StageEncode, Pool: "encoders", Expected: 5 * time.Millisecond}
	generate := bundle.Stage{
		Name: "generate", Kind: bundle.StageGenerate, Pool: "lm",
		Expected: 100 * time.Millisecond, MaxTokens: 16, KeepResult: true,
	}
	seal := bundle.Stage{
		Name: "seal", Kind: bundle.StageCall, Pool: "signing", Path: "/v1/seal",
		NonRepeatable: true, Expected: 20 * time.Millisecond,
	}
	return []bundle.Pipeline{
		{Name: PipelineSeal, Deadline: 5 * time.Second, Stages: []bundle.Stage{seal}},
		{Name: PipelineSummary, Deadline: 5 * time.Second, Stages: []bundle.Stage{encode, generate}},
		{Name: PipelineQuotation, Deadline: 5 * time.Second, Stages: []bundle.Stage{generate, seal}},
	}
}

// replicasPerPool is the number of upstreams in each pool.
const replicasPerPool = 3

func addPools(b *bundle.Bundle) error {
	b.Pools = []bundle.Pool{
		{Name: "encoders", Kind: bundle.PoolService, Concurrency: 32, Supports: bundle.Supports{Cancellation: true}},
		{Name: "lm", Kind: bundle.PoolEngine, Model: "lm", Concurrency: 16, Supports: bundle.Supports{Cancellation: true}},
		{Name: "signing", Kind: bundle.PoolService, Concurrency: 32},
	}
	addresses, err := reserve(replicasPerPool * len(b.Pools))
	if err != nil {
		return err
	}
	for i := range b.Pools {
		for r := range replicasPerPool {
			b.Pools[i].Upstreams = append(b.Pools[i].Upstreams, bundle.Upstream{
				Name:          fmt.Sprintf("%s-%d", b.Pools[i].Name, r+1),
				FailureDomain: b.FailureDomains[r%len(b.FailureDomains)].Name,
				Address:       addresses[i*replicasPerPool+r],
			})
		}
	}
	return nil
}
