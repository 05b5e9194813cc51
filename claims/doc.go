// Package claims runs the claim protocol of core/claim between daemons. It
// grants claims on the keys that this host holds, acquires claims for the
// requests of this host, and synchronizes which host lists the daemons have
// adopted.
//
// Service implements request.Claimer. All its methods are safe for concurrent
// use. Held keys are sharded, with one lock per shard. The host lists have a
// separate read-write lock, which every grant holds for reading, so that no
// grant under a host list can follow the adoption of a later list.
package claims
