package bundle_test

import (
	"bytes"
	"errors"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
)

// edit replaces the one occurrence of old in the demo bundle.
func edit(old, new string) []byte {
	GinkgoHelper()
	raw := example("demo.yaml")
	Expect(bytes.Count(raw, []byte(old))).To(Equal(1), "occurrences of %q", old)
	return bytes.Replace(raw, []byte(old), []byte(new), 1)
}

// faults parses raw and returns what is wrong with it.
func faults(raw []byte) []bundle.Problem {
	GinkgoHelper()
	_, err := bundle.Parse(raw)
	var check *bundle.CheckError
	Expect(errors.As(err, &check)).To(BeTrue(), "error %v", err)
	return check.Problems
}

// lineOf returns the line of the first occurrence of text.
func lineOf(raw []byte, text string) int {
	GinkgoHelper()
	before, _, found := strings.Cut(string(raw), text)
	Expect(found).To(BeTrue())
	return strings.Count(before, "\n") + 1
}

const (
	encoderOne = `name: encoder-1, failure_domain: lima-a, address: "127.0.0.1:7511"`
)

var _ = Describe("the check", func() {
	DescribeTable("names one fault by path, line and message",
		func(old, new, path, message string) {
			raw := edit(old, new)
			Expect(faults(raw)).To(ConsistOf(And(
				HaveField("Path", path),
				HaveField("Message", ContainSubstring(message)),
				HaveField("Line", lineOf(example("demo.yaml"), old)+strings.Count(new, "\n")),
			)))
		},
		Entry("unknown key at the top", "policy: adaptive", "polices: adaptive", "polices", "unknown key"),
		Entry("unknown key inside", "    weight: 3", "    weight: 3\n    wieght: 3", "customers[0].wieght", "unknown key"),
		Entry("a key without value", "    weight: 3", "    weight:", "customers[0].weight", "has no value"),
		Entry("text for a number", "    weight: 3", "    weight: many", "customers[0].weight", "finite number"),
		Entry("an infinite number", "    weight: 3", "    weight: .inf", "customers[0].weight", "finite"),
		Entry("a negative number", "    weight: 3", "    weight: -3", "customers[0].weight", "above 0"),
		Entry("a fraction for a whole number", "concurrency: 8", "concurrency: 8.5", "pools[0].concurrency", "whole number"),
		Entry("a number for a string", `model_version: "1"`, `model_version: 1.10`, "pools[0].model_version", "in quotes"),
		Entry("a mapping for a list", "requests_per_second: 50\n    pipelines: [contract-summary, seal]",
			"requests_per_second: 50\n    pipelines: {a: b}", "customers[1].pipelines", "want a list"),
		Entry("a duration without unit", "deadline: 10s", "deadline: 10", "pipelines[0].deadline", "unit"),
		Entry("text for a duration", "deadline: 10s", "deadline: soon", "pipelines[0].deadline", "unit"),
		Entry("a negative duration", "deadline: 10s", "deadline: -10s", "pipelines[0].deadline", "above 0"),
		Entry("an anchor", "retention: 2m", "retention: &r 2m", "claims.retention", "anchors"),
		Entry("a name with a space", "deployment: demo", "deployment: a demo", "deployment", "want a name"),
		Entry("a host name for an address", `"127.0.0.1:7511"`, `"encoder:7511"`, "pools[1].upstreams[0].address", "ip:port"),
		Entry("port 0", `"127.0.0.1:7511"`, `"127.0.0.1:0"`, "pools[1].upstreams[0].address", "ip:port"),
		Entry("a dangling pool", "pool: encoders", "pool: encodres", "pipelines[0].stages[0].pool", `no pool "encodres"`),
		Entry("a dangling pipeline", "requests_per_second: 50\n    pipelines: [contract-summary, seal]",
			"requests_per_second: 50\n    pipelines: [contract-summary, sael]", "customers[1].pipelines[1]", `no pipeline "sael"`),
		Entry("a dangling failure domain of a host", "failure_domain: lima-c, peer", "failure_domain: lima-d, peer",
			"hosts[2].failure_domain", `no failure domain "lima-d"`),
		Entry("a dangling failure domain of an upstream", encoderOne, strings.Replace(encoderOne, "lima-a", "lima-z", 1),
			"pools[1].upstreams[0].failure_domain", `no failure domain "lima-z"`),
		Entry("an upstream's name used twice", "name: encoder-2", "name: lm-2", "pools[1].upstreams[1].name", "already used by pools[0].upstreams[1].name"),
		Entry("an address used twice", "127.0.0.1:7512", "127.0.0.1:7511", "pools[1].upstreams[1].address", "already used"),
		Entry("a host's name used twice", "name: entry-2", "name: entry-1", "hosts[1].name", "already used"),
		Entry("an impossible deadline", "deadline: 10s", "deadline: 800ms", "pipelines[0].deadline", "expected to take 880ms"),
		Entry("a deadline beyond the claims' retention", "deadline: 5s", "deadline: 2m", "pipelines[1].deadline", "forgotten"),
		Entry("a non-repeatable generation", "max_tokens: 64", "max_tokens: 64, non_repeatable: true",
			"pipelines[0].stages[3].non_repeatable", "kind call"),
		Entry("a generation on services", "kind: generate, pool: lm", "kind: generate, pool: encoders",
			"pipelines[0].stages[3].pool", "needs an engine pool"),
		Entry("a call on engines", "pool: signing, path", "pool: lm, path", "pipelines[1].stages[0].pool", "needs a service pool"),
		Entry("an even claim group", "group_size: 3", "group_size: 2", "claims.group_size", "even"),
		Entry("a claim group above the hosts", "group_size: 3", "group_size: 5", "claims.group_size", "more than the 3 hosts"),
		Entry("a retention below the clocks' skew", "max_clock_skew: 250ms", "max_clock_skew: 0s", "claims.max_clock_skew", "above 0"),
		Entry("an objective of nothing", "{attainment: 1, cost_by_stage: 0.2}", "{attainment: 0, cost_by_stage: 0}", "objective", "above 0"),
		Entry("a view that is no earlier one", "deployment: demo", "deployment: demo\nviews: [{version: 1, hosts: [{name: a, failure_domain: b, peer_address: '127.0.0.1:1', ended_at: 2026-01-31T12:00:00Z}]}]",
			"views[0].version", "not below 1"),
		Entry("an ended host in the list in force", "name: entry-2,", "name: entry-2, ended_at: 2026-01-31T12:00:00Z,", "hosts[1].ended_at", "views"),
		Entry("a time without its zone", "name: entry-2,", "name: entry-2, ended_at: noon,", "hosts[1].ended_at", "RFC 3339"),
		Entry("a second document", "customers:", "---\ncustomers:", "", "one YAML document"),
	)

	It("shows no more than the start of a key hash", func() {
		raw := example("demo.yaml")
		b, err := bundle.Parse(raw)
		Expect(err).NotTo(HaveOccurred())
		hash, other := b.Customers[0].KeyHashes[0], b.Customers[1].KeyHashes[0]
		raw = bytes.Replace(raw, []byte(other), []byte(strings.ToUpper(hash)), 1)
		found := faults(raw)
		Expect(found).To(ConsistOf(HaveField("Path", "customers[1].key_hashes[0]")))
		Expect(found[0].Message).To(ContainSubstring(hash[:8]))
		Expect(found[0].Message).NotTo(ContainSubstring(hash[:9]))
	})

	It("names every fault at once, in the order of lines", func() {
		raw := edit("policy: adaptive", "polices: adaptive")
		raw = bytes.Replace(raw, []byte("pool: encoders"), []byte("pool: nowhere"), 1)
		raw = bytes.Replace(raw, []byte("concurrency: 8"), []byte("concurrency: no"), 1)
		raw = bytes.Replace(raw, []byte("group_size: 3"), []byte("group_size: 4"), 1)
		raw = bytes.Replace(raw, []byte("deadline: 5s"), []byte("deadline: 5ms"), 1)
		var paths []string
		for _, p := range faults(raw) {
			paths = append(paths, p.Path)
		}
		Expect(paths).To(Equal([]string{
			"polices", "claims.group_size", "pools[0].concurrency",
			"pipelines[0].stages[0].pool", "pipelines[1].deadline",
		}))
	})

	It("names the line of a syntax error", func() {
		raw := edit("    weight: 3", "    weight: 3\n    weight: 4")
		Expect(faults(raw)).To(ConsistOf(And(
			HaveField("Line", lineOf(raw, "weight: 4")),
			HaveField("Message", ContainSubstring("already defined")),
		)))
	})

	It("refuses more than a megabyte", func() {
		raw := append(example("demo.yaml"), bytes.Repeat([]byte("# filler\n"), bundle.MaxSize/9)...)
		Expect(faults(raw)).To(ConsistOf(HaveField("Message", ContainSubstring("at most 1000000"))))
	})
})
