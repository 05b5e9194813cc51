// Package reach decides which replicas this host should avoid because no connection to them
// can be established: by failed connection attempts of this host, and by those that other
// hosts report. A machine that has lost power neither answers nor refuses connections, and is
// listed until its heartbeats expire; if each host finds out for itself, each of its first
// attempts costs a request a connect time-out.
//
// # Contract
//
// Nothing here reads a clock, does I/O or starts goroutines; the caller passes the time. A
// Table is not safe for concurrent use.
//
// A replica counts as unreachable
//
//   - after a failed attempt of this host: for OwnPeriod, twice as long after each further
//     failure, at most MaxOwnPeriod. Attempts that began before the last failure do not count
//     as further ones. A success ends it.
//   - while at least two other hosts have reported a failure within ReportPeriod, from different
//     failure domains if the deployment has several. Reports are evidence of where the reporter
//     is, too: they are ignored once this host has reached the replica after a report, until an
//     attempt of this host fails, and hold for MaxReportedPeriod without an attempt of this
//     host. Each side of a partition thus uses what it can reach.
//
// Afterwards the replica is on probation until an attempt of this host succeeds: callers send
// it one call at a time. Entries without news for Retention are dropped, which also ends the
// probation.
//
// If attempts to over half of a service's replicas have failed here, this host's own network is
// the likelier cause. Its own evidence on the service is then neither used nor reported.
//
// A host with own evidence is asked by DueProbes to open a connection each ProbeInterval, unless
// enough others have done so. That keeps reports fresh, so that no request has to meet an
// unreachable replica again, and ends them soon after it is back. A host that has only reports is
// asked to try the replica before they hold no longer.
//
// The memory is bounded: at most MaxReplicas entries of at most MaxReporters reports.
package reach
