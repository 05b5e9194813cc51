// Package detour decides how this host connects to replicas: directly, or through a peer, a
// host of the fleet that connects in its place and copies bytes. A host may lose the path to
// all replicas, or to some, while its peers still reach them.
//
// # Contract
//
// Nothing here reads a clock, does I/O or starts goroutines; the caller passes the time. A
// Table is not safe for concurrent use, and neither is an Attempt. Replied may be called for an
// attempt after it has ended.
//
// An Attempt is one attempt to connect to an address. Its caller asks Next for the next step
// at the start, after each result that it reports and when a wait is over. Several ways may
// be under way at the same time; the first connection ends the attempt, and the caller
// closes the others. Nothing may be sent on a connection before that.
//
// A direct failure is evidence against the path, and not against the replica, if a peer
// connects to the same address. The address is then reached through peers first, until a
// direct attempt or probe succeeds. If that holds for two addresses and no direct attempt
// has succeeded since, this host is cut off, and reaches all addresses through peers first.
//
// A host that has failed at many addresses, has reached none since, and knows no peer that
// connects is stranded: requests should be refused at once. It stays so until a connection
// succeeds.
//
// Each host orders its peers by a hash of its own and their names, and asks the first ones
// that are not known to refuse; of these the one with the most room. So the hosts of a fleet
// spread over all peers that connect, without messages about it.
//
// The memory is bounded: at most MaxAddresses addresses with failures, and MaxPeers peers.
package detour
