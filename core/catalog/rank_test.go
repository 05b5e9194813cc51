package catalog_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/core/catalog"
)

var _ = Describe("ranks", func() {
	intPtr := func(n int) *int { return &n }

	DescribeTable("use the customer's priority, else the route's", func(customer *catalog.CustomerConfig, route int, want catalog.Rank) {
		Expect(catalog.RankOf(customer, &catalog.Route{Priority: route})).To(Equal(want))
	},
		Entry("of a customer with a priority", &catalog.CustomerConfig{Priority: intPtr(1)}, 2, catalog.Rank{Customer: 1, Route: 2}),
		Entry("of a customer with the highest priority", &catalog.CustomerConfig{Priority: intPtr(0)}, 2, catalog.Rank{Customer: 0, Route: 2}),
		Entry("of a customer without a priority", &catalog.CustomerConfig{}, 2, catalog.Rank{Customer: 2, Route: 2}),
		Entry("without a customer", nil, 1, catalog.Rank{Customer: 1, Route: 1}),
		Entry("of priorities below zero", &catalog.CustomerConfig{Priority: intPtr(-3)}, -1, catalog.Rank{}),
	)

	It("order requests consistently with their levels", func() {
		var all []catalog.Rank
		for customer := range 5 {
			for route := range 5 {
				all = append(all, catalog.Rank{Customer: customer, Route: route})
			}
		}
		for i, a := range all {
			for k, b := range all {
				Expect(a.Compare(b) < 0).To(Equal(i < k), "%v %v", a, b)
				if i < k {
					Expect(a.Level()).To(BeNumerically("<=", b.Level()), "%v %v", a, b)
				}
			}
			Expect(a.Level()).To(And(BeNumerically(">=", 0), BeNumerically("<", catalog.NumLevels)))
		}
		Expect(catalog.Rank{Customer: 1, Route: 0}.Level()).To(BeNumerically("<", catalog.Rank{Customer: 1, Route: 2}.Level()))
	})
})
