package daemon

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wheatseam/wheatseam/bundle"
	"github.com/wheatseam/wheatseam/core/breaker"
	"github.com/wheatseam/wheatseam/core/request"
	"github.com/wheatseam/wheatseam/core/retry"
	"github.com/wheatseam/wheatseam/core/route"
)

// budgetRatioApplier sets the ratios of the retry and hedge budgets from the bundle.
type budgetRatioApplier struct{ budgets retry.Budgets }

// Apply implements bundleApplier.
func (a budgetRatioApplier) Apply(b *bundle.Bundle) {
	a.budgets.Retry.SetRatio(b.Retry.BudgetRatio)
	a.budgets.Hedge.SetRatio(b.Hedge.BudgetRatio)
}

// addDecisionComponents creates the components that the requests' state machines
// consult: routing, admission, budgets and circuit breakers.
func (d *Daemon) addDecisionComponents() {
	router := route.New(route.Config{
		FailureDomain: d.settings.FailureDomain,
		Seed:          xxhash.Sum64String(d.settings.Host) ^ uint64(d.Now().UnixNano()),
	})
	d.addAdmission()
	budgets := retry.NewBudgets(0, 0)
	d.router, d.budgets = router, budgets
	d.loads = newLoadView(d.settings, router, d.log, d.Now)
	d.bundleAppliers = append(d.bundleAppliers, router, budgetRatioApplier{budgets}, d.loads)
	d.breakers = breaker.New(breaker.Config{})
	d.decisionDeps = request.Deps{Router: router, Admitter: d.admitter, RetryBudget: budgets.Retry, HedgeBudget: budgets.Hedge, Health: d.breakers}
}
