package proctest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a daemon that a test started.
type Process struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	err  error
}

// startProcess runs a program whose output goes to the file log.
func startProcess(log, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	// A test that is killed must not leave daemons behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &Process{cmd: cmd, log: log, done: make(chan struct{})}
	started := make(chan error)
	go func() {
		// Pdeathsig is tied to the thread that starts the process.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := cmd.Start()
		started <- err
		if err != nil {
			return
		}
		p.err = cmd.Wait()
		close(p.done)
	}()
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	return p, nil
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze stops the process until Thaw.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Wait waits for the end of the process and returns how it ended.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("process %d still runs after %v", p.cmd.Process.Pid, timeout)
	}
}

// Log returns what the process has written so far.
func (p *Process) Log() string {
	raw, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// RaceEnv is the environment variable that has the daemons built with the race
// detector. What it finds is in their logs (see RaceFound).
const RaceEnv = "WHEATSEAM_RACE"

// RaceFound reports whether the race detector has found a race in the process.
func (p *Process) RaceFound() bool { return strings.Contains(p.Log(), "WARNING: DATA RACE") }

var build struct {
	once sync.Once
	dir  string
	err  error
}

// daemonBinary builds wheatseamd once for the test binary.
func daemonBinary() (string, error) {
	build.once.Do(func() {
		build.dir, build.err = os.MkdirTemp("", "wheatseam-proctest")
		if build.err != nil {
			return
		}
		args := []string{"build", "-o", build.dir}
		if os.Getenv(RaceEnv) != "" {
			args = append(args, "-race")
		}
		cmd := exec.Command("go", append(args, "github.com/wheatseam/wheatseam/cmd/wheatseamd")...)
		if out, err := cmd.CombinedOutput(); err != nil {
			build.err = fmt.Errorf("build wheatseamd: %w: %s", err, out)
		}
	})
	return filepath.Join(build.dir, "wheatseamd"), build.err
}

// Cleanup removes the built binary. Call it once when all tests are over.
func Cleanup() {
	if build.dir != "" {
		_ = os.RemoveAll(build.dir)
	}
}
