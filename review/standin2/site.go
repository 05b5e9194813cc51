package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	standin "github.com/wheatseam/wheatseam/internal/standin/site"
)

// site is a small deployment: a store, daemons and whatever a case adds to them.
type site struct {
	began  time.Time
	dir    string
	store  *standin.Store
	server *http.Server
	// storeAddress is the ip:port of the store.
	storeAddress string
	daemons      []*daemon

	mu     sync.Mutex
	record *os.File
}

// newSite starts the store. The record is written to the given file.
func newSite(record string) (*site, error) {
	if _, err := os.Stat(daemonBinary); err != nil {
		return nil, fmt.Errorf("the deploy file's build has not run: %w", err)
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Join(err, out.Close())
	}
	s := &site{began: time.Now(), dir: dir, store: standin.NewStore(), record: out}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.close()
		return nil, err
	}
	s.storeAddress = listener.Addr().String()
	s.server = &http.Server{Handler: withoutEra(s.store), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }() // returns after close
	return s, nil
}

// withoutEra drops a header that the project's stand-in adds and the users' pages do not have.
func withoutEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&eraDropper{w}, r)
	})
}

type eraDropper struct{ http.ResponseWriter }

func (w *eraDropper) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraDropper) Write(b []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(b)
}

// close ends all processes and removes the temporary folder.
func (s *site) close() {
	for _, d := range s.daemons {
		d.kill()
	}
	if s.server != nil {
		_ = s.server.Close() // the case is over
	}
	_ = os.RemoveAll(s.dir) // a temporary folder
	_ = s.record.Close()
}

// note writes a line to the record, with the time since the start.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// The limits of a machine of the small deployment in Lima.
const (
	memoryMB       = 284
	processorShare = 0.4
)

// daemonBinary is what the build of the deploy file makes, from the root of the repository.
const daemonBinary = "target/wheatseamd"

// daemon is one gateway daemon on a loopback address of its own.
type daemon struct {
	site     *site
	name     string
	ip       string
	zone     string
	settings string

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// The ports of each daemon; each has an address of its own.
const (
	portPublic    = 8625
	portReadiness = 8621
	portAdmin     = 8628
)

// zones is the number of zones, with one daemon each.
const zones = 3

// startDaemons starts the daemons and waits until all are ready.
func (s *site) startDaemons() error {
	pid := os.Getpid()
	var seeds []string
	for i := range zones {
		d := &daemon{site: s, name: fmt.Sprintf("edge-%d", i+1), zone: fmt.Sprintf("zone-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, 10+i)}
		s.daemons = append(s.daemons, d)
		seeds = append(seeds, fmt.Sprintf("%q", d.address(portAdmin)))
	}
	for _, d := range s.daemons {
		d.settings = filepath.Join(s.dir, d.name+".yaml")
		if err := os.WriteFile(d.settings, []byte(d.render(strings.Join(seeds, ","))), 0o600); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := d.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// render fills in deploy/settings.yaml.tmpl for the daemon.
func (d *daemon) render(seeds string) string {
	var regions []string
	for _, o := range d.site.daemons {
		regions = append(regions, fmt.Sprintf("{failure_domain: %q, region: lima}", o.zone))
	}
	return fmt.Sprintf(`host: %q
name: %q
failure_domain: %q
listen:
  callers: %q
  readiness: %q
  peers: %q
  metrics: "%s:9464"
seeds: [%s]
regions: [%s]
store:
  address: %q
bounds:
  drain: "2000ms"
  configuration: "2000ms"
drain:
  grace: "8s"
budget:
  ratio: 0.2
  slack: 54
  window: "10s"
cold:
  overage: 1
  slack: 0
limits:
  processors: 1
  processor_share: %g
  memory_mb: %d
stages:
  fair_shares: true
`, d.address(portAdmin), d.name, d.zone, d.address(portPublic), d.address(portReadiness), d.address(portAdmin), d.ip, seeds, strings.Join(regions, ", "), d.site.storeAddress, processorShare, memoryMB)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	out, err := os.OpenFile(filepath.Join(d.site.dir, d.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(daemonBinary, "gateway")
	cmd.Env = append(os.Environ(), "WHEATSEAM_NODE_FILE="+d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	// The daemon ends with this process.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan struct{})
	started := make(chan error)
	go func() {
		// The signal comes when the thread ends that started the daemon.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := cmd.Start()
		started <- err
		if err != nil {
			return
		}
		err = cmd.Wait()
		d.site.note("the process of %s has ended: %v", d.name, err)
		close(done)
	}()
	if err := <-started; err != nil {
		return err
	}
	d.mu.Lock()
	d.cmd, d.done = cmd, done
	d.mu.Unlock()
	d.site.note("the process of %s started, pid %d", d.name, cmd.Process.Pid)
	return nil
}

// process returns the running process and the channel that is closed when it has ended.
func (d *daemon) process() (*os.Process, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return nil, nil
	}
	return d.cmd.Process, d.done
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	p, done := d.process()
	if p == nil {
		return
	}
	_ = p.Kill() // the process may have ended
	<-done
}

// ready reports whether the daemon says that it is ready.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: 200 * time.Millisecond}
	resp, err := client.Get("http://" + d.address(portReadiness) + names.Ready)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (d *daemon) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.ready() {
			d.site.note("%s is ready", d.name)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %s", d.name, limit)
}
