// Package proctest starts a fleet for process tests: entry daemons as real
// processes, the platform and the upstreams as stand-ins within the test's own
// process. Faults are real signals to the daemons, and the stand-ins' ledger
// says what was executed.
//
// Only tests import it.
package proctest
