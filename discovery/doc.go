// Package discovery keeps a daemon's view of the platform's store up to date: the
// operator's configuration, the evacuations of failure domains and the registered
// replicas.
//
// One daemon of the fleet reads the store. The others request changes from each other
// along a tree and are answered as soon as there are any. A daemon that fails another is
// left out of that one's tree for a while, so that the next in rank takes its place. Every reply states how old it
// is. A daemon whose view is older than its limits allow, for whatever reason, reads the
// store itself: no daemon depends on another for longer than a fraction of the time within
// which changes must be active.
//
// Small and urgent data never waits for large data. A reply with changes announces the
// revision of a newer configuration and carries only the replicas that changed. The
// configuration is fetched separately, as a compressed delta from the local revision, in
// blocks whose size limits how long a link is occupied and each with its own timeout. The
// received part of a delta is kept and completed from another host, so that a slow link
// delays a transfer but does not make a host fetch the same bytes again. The time until a
// configuration is active therefore depends on how long the links take to transfer its
// delta, and not on the number of routes in the whole configuration.
//
// The daemon that reads the store lists the replicas once, then reads their changes at an
// interval, and watches for a newer configuration for just as long. Both reads start several
// intervals in the past, since the store may report no changes for a second before it drops
// its history. Every reply says up to which revision of the store its replicas are complete,
// so that whoever has them from a peer can go on reading changes without a list.
//
// Where the next interval is too late, replicas are read on demand: RefreshReplicas. The demands of
// all daemons are merged on their way up the tree, so that the store is still read by one of them.
//
// What a daemon holds grows with the replicas; what it sends, reads and computes in a steady
// state grows with the changes.
package discovery
