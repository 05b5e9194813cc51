// Package claims runs the claim protocol of core/claim between daemons: it
// serves the keys that this host holds, claims keys for requests of this host,
// and keeps the daemons' knowledge of host lists in step.
//
// Service implements request.Claimer. All its methods are safe for concurrent
// use. Held keys are in shards, each under its own lock; the host lists are
// under a lock of their own, which every grant reads, so that no grant under a
// list can follow the adoption of a later one.
package claims
