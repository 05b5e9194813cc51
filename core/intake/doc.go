// Package intake bounds the calls at replicas that take only so many from all hosts
// together, though no host asks another before a call: those that have just started,
// and those that name a limit in their answers. It keeps account of these limits.
//
// Each host ranks the hosts that it knows by a hash of host and replica, as all
// others do, and takes its part of a bound by its own rank. Where a bound has fewer
// calls than there are hosts, those that rank first have one each, and the others
// leave the replica alone. Every replica ranks them anew, so that the calls of many
// are spread over the hosts.
//
// # Contract
//
// Nothing here reads a clock or does I/O; the caller passes the time.
//
// Shares is immutable. Parts of hosts that know the same hosts add up to the bound. A
// host that knows more than the others takes the same part or a smaller one, so that
// hosts which remember the dead stay within the bound; one that knows fewer may take
// more than is its own. Who has not learned of its fleet yet must take nothing.
//
// A limit that its replica was not heard to repeat for long does not end by itself: it
// lets single calls pass, one host after the other, and ends with the first answer of a
// run that does not name it. So a replica that names a limit of none, or all replicas of
// a service that do, are asked again, and a limit that nobody has a part of is found to
// be lifted.
//
// A Gate counts every call that is begun at its replica, whoever begins it. It refuses
// by all parts that are set, and a call counts for each of them.
//
// An Account is not safe for concurrent use. It is told of answers only that come from
// the replica that was asked: one that has taken over an address, or an answer to
// another request, says nothing of it.
package intake
