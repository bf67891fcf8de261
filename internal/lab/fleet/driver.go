package fleet

// This file owns a driver's process. No process is ended that this package did not start.

import (
	"bytes"
	"context"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/fleet/membership"
)

const statusTimeout = 2 * time.Second

// Driver is a place for processes of a driver, one at a time.
type Driver struct {
	Name    string
	Address string          // for clients
	Control *control.Client // of the process that runs now

	fleet  *Fleet
	index  int
	socket string
	mu     sync.Mutex
	log    bytes.Buffer  // of all processes
	cmd    *exec.Cmd     // nil while none runs
	ended  chan struct{} // closed when cmd has ended
}

// Write adds to the log.
func (d *Driver) Write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.Write(b)
}

// Log is what all processes have logged.
func (d *Driver) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// Start starts a process, which knows nothing of earlier ones but what its folders hold.
func (d *Driver) Start() error {
	if err := d.writeFiles(); err != nil {
		return err
	}
	cmd := exec.Command(d.fleet.options.Program, "run", "--config", d.file("json"), "--operator", d.file("hcl"))
	cmd.Stderr, cmd.Stdout = d, d
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended = cmd, ended
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait() // how it ended is for the page
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, if one runs.
func (d *Driver) Signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(signal) // it may have ended
	}
}

// Kill ends the process at once, and waits for its end.
func (d *Driver) Kill() { d.terminate(syscall.SIGKILL) }

// Stop shuts the process down gracefully, and waits for its end.
func (d *Driver) Stop() { d.terminate(syscall.SIGTERM) }

// terminate sends a signal that ends the process, and waits for its end.
func (d *Driver) terminate(signal syscall.Signal) {
	d.mu.Lock()
	cmd, ended := d.cmd, d.ended
	d.cmd = nil
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(signal) // it may have ended
		<-ended
	}
}

// Freeze pauses the process.
func (d *Driver) Freeze() { d.Signal(syscall.SIGSTOP) }

// Thaw resumes it.
func (d *Driver) Thaw() { d.Signal(syscall.SIGCONT) }

// Status is the process's view of the membership; an error while it does not answer.
func (d *Driver) Status() (membership.Status, error) {
	ctx, stop := context.WithTimeout(context.Background(), statusTimeout)
	defer stop()
	return d.Control.Membership(ctx)
}
