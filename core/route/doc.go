// Package route picks the upstream of each call. It implements request.Router.
//
// A Router has one shard per pool. A shard holds the call counts and measurements of
// the pool's upstreams, guarded by its own lock. The pools and upstreams themselves are
// an immutable snapshot behind an atomic pointer, which Apply replaces. The package
// does no I/O, reads no clock and starts no goroutines: callers pass the time, and all
// randomness comes from generators seeded by Config.Seed, so that the same sequence of
// calls always makes the same choices.
//
// Under the adaptive policy, a pick has three steps. They operate on a View, an
// immutable snapshot of the pool at that moment:
//
//   - each Filter rejects candidates, with a reason;
//   - a Picker samples a few of the remaining candidates at random;
//   - each Scorer adds to the cost of the sampled candidates, and the cheapest is chosen.
//
// A cost of 1 is the cost of an upstream whose calls equal its pool's concurrency. If
// the filters reject every candidate, those filters that may be relaxed are ignored one
// level after another, in the order of Filter.Relax. A leaving upstream is never
// picked.
package route
