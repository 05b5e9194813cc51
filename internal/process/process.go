// Package process starts and stops child processes, such as the daemons of tests
// and of the soak test.
package process

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"time"
)

// Process is a child process.
type Process struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	err  error
}

// Start runs program and appends its output to the file log. The child is killed
// when this process ends.
func Start(log, program string, args ...string) (*Process, error) {
	out, err := os.OpenFile(log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The parent may itself be killed, and no child may outlive it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &Process{cmd: cmd, log: log, done: make(chan struct{})}
	started := make(chan error)
	go func() {
		// The kernel sends Pdeathsig when the thread that started the child
		// exits, so that thread must live as long as the child.
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

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends s to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Suspend suspends the process with SIGSTOP until Resume is called.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Wait waits until the process has exited and returns the error of its exit. It
// returns an error if the process is still running after timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("process %d is still running after %v", p.cmd.Process.Pid, timeout)
	}
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the error of the exit; nil for exit status 0. It may be called only
// after Done is closed.
func (p *Process) Err() error { return p.err }

// Log returns the content of the log file, or the text of the error if the file
// cannot be read.
func (p *Process) Log() string {
	raw, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}
