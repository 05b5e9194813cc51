package proctest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/wheatseam/wheatseam/bundle"
)

// Names in the fleet's bundle.
const (
	// APIKey is the key of the only customer.
	APIKey   = "proctest-key"
	Customer = "firma"
	// PipelineSeal has a single stage, which may not be repeated.
	PipelineSeal = "seal"
	// PipelineSummary has an encode stage and then a generate stage.
	PipelineSummary = "summary"
	// PipelineQuotation has a generate stage, an encode stage and then a call
	// stage that may not be repeated.
	PipelineQuotation = "quotation"
)

// peerIP returns the loopback IP from which host i connects to its peers. Each
// host has its own, by which the relays distinguish the callers.
func peerIP(i int) string { return fmt.Sprintf("127.0.0.%d", 10+i) }

func newBundle(peers []string, listen func(string) (string, error)) (*bundle.Bundle, error) {
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
	for i := range peers {
		domain := fmt.Sprintf("domain-%d", i+1)
		b.FailureDomains = append(b.FailureDomains, bundle.FailureDomain{Name: domain, Region: "r"})
		b.Hosts = append(b.Hosts, bundle.Host{Name: hostName(i), FailureDomain: domain, PeerAddress: peers[i]})
	}
	return b, addPools(b, listen)
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
		{Name: PipelineQuotation, Deadline: 5 * time.Second, Stages: []bundle.Stage{generate, encode, seal}},
	}
}

// replicasPerPool is the number of upstreams in each pool.
const replicasPerPool = 3

// addPools adds the pools with their upstreams; listen opens the listener of an
// upstream and returns its ip:port.
func addPools(b *bundle.Bundle, listen func(name string) (string, error)) error {
	b.Pools = []bundle.Pool{
		{Name: "encoders", Kind: bundle.PoolService, Concurrency: 32, Supports: bundle.UpstreamFeatures{Cancellation: true}},
		{Name: "lm", Kind: bundle.PoolEngine, Model: "lm", Concurrency: 16, Supports: bundle.UpstreamFeatures{Cancellation: true}},
		{Name: "signing", Kind: bundle.PoolService, Concurrency: 32},
	}
	for i := range b.Pools {
		for r := range replicasPerPool {
			name := fmt.Sprintf("%s-%d", b.Pools[i].Name, r+1)
			address, err := listen(name)
			if err != nil {
				return err
			}
			b.Pools[i].Upstreams = append(b.Pools[i].Upstreams, bundle.Upstream{
				Name: name, FailureDomain: b.FailureDomains[r%len(b.FailureDomains)].Name, Address: address,
			})
		}
	}
	return nil
}
