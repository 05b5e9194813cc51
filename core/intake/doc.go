// Package intake limits the calls to replicas that accept only a certain rate from all
// hosts together: those that have just started, and those that announce a limit in their
// responses. No host asks another one before a call; hosts whose share of an announced limit does
// not suffice borrow calls from others for some seconds (Loans). The package also tracks these
// limits, the replicas that are leaving and the backoffs that replicas asked for.
//
// Each host ranks all hosts that it knows by a hash of host and replica, in the same order
// as every other host, and derives its quota of a limit from its own rank. If a limit
// allows fewer calls than there are hosts, the hosts that rank first get one call each, and
// the others do not call the replica. The ranking differs from replica to replica, so that
// the calls to many replicas are spread over the hosts.
//
// # Contract
//
// Nothing here reads a clock or does I/O; the caller passes the time.
//
// Shares is immutable. The quotas of hosts that know the same hosts add up to the limit. A
// host that knows more hosts than the others gets the same quota or a smaller one, so hosts
// that still list dead ones stay within the limit. A host that knows fewer may get more
// than its share of the limit. A host that does not know its fleet yet must use NoQuota.
//
// A limit does not expire if its replica has not repeated it for a long time. Instead the
// hosts without a quota may begin single probe calls in turn. The limit is lifted by the
// first response that does not announce it, if the response is to an executed request or
// call for pieces (ReplicaResponse.Served). Thus a replica with a limit of zero is probed
// again, even if all replicas of a service announce such a limit, and the end of a limit is
// detected even if no host has a quota of it.
//
// A Limiter counts every call that begins at its replica, whichever component makes it. It
// enforces all quotas that are set, and each call counts against all of them.
//
// With loans the quotas still add up to the limit at most, in any window: a lender gets its calls
// back a window after the borrower's time is over. If a lender dies meanwhile and its share is
// divided anew, borrowers drop its loans once they know.
//
// LimitTable, Loans, LeavingReplicas and Backoffs are not safe for concurrent use. They must be
// passed only responses of the replica that the call was meant for: a response of another
// replica that has taken over the address says nothing about that replica.
package intake
