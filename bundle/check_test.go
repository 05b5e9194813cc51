package bundle_test

import (
	"bytes"
	"errors"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
)

// replaceInDemo replaces the only occurrence of old in the demo bundle.
func replaceInDemo(old, new string) []byte {
	GinkgoHelper()
	raw := readExample("demo.yaml")
	Expect(bytes.Count(raw, []byte(old))).To(Equal(1), "occurrences of %q", old)
	return bytes.Replace(raw, []byte(old), []byte(new), 1)
}

// parseProblems parses raw, which must be invalid, and returns its problems.
func parseProblems(raw []byte) []bundle.Problem {
	GinkgoHelper()
	_, err := bundle.Parse(raw)
	var check *bundle.CheckError
	Expect(errors.As(err, &check)).To(BeTrue(), "error %v", err)
	return check.Problems
}

// lineNumberOf returns the line number of the first occurrence of text.
func lineNumberOf(raw []byte, text string) int {
	GinkgoHelper()
	before, _, found := strings.Cut(string(raw), text)
	Expect(found).To(BeTrue())
	return strings.Count(before, "\n") + 1
}

const (
	encoder1 = `name: encoder-1, failure_domain: lima-a, address: "127.0.0.1:7511"`
)

var _ = Describe("bundle validation", func() {
	DescribeTable("reports a single problem with its path, line and message",
		func(old, new, path, message string) {
			raw := replaceInDemo(old, new)
			Expect(parseProblems(raw)).To(ConsistOf(And(
				HaveField("Path", path),
				HaveField("Message", ContainSubstring(message)),
				HaveField("Line", lineNumberOf(readExample("demo.yaml"), old)+strings.Count(new, "\n")),
			)))
		},
		Entry("an unknown top-level key", "policy: adaptive", "polices: adaptive", "polices", "unknown key"),
		Entry("an unknown nested key", "    weight: 3", "    weight: 3\n    wieght: 3", "customers[0].wieght", "unknown key"),
		Entry("a key without value", "    weight: 3", "    weight:", "customers[0].weight", "has no value"),
		Entry("text for a number", "    weight: 3", "    weight: many", "customers[0].weight", "finite number"),
		Entry("an infinite number", "    weight: 3", "    weight: .inf", "customers[0].weight", "finite"),
		Entry("a negative number", "    weight: 3", "    weight: -3", "customers[0].weight", "above 0"),
		Entry("a fraction for an integer", "concurrency: 8", "concurrency: 8.5", "pools[0].concurrency", "whole number"),
		Entry("a number for a string", `model_version: "1"`, `model_version: 1.10`, "pools[0].model_version", "in quotes"),
		Entry("a mapping for a list", "requests_per_second: 50\n    pipelines: [contract-summary, seal]",
			"requests_per_second: 50\n    pipelines: {a: b}", "customers[1].pipelines", "want a list"),
		Entry("a duration without unit", "deadline: 10s", "deadline: 10", "pipelines[0].deadline", "unit"),
		Entry("text for a duration", "deadline: 10s", "deadline: soon", "pipelines[0].deadline", "unit"),
		Entry("a negative duration", "deadline: 10s", "deadline: -10s", "pipelines[0].deadline", "above 0"),
		Entry("an anchor", "retention: 2m", "retention: &r 2m", "claims.retention", "anchors"),
		Entry("a name with a space", "deployment: demo", "deployment: a demo", "deployment", "must be a name"),
		Entry("a host name for an address", `"127.0.0.1:7511"`, `"encoder:7511"`, "pools[1].upstreams[0].address", "ip:port"),
		Entry("port 0", `"127.0.0.1:7511"`, `"127.0.0.1:0"`, "pools[1].upstreams[0].address", "ip:port"),
		Entry("an undefined pool", "pool: encoders", "pool: encodres", "pipelines[0].stages[0].pool", `no pool is named "encodres"`),
		Entry("an undefined pipeline", "requests_per_second: 50\n    pipelines: [contract-summary, seal]",
			"requests_per_second: 50\n    pipelines: [contract-summary, sael]", "customers[1].pipelines[1]", `no pipeline is named "sael"`),
		Entry("an undefined failure domain of a host", "failure_domain: lima-c, peer", "failure_domain: lima-d, peer",
			"hosts[2].failure_domain", `no failure domain is named "lima-d"`),
		Entry("an undefined failure domain of an upstream", encoder1, strings.Replace(encoder1, "lima-a", "lima-z", 1),
			"pools[1].upstreams[0].failure_domain", `no failure domain is named "lima-z"`),
		Entry("an upstream's name used twice", "name: encoder-2", "name: lm-2", "pools[1].upstreams[1].name", "already used by pools[0].upstreams[1].name"),
		Entry("an address used twice", "127.0.0.1:7512", "127.0.0.1:7511", "pools[1].upstreams[1].address", "already used"),
		Entry("a host's name used twice", "name: entry-2", "name: entry-1", "hosts[1].name", "already used"),
		Entry("a deadline shorter than the expected durations", "deadline: 10s", "deadline: 800ms", "pipelines[0].deadline", "expected to take 880ms"),
		Entry("a deadline beyond the retention of claims", "deadline: 5s", "deadline: 2m", "pipelines[1].deadline", "claim could expire"),
		Entry("a non-repeatable generate stage", "max_tokens: 64", "max_tokens: 64, non_repeatable: true",
			"pipelines[0].stages[3].non_repeatable", "kind call"),
		Entry("a generate stage on a service pool", "kind: generate, pool: lm", "kind: generate, pool: encoders",
			"pipelines[0].stages[3].pool", "requires an engine pool"),
		Entry("a call stage on an engine pool", "pool: signing, path", "pool: lm, path", "pipelines[1].stages[0].pool", "requires a service pool"),
		Entry("an even claim group", "group_size: 3", "group_size: 2", "claims.group_size", "even"),
		Entry("a claim group larger than the number of hosts", "group_size: 3", "group_size: 5", "claims.group_size", "more than the number of hosts (3)"),
		Entry("a zero clock skew", "max_clock_skew: 250ms", "max_clock_skew: 0s", "claims.max_clock_skew", "above 0"),
		Entry("an objective with only zero weights", "{attainment: 1, cost_by_stage: 0.2}", "{attainment: 0, cost_by_stage: 0}", "objective", "above 0"),
		Entry("a view whose version is not below the bundle's", "deployment: demo", "deployment: demo\nviews: [{version: 1, hosts: [{name: a, failure_domain: b, peer_address: '127.0.0.1:1', ended_at: 2026-01-31T12:00:00Z}]}]",
			"views[0].version", "not below 1"),
		Entry("an ended host in the active host list", "name: entry-2,", "name: entry-2, ended_at: 2026-01-31T12:00:00Z,", "hosts[1].ended_at", "views"),
		Entry("a time that is not in RFC 3339 form", "name: entry-2,", "name: entry-2, ended_at: noon,", "hosts[1].ended_at", "RFC 3339"),
		Entry("a second document", "customers:", "---\ncustomers:", "", "one YAML document"),
	)

	It("includes only the first digits of a key hash in messages", func() {
		raw := readExample("demo.yaml")
		b, err := bundle.Parse(raw)
		Expect(err).NotTo(HaveOccurred())
		hash, other := b.Customers[0].KeyHashes[0], b.Customers[1].KeyHashes[0]
		raw = bytes.Replace(raw, []byte(other), []byte(strings.ToUpper(hash)), 1)
		problems := parseProblems(raw)
		Expect(problems).To(ConsistOf(HaveField("Path", "customers[1].key_hashes[0]")))
		Expect(problems[0].Message).To(ContainSubstring(hash[:8]))
		Expect(problems[0].Message).NotTo(ContainSubstring(hash[:9]))
	})

	It("reports all problems at once, ordered by line", func() {
		raw := replaceInDemo("policy: adaptive", "polices: adaptive")
		raw = bytes.Replace(raw, []byte("pool: encoders"), []byte("pool: nowhere"), 1)
		raw = bytes.Replace(raw, []byte("concurrency: 8"), []byte("concurrency: no"), 1)
		raw = bytes.Replace(raw, []byte("group_size: 3"), []byte("group_size: 4"), 1)
		raw = bytes.Replace(raw, []byte("deadline: 5s"), []byte("deadline: 5ms"), 1)
		var paths []string
		for _, p := range parseProblems(raw) {
			paths = append(paths, p.Path)
		}
		Expect(paths).To(Equal([]string{
			"polices", "claims.group_size", "pools[0].concurrency",
			"pipelines[0].stages[0].pool", "pipelines[1].deadline",
		}))
	})

	It("reports the line of a syntax error", func() {
		raw := replaceInDemo("    weight: 3", "    weight: 3\n    weight: 4")
		Expect(parseProblems(raw)).To(ConsistOf(And(
			HaveField("Line", lineNumberOf(raw, "weight: 4")),
			HaveField("Message", ContainSubstring("already defined")),
		)))
	})

	It("rejects more than a megabyte", func() {
		raw := append(readExample("demo.yaml"), bytes.Repeat([]byte("# filler\n"), bundle.MaxSignedBytes/9)...)
		Expect(parseProblems(raw)).To(ConsistOf(HaveField("Message", ContainSubstring("at most 1000000"))))
	})
})
