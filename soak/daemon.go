package soak

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/internal/faultrelay"
	"github.com/wheatseam/wheatseam/internal/process"
	"github.com/wheatseam/wheatseam/platform"
)

// The ports of a daemon. Each daemon has its own loopback IP.
const (
	portCallers      = 7501
	portReadiness    = 7502
	portPeers        = 7503
	portRelayedPeers = 7504 // relay to portPeers, where the other daemons connect
)

// ipCounter numbers the IPs that uniqueLoopbackIP has returned.
var ipCounter atomic.Uint32

// uniqueLoopbackIP returns a loopback IP that other soaks on this machine are unlikely to
// use: it is made of 14 bits of the process id and a number that repeats after 250 calls.
func uniqueLoopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 130+os.Getpid()>>8&0x3f, os.Getpid()&0xff, 1+ipCounter.Add(1)%250)
}

// simulatedSuspension is the time for which a daemon takes its host to have been
// suspended when it gets SIGUSR1. It replaces a real suspension of the host, which a
// test cannot cause.
const simulatedSuspension = 4 * time.Second

// daemon is one gateway daemon, which may be restarted with the same settings.
type daemon struct {
	name, ip, dir string
	binary        string
	// failureDomain is that of the daemon's host.
	failureDomain string
	storeRelay    *faultrelay.Relay // from the daemon to the store
	peerRelay     *faultrelay.Relay // from the other daemons to this one

	// restarting is held while the process is being restarted.
	restarting sync.Mutex

	mu               sync.Mutex
	process          *process.Process
	exited           chan struct{}
	incarnation      int
	settingsRevision int
	// sigtermSent is set when the running process was sent SIGTERM.
	sigtermSent bool
	// disturbances are the times of the faults that may make its requests fail.
	disturbances []time.Time
	// linkFaults are the times at which a fault began on the connections from its peers.
	linkFaults []time.Time
	// interruptions are the times at which the process was killed, suspended (SIGSTOP)
	// or resumed (SIGCONT); suspended is set while it is suspended.
	interruptions []time.Time
	suspended     bool
	// sigtermTimes are the times at which SIGTERM was sent.
	sigtermTimes []time.Time
	// unexpectedExits counts exits that no signal requested or caused.
	unexpectedExits int
}

func (d *daemon) callerAddress() string    { return fmt.Sprintf("%s:%d", d.ip, portCallers) }
func (d *daemon) readinessAddress() string { return fmt.Sprintf("%s:%d", d.ip, portReadiness) }
func (d *daemon) peerAddress() string      { return d.peerRelay.Address() }

// newDaemon prepares a daemon whose connections to the store and from its peers pass
// through relays. It does not start the process.
func newDaemon(name, binary, dir, store string) (*daemon, error) {
	d := &daemon{name: name, ip: uniqueLoopbackIP(), dir: dir, binary: binary, failureDomain: failureDomains[0]}
	var err error
	if d.storeRelay, err = faultrelay.New(faultrelay.Config{Target: store}); err != nil {
		return nil, err
	}
	d.peerRelay, err = faultrelay.New(faultrelay.Config{
		Listen: fmt.Sprintf("%s:%d", d.ip, portRelayedPeers), Target: fmt.Sprintf("%s:%d", d.ip, portPeers),
	})
	if err != nil {
		return nil, errors.Join(err, d.storeRelay.Close())
	}
	return d, nil
}

// writeSettings writes the settings file. Each call changes the budget's slack, so that
// there is something to reload.
func (d *daemon) writeSettings(seeds []string) error {
	d.mu.Lock()
	d.settingsRevision++
	revision := d.settingsRevision
	d.mu.Unlock()
	text := fmt.Sprintf(`host: %q
name: %q
failure_domain: %s
listen: {callers: %q, readiness: %q, peers: "%s:%d"}
seeds: [%s]
store: {address: %q}
bounds: {drain: 2s, configuration: 2s}
drain: {grace: 4s}
budget: {ratio: 0.2, slack: %d, window: 10s}
limits: {processors: 1, memory_mb: %d}
`, d.peerAddress(), d.name, d.failureDomain, d.callerAddress(), d.readinessAddress(), d.ip, portPeers, quoteAll(seeds), d.storeRelay.Address(), budgetSlack+revision%2, MaxMemoryMB)
	return os.WriteFile(d.settingsPath(), []byte(text), 0o600)
}

func (d *daemon) settingsPath() string { return filepath.Join(d.dir, d.name+".yaml") }

