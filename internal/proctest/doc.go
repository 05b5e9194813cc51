// Package proctest starts a fleet for process tests. The entry daemons are real
// processes; the platform and the upstreams are simulated in the test's own
// process. Tests inject faults by signals to the daemons, by the relays between
// them and in the simulated upstreams, whose ledger records what was executed.
//
// Only tests import this package.
package proctest
