package crowd

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/wheatseam/wheatseam/internal/proctest"
)

// Daemon is the first daemon of a fleet with the project's own interface.
type Daemon struct{ fleet *proctest.Fleet }

// StartDaemon starts a fleet that ends with the test. The package removes the binary in its TestMain.
func StartDaemon(t testing.TB) *Daemon {
	t.Helper()
	t.Setenv(proctest.RaceEnv, "") // the race detector multiplies the memory of the process
	f, err := proctest.Start(t.TempDir(), proctest.Options{})
	must(t, err)
	d := &Daemon{f}
	t.Cleanup(func() {
		f.Close()
		if t.Failed() {
			t.Logf("log of the process:\n%s", tail(f.Daemons[0].Log()))
		}
	})
	return d
}

// Callers and Operators are the addresses of the listeners.
func (d *Daemon) Callers() string   { return d.fleet.CallerAddress(0) }
func (d *Daemon) Operators() string { return d.fleet.OperatorAddress(0) }

// Watch starts measuring the process.
func (d *Daemon) Watch() *Monitor {
	return Watch(d.fleet.Daemons[0].Pid(), d.Callers(), d.Operators())
}

// Alive returns an error if the process has ended.
func (d *Daemon) Alive() error { return alive(d.fleet.Daemons[0].Process) }

// Answers returns nil once an ordinary request and one of an operator have been answered, each on a
// new connection.
func (d *Daemon) Answers() error {
	return awaitAnswer(d.fleet.Daemons[0].Process, func() error {
		http.DefaultClient.CloseIdleConnections()
		if o := d.fleet.Call(0, proctest.PipelineSummary, proctest.NewKey(), "ordinary"); !o.Answered() {
			return fmt.Errorf("status %d: %v", o.Status, o.Err)
		}
		return d.fleet.CallOperatorAPI(0, http.MethodGet, "/v1/status", nil)
	})
}
