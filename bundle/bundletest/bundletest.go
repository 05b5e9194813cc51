// Package bundletest generates bundles of given sizes for tests and benchmarks. The
// same sizes always yield the same text.
package bundletest

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/wheatseam/wheatseam/bundle"
)

// Sizes holds the numbers of elements in a bundle. Each must be 1 or more, and
// Upstreams at least Models plus 4, the number of service pools.
type Sizes struct {
	Regions   int
	Domains   int
	Hosts     int
	Models    int
	Upstreams int
	Pipelines int
	Customers int
}

// TargetSizes is the target size of a deployment.
var TargetSizes = Sizes{
	Regions: 3, Domains: 8, Hosts: 410, Models: 27, Upstreams: 610, Pipelines: 12, Customers: 410,
}

// CurrentSizes is the approximate size of a current deployment.
var CurrentSizes = Sizes{
	Regions: 1, Domains: 4, Hosts: 7, Models: 1, Upstreams: 36, Pipelines: 4, Customers: 5,
}

var servicePools = []string{"encoders", "retrievers", "rerankers", "signing"}

// engineUpstreamTenths is the fraction of upstreams that are engines, in tenths.
const engineUpstreamTenths = 6

// CustomerKey returns the API key of customer i. The bundle contains its hash.
func CustomerKey(i int) string { return fmt.Sprintf("bundletest-key-%d", i) }

// CustomerName returns the name of customer i.
func CustomerName(i int) string { return fmt.Sprintf("customer-%03d", i) }

// HostName returns the name of host i.
func HostName(i int) string { return fmt.Sprintf("entry-%03d", i) }

// YAML returns a valid, unsigned bundle of the given sizes and version.
func YAML(s Sizes, version uint64) []byte {
	w := &yamlWriter{}
	w.line("version: %d", version)
	w.line("deployment: bundletest")
	w.line("objective: {attainment: 1, cost_by_stage: 0.5}")
	w.domains(s)
	w.hosts(s)
	w.line("claims: {group_size: %d}", groupSize(s.Hosts))
	w.pools(s)
	w.pipelines(s)
	w.customers(s)
	return []byte(w.text.String())
}

// Bundle returns the parsed result of YAML. It panics if the sizes do not yield a
// valid bundle.
func Bundle(s Sizes, version uint64) *bundle.Bundle {
	b, err := bundle.Parse(YAML(s, version))
	if err != nil {
		panic(fmt.Sprintf("bundletest: sizes %+v: %v", s, err))
	}
	return b
}

func groupSize(hosts int) int {
	if hosts < bundle.DefaultGroupSize {
		return 1
	}
	return bundle.DefaultGroupSize
}

type yamlWriter struct {
	text strings.Builder
	// upstreams is the number of upstreams written so far. Their addresses are
	// derived from it.
	upstreams int
}

func (w *yamlWriter) line(format string, args ...any) {
	fmt.Fprintf(&w.text, format+"\n", args...)
}

func domainName(s Sizes, i int) string { return fmt.Sprintf("domain-%d", i%s.Domains) }

func (w *yamlWriter) domains(s Sizes) {
	w.line("failure_domains:")
	for i := range s.Domains {
		w.line("  - {name: %s, region: region-%d}", domainName(s, i), i%s.Regions)
	}
}

func (w *yamlWriter) hosts(s Sizes) {
	w.line("hosts:")
	for i := range s.Hosts {
		w.line(`  - {name: %s, failure_domain: %s, peer_address: "10.1.%d.%d:7400"}`,
			HostName(i), domainName(s, i), i/250, i%250+1)
	}
}

func (w *yamlWriter) pools(s Sizes) {
	w.line("pools:")
	engines := max(s.Upstreams*engineUpstreamTenths/10, s.Models)
	for i := range s.Models {
		w.line("  - name: lm-%02d", i)
		w.line("    kind: engine")
		w.line("    model: model-%02d", i)
		w.line(`    model_version: "1.%d"`, i)
		w.line("    supports: {priority: true, cancellation: true}")
		w.line("    concurrency: 16")
		w.poolUpstreams(s, fmt.Sprintf("lm-%02d", i), evenShare(engines, s.Models, i))
	}
	for i, name := range servicePools {
		w.line("  - name: %s", name)
		w.line("    kind: service")
		w.line("    supports: {cancellation: true, status_lookup: %t}", name == "signing")
		w.line("    concurrency: 8")
		w.poolUpstreams(s, name, evenShare(s.Upstreams-engines, len(servicePools), i))
	}
}

// evenShare returns part i of total divided as evenly as possible into n parts.
func evenShare(total, n, i int) int {
	count := total / n
	if i < total%n {
		count++
	}
	return count
}

func (w *yamlWriter) poolUpstreams(s Sizes, pool string, count int) {
	w.line("    upstreams:")
	for i := range count {
		n := w.upstreams
		w.upstreams++
		w.line(`      - {name: %s-%03d, failure_domain: %s, address: "10.2.%d.%d:8000"}`,
			pool, i, domainName(s, n), n/250, n%250+1)
	}
}

// pipelines writes pipelines that end in a generate stage, spread over the engine
// pools. Every fourth pipeline is a single non-repeatable seal stage instead.
func (w *yamlWriter) pipelines(s Sizes) {
	w.line("pipelines:")
	for i := range s.Pipelines {
		w.line("  - name: %s", pipelineName(i))
		if i%4 == 3 {
			w.line("    deadline: 5s")
			w.line("    stages:")
			w.line("      - {name: seal, kind: call, pool: signing, path: /v1/seal, non_repeatable: true, expected: 50ms}")
			continue
		}
		w.line("    deadline: 10s")
		w.line("    stages:")
		w.line("      - {name: encode, kind: encode, pool: encoders, expected: 20ms}")
		w.line("      - {name: retrieve, kind: retrieve, pool: retrievers, expected: 30ms}")
		w.line("      - {name: rerank, kind: rerank, pool: rerankers, expected: 30ms, keep_result: true}")
		w.line("      - {name: generate, kind: generate, pool: lm-%02d, expected: 800ms, max_tokens: 256}", i%s.Models)
	}
}

func pipelineName(i int) string { return fmt.Sprintf("pipeline-%02d", i) }

// customerPipelines returns the names of the customer's pipelines, up to three.
func customerPipelines(s Sizes, customer int) []string {
	names := make([]string, min(s.Pipelines, 3))
	for i := range names {
		names[i] = pipelineName((customer + i) % s.Pipelines)
	}
	return names
}

func (w *yamlWriter) customers(s Sizes) {
	w.line("customers:")
	for i := range s.Customers {
		hash := sha256.Sum256([]byte(CustomerKey(i)))
		w.line("  - name: %s", CustomerName(i))
		w.line("    key_hashes: [%q]", hex.EncodeToString(hash[:]))
		w.line("    weight: %d", 1+i%5)
		w.line("    requests_per_second: %d", 20+i%30)
		w.line("    pipelines: [%s]", strings.Join(customerPipelines(s, i), ", "))
	}
}
