// Package slowdown tracks how much slower than usual the machines of replicas are. Replicas
// report in their responses how long work takes at that moment, as a multiple of the usual
// time. The report has a component that changes rarely, the machine, and one that changes
// within a second, the load of other processes on the machine, which only ever adds time.
// A replica's baseline is the lowest slowdown that any host has observed within Window; it
// stands for the machine.
//
// # Contract
//
// Nothing here reads a clock, does I/O or starts goroutines; the caller passes the time. A
// Table is not safe for concurrent use.
//
// A lower observation takes effect at once. A host does not hear at once of all observations
// of the others: only changes are sent immediately, confirmations of a baseline only with the
// periodic resend. An observation above the baseline therefore raises it only if no
// confirmation has arrived for ConfirmationResends resends, or if the baseline is older than
// Window and this host has made RaiseSamples observations above it, at least SampleInterval
// apart, and none below it since. Confirmations that arrive again from other hosts restart these
// samples, so that raising a baseline may take ConfirmationResends resends in a fleet.
// Baseline.Expected lets a baseline above the usual time fade when nobody confirms it.
//
// Merge is commutative and idempotent. At any given time, baselines of one replica have a
// total order: those observed within Window come before older ones; among the former the
// lower one is first, among the latter the newer one. Merge keeps the first.
//
// Observe and Merge report a change if the baseline differs by MinChange or more from the
// one last reported for the replica. These are to be sent to other hosts soon. Resend, called
// once every ResendInterval, returns what to send regularly, at most about ResendSize
// baselines. The traffic thus depends on changes of machines and on the number of replicas,
// not on requests or on the fast-changing component.
//
// The memory is bounded by MaxReplicas entries. Further replicas are ignored until Prune
// makes room.
package slowdown
