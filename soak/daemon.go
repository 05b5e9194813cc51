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

// The ports of a daemon; each has an IP of its own on the loopback network.
const (
	portCallers   = 7501
	portReadiness = 7502
	portPeers     = 7503
	portRelayed   = 7504 // where the fellows reach it, through a relay
)

var nextIP atomic.Uint32

// ownIP is an address on the loopback network that no other process uses.
func ownIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 130+os.Getpid()>>8&0x3f, os.Getpid()&0xff, 1+nextIP.Add(1)%250)
}

// simulatedSleep is what a daemon is told at SIGUSR1 that its host has slept: hosts
// cannot be put to sleep here.
const simulatedSleep = 4 * time.Second

// daemon is one gateway process, restarted with the same settings.
type daemon struct {
	name, ip, dir string
	binary        string
	store         *faultrelay.Relay // its way to the store
	peers         *faultrelay.Relay // its fellows' way to it

	// restarting is held while the process is ended and started again.
	restarting sync.Mutex

	mu      sync.Mutex
	process *process.Process
	ended   chan struct{}
	life    int
	revised int
	// graceful says that the process was asked to stop and not harmed since.
	graceful bool
	// disturbed is when a fault that may cost requests last touched it.
	disturbed time.Time
	// halts are when the process was killed, stopped and continued; stopped says that
	// it is stopped.
	halts   []time.Time
	stopped bool
	// stops are when it was asked to stop.
	stops []time.Time
	// ends counts processes that ended without being told to.
	ends int
}

func (d *daemon) callers() string   { return fmt.Sprintf("%s:%d", d.ip, portCallers) }
func (d *daemon) readiness() string { return fmt.Sprintf("%s:%d", d.ip, portReadiness) }
func (d *daemon) host() string      { return d.peers.Address() }

// newDaemon prepares a daemon behind relays.
func newDaemon(name, binary, dir, store string) (*daemon, error) {
	d := &daemon{name: name, ip: ownIP(), dir: dir, binary: binary}
	var err error
	if d.store, err = faultrelay.New(faultrelay.Config{Target: store}); err != nil {
		return nil, err
	}
	d.peers, err = faultrelay.New(faultrelay.Config{
		Listen: fmt.Sprintf("%s:%d", d.ip, portRelayed), Target: fmt.Sprintf("%s:%d", d.ip, portPeers),
	})
	if err != nil {
		return nil, errors.Join(err, d.store.Close())
	}
	return d, nil
}

// writeSettings writes the settings file; each call changes something in it.
func (d *daemon) writeSettings(seeds []string) error {
	d.mu.Lock()
	d.revised++
	revised := d.revised
	d.mu.Unlock()
	text := fmt.Sprintf(`host: %q
name: %q
failure_domain: x
listen: {callers: %q, readiness: %q, peers: "%s:%d"}
seeds: [%s]
store: {address: %q}
bounds: {drain: 2s, configuration: 2s}
drain: {grace: 4s}
budget: {ratio: 0.2, slack: %d, window: 10s}
limits: {processors: 1, memory_mb: 256}
`, d.host(), d.name, d.callers(), d.readiness(), d.ip, portPeers, quoted(seeds), d.store.Address(), budgetSlack+revised%2)
	return os.WriteFile(d.settings(), []byte(text), 0o600)
}

func (d *daemon) settings() string { return filepath.Join(d.dir, d.name+".yaml") }

func quoted(names []string) string {
	var out string
	for i, n := range names {
		if i > 0 {
			out += ", "
		}
		out += fmt.Sprintf("%q", n)
	}
	return out
}

// start starts the process.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, err := process.Start(filepath.Join(d.dir, d.name+".log"), d.binary, "gateway", "--settings", d.settings(), "--simulated-sleep", simulatedSleep.String())
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	d.process, d.ended, d.graceful = p, ended, false
	d.life++
	go func() {
		<-p.Done()
		d.mu.Lock()
		defer d.mu.Unlock()
		if err := p.Err(); !d.graceful && (err == nil || !signalled(err)) {
			d.ends++
		}
		close(ended)
	}()
	return nil
}

// signalled says whether a process was ended by a signal.
func signalled(err error) bool {
	var e *exec.ExitError
	if !errors.As(err, &e) {
		return false
	}
	status, ok := e.Sys().(syscall.WaitStatus)
	return ok && status.Signaled()
}

// signal sends a signal to the process, if it runs.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return
	}
	switch s {
	case syscall.SIGTERM:
		d.graceful = true
		d.stops = append(d.stops, time.Now())
	case syscall.SIGKILL, syscall.SIGSTOP:
		d.disturbed = time.Now()
	}
	if s == syscall.SIGKILL || s == syscall.SIGSTOP || s == syscall.SIGCONT && d.stopped {
		d.halts = append(d.halts, time.Now())
		d.stopped = s == syscall.SIGSTOP
	}
	_ = d.process.Signal(s) // a process that has ended takes none
}

// stop ends the process, at the latest after the grace, and waits for it.
func (d *daemon) stop(s syscall.Signal) {
	d.signal(syscall.SIGCONT)
	d.signal(s)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(grace + time.Second):
		d.signal(syscall.SIGKILL)
		<-ended
	}
}

// close ends process and relays.
func (d *daemon) close() {
	d.stop(syscall.SIGKILL)
	_ = d.store.Close()
	_ = d.peers.Close()
}

// ready says whether the daemon takes requests.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: 200 * time.Millisecond}
	resp, err := client.Get("http://" + d.readiness() + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// touched notes a fault that may cost requests.
func (d *daemon) touched() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbed = time.Now()
}

// calm says whether no such fault touched the daemon since a time.
func (d *daemon) calm(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.disturbed.Before(since)
}

// ranThrough says whether the process ran on all the time from one moment to another.
func (d *daemon) ranThrough(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !slices.ContainsFunc(d.halts, func(at time.Time) bool { return at.After(from) && at.Before(to) })
}

// graceOver says whether the last part of the grace had come at a moment, for what began
// at another.
func (d *daemon) graceOver(began, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.stops, func(stop time.Time) bool {
		return began.Before(stop.Add(grace)) && at.After(stop.Add(grace-lastOfGrace))
	})
}

// lives returns which life of the daemon runs.
func (d *daemon) lives() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life
}
