package bundle_test

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
)

func mustParse(raw []byte) *bundle.Bundle {
	GinkgoHelper()
	b, err := bundle.Parse(raw)
	Expect(err).NotTo(HaveOccurred())
	return b
}

var _ = Describe("Diff", func() {
	before := func() *bundle.Bundle { return mustParse(readExample("demo.yaml")) }

	It("finds no changes between a bundle and the same bundle with a signature", func() {
		signed := bundle.Sign(readExample("demo.yaml"), testKey(1))
		Expect(bundle.Diff(before(), mustParse(signed))).To(BeEmpty())
	})

	DescribeTable("describes", func(old, new string, want ...string) {
		var lines []string
		for _, c := range bundle.Diff(before(), mustParse(replaceInDemo(old, new))) {
			lines = append(lines, c.String())
		}
		Expect(lines).To(Equal(want))
	},
		Entry("a changed value", "    weight: 3", "    weight: 4", "~ customers[firma].weight: 3 -> 4"),
		Entry("a changed duration", "retention: 2m", "retention: 3m", "~ claims.retention: 2m0s -> 3m0s"),
		Entry("a value that is reset to its default", "    weight: 3\n    requests_per_second: 200\n", "    weight: 3\n",
			"~ customers[firma].requests_per_second: 200 -> 0"),
		Entry("a replaced upstream", `{name: encoder-2, failure_domain: lima-b, address: "127.0.0.1:7512"}`,
			`{name: encoder-3, failure_domain: lima-c, address: "127.0.0.1:7513"}`,
			`- pools[encoders].upstreams[encoder-2]: {name: encoder-2, failure_domain: lima-b, address: "127.0.0.1:7512"}`,
			`+ pools[encoders].upstreams[encoder-3]: {name: encoder-3, failure_domain: lima-c, address: "127.0.0.1:7513"}`),
		Entry("a pipeline removed from a customer", "requests_per_second: 50\n    pipelines: [contract-summary, seal]",
			"requests_per_second: 50\n    pipelines: [seal]", "- customers[clinic].pipelines[contract-summary]: contract-summary"),
		Entry("a different order", "requests_per_second: 50\n    pipelines: [contract-summary, seal]",
			"requests_per_second: 50\n    pipelines: [seal, contract-summary]",
			"~ customers[clinic].pipelines: [contract-summary, seal] -> [seal, contract-summary]"),
	)

	It("shortens key hashes in every kind of change", func() {
		raw := readExample("demo.yaml")
		old := before()
		hash := old.Customers[1].KeyHashes[0]
		newHash := strings.Repeat("ab", 32)
		start := bytes.Index(raw, []byte("  - name: clinic"))
		replaced := bytes.Replace(raw, []byte(hash), []byte(newHash), 1)
		for _, changes := range [][]bundle.Change{
			bundle.Diff(old, mustParse(replaced)),
			bundle.Diff(old, mustParse(raw[:start])),
			bundle.Diff(mustParse(raw[:start]), old),
		} {
			Expect(changes).NotTo(BeEmpty())
			for _, c := range changes {
				Expect(c.String()).To(Or(ContainSubstring(hash[:8]+"..."), ContainSubstring(newHash[:8]+"...")))
				Expect(c.String()).NotTo(Or(ContainSubstring(hash[:9]), ContainSubstring(newHash[:9])))
			}
		}
	})
})

var _ = Describe("CheckSuccessor", func() {
	const entry3 = `  - {name: entry-3, failure_domain: lima-c, peer_address: "127.0.0.1:7403"}`
	const entry4 = `  - {name: entry-4, failure_domain: lima-c, peer_address: "127.0.0.1:7404"}`
	const firstView = `views:
  - version: 1
    hosts:
      - {name: entry-3, failure_domain: lima-c, peer_address: "127.0.0.1:7403"}
      - {name: entry-1, failure_domain: lima-a, peer_address: "127.0.0.1:7401"}
      - {name: entry-2, failure_domain: lima-b, peer_address: "127.0.0.1:7402"}
`
	current := func() *bundle.Bundle { return mustParse(readExample("demo.yaml")) }
	successor := func(replace ...string) *bundle.Bundle {
		return mustParse([]byte(strings.NewReplacer(append(replace, "\nversion: 1\n", "\nversion: 2\n")...).Replace(string(readExample("demo.yaml")))))
	}

	It("accepts a higher version with the same hosts, even at other addresses", func() {
		Expect(bundle.CheckSuccessor(current(), successor())).To(Succeed())
		Expect(bundle.CheckSuccessor(current(), successor(":7403", ":7409"))).To(Succeed())
	})

	It("requires the active host list in the views when the hosts change", func() {
		Expect(bundle.CheckSuccessor(current(), successor(entry3, entry4))).To(
			MatchError(ContainSubstring("add the active list to views as the first entry, with version 1")))
		next := successor(entry3, entry4, "claims:\n", firstView+"claims:\n")
		Expect(bundle.CheckSuccessor(current(), next)).To(Succeed())

		later := *next
		later.Version, later.Views = 3, nil
		Expect(bundle.CheckSuccessor(next, &later)).To(MatchError(ContainSubstring("views: the newest view must be 1 or later")))
		later.Views = next.Views
		Expect(bundle.CheckSuccessor(next, &later)).To(Succeed())
		later.Hosts = next.Hosts[:2]
		Expect(bundle.CheckSuccessor(next, &later)).To(MatchError(ContainSubstring("add the active list to views as the first entry, with version 2")))
		later.Views = []bundle.View{{Version: 3, Hosts: next.Hosts}, next.Views[0]}
		Expect(bundle.CheckSuccessor(next, &later)).To(MatchError(ContainSubstring("views: the active host list is missing")))
		later.Views = []bundle.View{{Version: 2, Hosts: next.Hosts}}
		Expect(bundle.CheckSuccessor(next, &later)).To(Succeed())
	})

	It("rejects a view that differs from the earlier host list of the same epoch", func() {
		changedView := strings.Replace(firstView, "entry-3, failure_domain: lima-c", "entry-3, failure_domain: lima-a", 1)
		Expect(bundle.CheckSuccessor(current(), successor("claims:\n", changedView+"claims:\n"))).To(
			MatchError(ContainSubstring("views[0].hosts: differ")))
	})

	It("rejects a version that is not higher, and another deployment", func() {
		Expect(bundle.CheckSuccessor(current(), current())).To(MatchError(ContainSubstring("version: 1 is not above 1")))
		Expect(bundle.CheckSuccessor(current(), successor("deployment: demo", "deployment: other"))).To(
			MatchError(ContainSubstring("deployment:")))
	})
})
