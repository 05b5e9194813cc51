package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// Settings of a small deployment, from the example in the users' DEPLOY.md.
const (
	memoryMB       = 284
	heartbeat      = 1200 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
	readyTimeout   = 15 * time.Second
	memoryInterval = 5 * time.Millisecond
)

// fleet is a platform with its store and the gateway daemons that run on it.
type fleet struct {
	rec     *recorder
	dir     string
	command []string
	store   *site.Store
	server  *http.Server
	address string
	daemons []*daemon
	stop    chan struct{}
	stopped sync.WaitGroup
}

// daemon is one gateway daemon, which the platform restarts when it ends.
type daemon struct {
	name, ip                     string
	callers, readiness, peers    int
	settings                     string
	mu                           sync.Mutex
	cmd                          *exec.Cmd
	closing                      bool
	memoryKills, exits, startedN int
	peakMB                       float64
}

// newFleet starts the store and writes the settings of n daemons. It starts no daemon.
func newFleet(rec *recorder, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, command: command, store: site.NewStore(), address: l.Addr().String(), stop: make(chan struct{})}
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(l) }()
	for i := range n {
		ip := loopbackIP(i)
		ports, err := freePorts(ip, 3)
		if err != nil {
			return nil, err
		}
		f.daemons = append(f.daemons, &daemon{name: fmt.Sprintf("edge-%d", i+1), ip: ip, callers: ports[0], readiness: ports[1], peers: ports[2]})
	}
	for _, d := range f.daemons {
		if err := f.writeSettings(d); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// loopbackIP is the address of a daemon's machine. It depends on the process so that two
// scripts do not meet.
func loopbackIP(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&0x3f, os.Getpid()&0xff, 10+i)
}

// freePorts returns n ports that nobody listens on at ip.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// deployCommand returns the command of the deploy file's role.
func deployCommand() ([]string, error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(v, `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no run command")
}

// writeSettings fills in the settings template of the deploy folder.
func (f *fleet) writeSettings(d *daemon) error {
	raw, err := os.ReadFile("deploy/settings.yaml.tmpl")
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range f.daemons[:min(3, len(f.daemons))] {
		seeds = append(seeds, strconv.Quote(s.peerAddress()))
	}
	text := strings.NewReplacer(
		"{{^bootstrap}}false #{{/bootstrap}}{{bootstrap|json}}", "true",
		"{{listen.admin}}", d.peerAddress(), "{{node_name}}", d.name, "{{zone}}", "miraflores",
		"{{listen.public_addr}}", d.callerAddress(), "{{listen.readiness}}", fmt.Sprintf("%s:%d", d.ip, d.readiness),
		"{{ip}}", d.ip, "{{seed_nodes|json}}", "["+strings.Join(seeds, ", ")+"]",
		`[{{#zones}}{failure_domain: "{{@}}", region: "{{.}}"}{{,}}{{/zones}}]`, `[{failure_domain: "miraflores", region: "lima"}]`,
		"{{platform.address}}", f.address, "{{bounds.drain_ms}}", "2000", "{{bounds.config_ms}}", "2000", "{{bounds.grace_s}}", "8",
		"{{bounds.retry_ratio}}", "0.2", "{{bounds.retry_slack}}", "54", "{{bounds.retry_window_s}}", "10",
		"{{bounds.warmup_overage}}{{^bounds.warmup_overage}}1{{/bounds.warmup_overage}}", "1",
		"{{bounds.warmup_slack}}{{^bounds.warmup_slack}}0{{/bounds.warmup_slack}}", "0",
		"{{limits.cpus}}", "1", "{{limits.cpu_quota}}", "0.4", "{{limits.memory_mb}}", strconv.Itoa(memoryMB),
	).Replace(string(raw))
	if strings.Contains(text, "{{") {
		return fmt.Errorf("settings template has an unknown placeholder: %s", text)
	}
	d.settings = filepath.Join(f.dir, d.name+".yaml")
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

func (d *daemon) callerAddress() string { return fmt.Sprintf("%s:%d", d.ip, d.callers) }
func (d *daemon) peerAddress() string   { return fmt.Sprintf("%s:%d", d.ip, d.peers) }

// start starts all daemons and waits until they are ready.
func (f *fleet) start() error {
	for _, d := range f.daemons {
		f.stopped.Go(func() { f.supervise(d) })
	}
	deadline := time.Now().Add(readyTimeout)
	for _, d := range f.daemons {
		for !d.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", d.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// ready asks the readiness address as the platform does.
func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d%s", d.ip, d.readiness, wire.ReadyPath))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// supervise runs a daemon, and starts it again after a short delay when it has ended.
func (f *fleet) supervise(d *daemon) {
	for {
		out, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			f.rec.line("platform: %s: %v", d.name, err)
			return
		}
		d.mu.Lock()
		if d.closing {
			d.mu.Unlock()
			_ = out.Close()
			return
		}
		d.cmd = exec.Command(f.command[0], f.command[1:]...)
		d.cmd.Env = append(os.Environ(), "WHEATSEAM_NODE_FILE="+d.settings)
		d.cmd.Stdout, d.cmd.Stderr = out, out
		// The daemon ends with this process, also if that is killed.
		d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err = d.cmd.Start()
		d.startedN++
		cmd := d.cmd
		d.mu.Unlock()
		if err != nil {
			f.rec.line("platform: %s cannot be started: %v", d.name, err)
			return
		}
		f.rec.line("platform: %s started, callers at %s", d.name, d.callerAddress())
		ended := make(chan struct{})
		go f.watchMemory(d, cmd.Process.Pid, ended)
		err = cmd.Wait()
		close(ended)
		_ = out.Close()
		d.mu.Lock()
		closing := d.closing
		d.exits++
		d.mu.Unlock()
		if closing {
			return
		}
		f.rec.line("platform: %s has ended: %v", d.name, err)
		select {
		case <-f.stop:
			return
		case <-time.After(restartDelay):
		}
	}
}

// watchMemory kills a process whose memory exceeds memory_mb, as the platform does.
func (f *fleet) watchMemory(d *daemon, pid int, ended chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		mb := residentMB(pid)
		d.mu.Lock()
		d.peakMB = max(d.peakMB, mb)
		over := mb > memoryMB && !d.closing
		if over {
			d.memoryKills++
			_ = d.cmd.Process.Signal(syscall.SIGKILL)
		}
		d.mu.Unlock()
		if over {
			f.rec.line("platform: %s uses %.0f MB, over its memory_mb of %d: killed", d.name, mb, memoryMB)
			return
		}
	}
}

// residentMB returns the resident memory of a process in units of 2^20 bytes.
func residentMB(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// signal sends a signal to the running process of a daemon.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	close(f.stop)
	for _, d := range f.daemons {
		d.mu.Lock()
		d.closing = true
		d.mu.Unlock()
		d.signal(syscall.SIGKILL)
	}
	f.stopped.Wait()
	_ = f.server.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	w     io.Writer
	began time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
