// Package route picks the upstream of each call: it implements request.Router.
//
// A Router keeps one shard per pool. A shard holds the counts and measurements
// of the pool's upstreams under its own lock; the list of pools and upstreams
// is an immutable snapshot behind an atomic pointer that Apply replaces.
// Nothing here does I/O, reads a clock or starts a goroutine: callers pass the
// time in, and all randomness comes from a generator seeded by Config.Seed, so
// that the same calls in the same order give the same choices.
//
// A pick under the adaptive policy runs three steps over a View, an immutable
// picture of the pool at that moment:
//
//   - each Filter refuses candidates, with a reason;
//   - a Picker draws a few of the candidates left at random;
//   - each Scorer adds to the cost of those drawn, and the cheapest is taken.
//
// The cost 1 is the cost of one upstream filled up to its pool's concurrency.
// When filters refuse every candidate, the ones that may be relaxed are lifted
// in the order of Filter.Relax; a leaving upstream is never picked.
package route
