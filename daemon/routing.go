package daemon

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/breaker"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/core/retry"
	"github.com/wheatseam/wheatseam/core/route"
)

// budgetApplier sets the budgets' ratios by the bundle.
type budgetApplier struct{ budgets retry.Budgets }

// Apply implements applier.
func (a budgetApplier) Apply(b *bundle.Bundle) {
	a.budgets.Retry.SetRatio(b.Retry.BudgetRatio)
	a.budgets.Hedge.SetRatio(b.Hedge.BudgetRatio)
}

// addDecisionParts makes the parts that the request machines decide with.
func (d *Daemon) addDecisionParts() {
	router := route.New(route.Config{
		FailureDomain: d.settings.FailureDomain,
		Seed:          xxhash.Sum64String(d.settings.Host) ^ uint64(d.Now().UnixNano()),
	})
	d.addAdmission()
	budgets := retry.NewBudgets(0, 0)
	d.router, d.budgets = router, budgets
	d.loads = newLoadView(d.settings, router, d.log, d.Now)
	d.appliers = append(d.appliers, router, budgetApplier{budgets}, d.loads)
	d.health = breaker.New(breaker.Config{})
	d.deps = request.Deps{Router: router, Admitter: d.admitter, RetryBudget: budgets.Retry, HedgeBudget: budgets.Hedge, Health: d.health}
}
