// Package process starts and ends processes: the daemons of tests and of the
// soak.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

// Process is a process that this one has started.
type Process struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	err  error
}

// Start runs a program whose output is appended to the file log. The process
// ends with this one.
func Start(log, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	// Whoever started it may be killed and must leave nothing behind.
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
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Wait waits for the end of the process and returns how it ended.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("process %d still runs after %v", p.cmd.Process.Pid, timeout)
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns how the process ended, once Done is closed.
func (p *Process) Err() error { return p.err }

// Log returns what the process has written so far.
func (p *Process) Log() string {
	raw, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
