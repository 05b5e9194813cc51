package bundle_test

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
)

func parsed(raw []byte) *bundle.Bundle {
	GinkgoHelper()
	b, err := bundle.Parse(raw)
	Expect(err).NotTo(HaveOccurred())
	return b
}

var _ = Describe("Diff", func() {
	before := func() *bundle.Bundle { return parsed(example("demo.yaml")) }

	It("finds nothing between a bundle and itself, signed or not", func() {
		signed := bundle.Sign(example("demo.yaml"), testKey(1))
		Expect(bundle.Diff(before(), parsed(signed))).To(BeEmpty())
	})

	DescribeTable("names", func(old, new string, want ...string) {
		var lines []string
		for _, c := range bundle.Diff(before(), parsed(edit(old, new))) {
			lines = append(lines, c.String())
		}
		Expect(lines).To(Equal(want))
	},
		Entry("a changed value", "    weight: 3", "    weight: 4", "~ customers[firma].weight: 3 -> 4"),
		Entry("a changed duration", "retention: 2m", "retention: 3m", "~ claims.retention: 2m0s -> 3m0s"),
		Entry("a value that falls back to its default", "    weight: 3\n    requests_per_second: 200\n", "    weight: 3\n",
			"~ customers[firma].requests_per_second: 200 -> 0"),
		Entry("an upstream that is replaced", `{name: encoder-2, failure_domain: lima-b, address: "127.0.0.1:7512"}`,
			`{name: encoder-3, failure_domain: lima-c, address: "127.0.0.1:7513"}`,
			`- pools[encoders].upstreams[encoder-2]: {name: encoder-2, failure_domain: lima-b, address: "127.0.0.1:7512"}`,
			`+ pools[encoders].upstreams[encoder-3]: {name: encoder-3, failure_domain: lima-c, address: "127.0.0.1:7513"}`),
		Entry("a customer's new pipeline list", "requests_per_second: 50\n    pipelines: [contract-summary, seal]",
			"requests_per_second: 50\n    pipelines: [seal]", "- customers[clinic].pipelines[contract-summary]: contract-summary"),
		Entry("another order", "requests_per_second: 50\n    pipelines: [contract-summary, seal]",
			"requests_per_second: 50\n    pipelines: [seal, contract-summary]",
			"~ customers[clinic].pipelines: [contract-summary, seal] -> [seal, contract-summary]"),
	)

	It("shortens key hashes in every form of change", func() {
		raw := example("demo.yaml")
		old := before()
		hash := old.Customers[1].KeyHashes[0]
		fresh := strings.Repeat("ab", 32)
		start := bytes.Index(raw, []byte("  - name: clinic"))
		swapped := bytes.Replace(raw, []byte(hash), []byte(fresh), 1)
		for _, changes := range [][]bundle.Change{
			bundle.Diff(old, parsed(swapped)),
			bundle.Diff(old, parsed(raw[:start])),
			bundle.Diff(parsed(raw[:start]), old),
		} {
			Expect(changes).NotTo(BeEmpty())
			for _, c := range changes {
				Expect(c.String()).To(Or(ContainSubstring(hash[:8]+"..."), ContainSubstring(fresh[:8]+"...")))
				Expect(c.String()).NotTo(Or(ContainSubstring(hash[:9]), ContainSubstring(fresh[:9])))
			}
		}
	})
})

var _ = Describe("CheckSuccessor", func() {
	const third = `  - {name: entry-3, failure_domain: lima-c, peer_address: "127.0.0.1:7403"}`
	const fourth = `  - {name: entry-4, failure_domain: lima-c, peer_address: "127.0.0.1:7404"}`
	const lineage = `views:
  - version: 1
    hosts:
      - {name: entry-3, failure_domain: lima-c, peer_address: "127.0.0.1:7403"}
      - {name: entry-1, failure_domain: lima-a, peer_address: "127.0.0.1:7401"}
      - {name: entry-2, failure_domain: lima-b, peer_address: "127.0.0.1:7402"}
`
	current := func() *bundle.Bundle { return parsed(example("demo.yaml")) }
	successor := func(replace ...string) *bundle.Bundle {
		return parsed([]byte(strings.NewReplacer(append(replace, "\nversion: 1\n", "\nversion: 2\n")...).Replace(string(example("demo.yaml")))))
	}

	It("takes a higher version with the same hosts, at other addresses too", func() {
		Expect(bundle.CheckSuccessor(current(), successor())).To(Succeed())
		Expect(bundle.CheckSuccessor(current(), successor(":7403", ":7409"))).To(Succeed())
	})

	It("wants the list in force among the views when hosts change", func() {
		Expect(bundle.CheckSuccessor(current(), successor(third, fourth))).To(
			MatchError(ContainSubstring("put the list in force first, with version 1")))
		next := successor(third, fourth, "claims:\n", lineage+"claims:\n")
		Expect(bundle.CheckSuccessor(current(), next)).To(Succeed())

		later := *next
		later.Version, later.Views = 3, nil
		Expect(bundle.CheckSuccessor(next, &later)).To(MatchError(ContainSubstring("views: the newest view must be 1 or later")))
		later.Views = next.Views
		Expect(bundle.CheckSuccessor(next, &later)).To(Succeed())
		later.Hosts = next.Hosts[:2]
		Expect(bundle.CheckSuccessor(next, &later)).To(MatchError(ContainSubstring("put the list in force first, with version 2")))
		later.Views = []bundle.View{{Version: 3, Hosts: next.Hosts}, next.Views[0]}
		Expect(bundle.CheckSuccessor(next, &later)).To(MatchError(ContainSubstring("views: the host list in force is missing")))
		later.Views = []bundle.View{{Version: 2, Hosts: next.Hosts}}
		Expect(bundle.CheckSuccessor(next, &later)).To(Succeed())
	})

	It("refuses a view that rewrites an earlier list", func() {
		rewritten := strings.Replace(lineage, "entry-3, failure_domain: lima-c", "entry-3, failure_domain: lima-a", 1)
		Expect(bundle.CheckSuccessor(current(), successor("claims:\n", rewritten+"claims:\n"))).To(
			MatchError(ContainSubstring("views[0].hosts: differ")))
	})

	It("refuses a version that is no higher, and another deployment", func() {
		Expect(bundle.CheckSuccessor(current(), current())).To(MatchError(ContainSubstring("version: 1 is not above 1")))
		Expect(bundle.CheckSuccessor(current(), successor("deployment: demo", "deployment: other"))).To(
			MatchError(ContainSubstring("deployment:")))
	})
})