func quoteAll(names []string) string {
	var out string
	for i, n := range names {
		if i > 0 {
			out += ", "
		}
		out += fmt.Sprintf("%q", n)
	}
	return out
}

// start starts the process. Once it has exited, an unexpected exit is counted.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, err := process.Start(filepath.Join(d.dir, d.name+".log"), d.binary, "gateway", "--settings", d.settingsPath(), "--simulated-sleep", simulatedSuspension.String(), "--simulated-cut", simulatedCut.String())
	if err != nil {
		return err
	}
	exited := make(chan struct{})
	d.process, d.exited, d.sigtermSent = p, exited, false
	d.incarnation++
	go func() {
		<-p.Done()
		d.mu.Lock()
		defer d.mu.Unlock()
		if err := p.Err(); !d.sigtermSent && (err == nil || !killedBySignal(err)) {
			d.unexpectedExits++
		}
		close(exited)
	}()
	return nil
}

// killedBySignal reports whether a signal ended a process.
func killedBySignal(err error) bool {
	var e *exec.ExitError
	if !errors.As(err, &e) {
		return false
	}
	status, ok := e.Sys().(syscall.WaitStatus)
	return ok && status.Signaled()
}

// signal records a signal and sends it to the process, if one was started.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return
	}
	switch s {
	case syscall.SIGTERM:
		d.sigtermSent = true
		d.sigtermTimes = append(d.sigtermTimes, time.Now())
	case syscall.SIGKILL, syscall.SIGSTOP:
		d.disturbances = append(d.disturbances, time.Now())
	}
	if s == syscall.SIGKILL || s == syscall.SIGSTOP || s == syscall.SIGCONT && d.suspended {
		d.interruptions = append(d.interruptions, time.Now())
		d.suspended = s == syscall.SIGSTOP
	}
	_ = d.process.Signal(s) // fails if the process has exited
}

// stop resumes the process, sends it s and waits for its exit. If it does not exit within
// a second after shutdownGrace, stop kills it.
func (d *daemon) stop(s syscall.Signal) {
	d.signal(syscall.SIGCONT)
	d.signal(s)
	d.mu.Lock()
	exited := d.exited
	d.mu.Unlock()
	if exited == nil {
		return
	}
	select {
	case <-exited:
	case <-time.After(shutdownGrace + time.Second):
		d.signal(syscall.SIGKILL)
		<-exited
	}
}

// close kills the process and closes the relays.
func (d *daemon) close() {
	d.stop(syscall.SIGKILL)
	_ = d.storeRelay.Close()
	_ = d.peerRelay.Close()
}

// ready reports whether the daemon's readiness endpoint answers 200.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: 200 * time.Millisecond}
	resp, err := client.Get("http://" + d.readinessAddress() + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// recordDisturbance records a fault that may make requests fail.
func (d *daemon) recordDisturbance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbances = append(d.disturbances, time.Now())
}

// recordLinkFault records a fault that begins on the connections from the daemon's peers.
func (d *daemon) recordLinkFault() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.linkFaults = append(d.linkFaults, time.Now())
}

// linkFaultBetween reports whether such a fault began between from and to.
func (d *daemon) linkFaultBetween(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return anyBetween(d.linkFaults, from, to)
}

// undisturbedSince reports whether the daemon's last such fault was before since.
func (d *daemon) undisturbedSince(since time.Time) bool {
	return d.undisturbedBetween(since, time.Now())
}

// undisturbedBetween reports whether there was no such fault between from and to.
func (d *daemon) undisturbedBetween(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !anyBetween(d.disturbances, from, to)
}

// anyBetween reports whether one of the times is not before from and not after to.
func anyBetween(times []time.Time, from, to time.Time) bool {
	return slices.ContainsFunc(times, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// ranUninterrupted reports whether the process was not killed, suspended or resumed between
// from and to.
func (d *daemon) ranUninterrupted(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !anyBetween(d.interruptions, from, to)
}

// stoppedBetween reports whether SIGTERM was sent between from and to.
func (d *daemon) stoppedBetween(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return anyBetween(d.sigtermTimes, from, to)
}

// graceEnding reports whether a request that began at startedAt had reached the tail of
// the shutdown grace at the time at, so that the daemon was allowed to end it.
func (d *daemon) graceEnding(startedAt, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.sigtermTimes, func(stop time.Time) bool {
		return startedAt.Before(stop.Add(shutdownGrace)) && at.After(stop.Add(shutdownGrace-shutdownGraceTail))
	})
}

// currentIncarnation returns the number of the daemon's current process, counted from 1.
func (d *daemon) currentIncarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}
