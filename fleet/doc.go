// Package fleet maintains a gateway daemon's list of the other daemons in its fleet.
// Daemons discover each other through a few seeds: each daemon announces itself to the
// seeds and receives the hosts that they know. Package core/member decides which of these
// hosts are alive.
//
// A host that has just started does not yet know which host ranks first; the channel of
// Formed is closed when it does.
//
// A host is named by the ip:port on which it listens for its peers, so that no directory
// of addresses is needed.
package fleet
