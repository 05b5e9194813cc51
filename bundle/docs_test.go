package bundle_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/internal/doccheck"
)

var _ = Describe("docs/CONFIGURATION.md", func() {
	It("lists exactly the keys of the bundle", func() {
		listed, err := doccheck.DocumentedKeys("../docs/CONFIGURATION.md", "## Bundle")
		Expect(err).NotTo(HaveOccurred())
		Expect(listed).To(ConsistOf(doccheck.Keys(bundle.Bundle{})))
	})
})

var _ = Describe("the example bundles", func() {
	DescribeTable("have the sizes of the current deployments",
		func(file string, domains, hosts, engines int, services map[string]int) {
			b := mustParse(readExample(file))
			Expect([]int{len(b.FailureDomains), len(b.Hosts), len(b.Customers)}).To(Equal([]int{domains, hosts, 5}))
			sizes := map[string]int{}
			for _, p := range b.Pools {
				sizes[p.Name] = len(p.Upstreams)
			}
			Expect(sizes).To(HaveKeyWithValue("lm", engines))
			for name, size := range services {
				Expect(sizes).To(HaveKeyWithValue(name, size))
			}
		},
		Entry("Firma Abierta", "firma-abierta.yaml", 4, 7, 10,
			map[string]int{"signing": 5, "audit": 4, "notification": 4, "archive": 4}),
		Entry("Kawabata", "kawabata.yaml", 3, 6, 20,
			map[string]int{"portal": 4, "flight-log": 3, "imagery": 5, "crew-dispatch": 3}),
	)

	It("weight attainment and cost by each deployment's priorities", func() {
		firma, kawabata := mustParse(readExample("firma-abierta.yaml")), mustParse(readExample("kawabata.yaml"))
		Expect(firma.Objective.Attainment).To(BeNumerically(">", firma.Objective.CostByStage))
		Expect(kawabata.Objective.CostByStage).To(BeNumerically(">", kawabata.Objective.Attainment))
	})
})
