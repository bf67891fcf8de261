package fleet

// This file owns a driver's process. Only processes that this package started are ended.

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

// Driver is a driver of a fleet, which has at most one running process at a time.
type Driver struct {
	Name    string
	Address string          // for clients
	Control *control.Client // client of the running process's control socket

	fleet  *Fleet
	index  int
	socket string
	mu     sync.Mutex
	log    bytes.Buffer  // output of all its processes
	cmd    *exec.Cmd     // nil while no process runs
	ended  chan struct{} // closed when cmd has ended
}

// Write appends to the log.
func (d *Driver) Write(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.Write(b)
}

// Log returns the output of all the driver's processes.
func (d *Driver) Log() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.log.String()
}

// Start starts a process. Its only state of earlier processes is what its folders hold.
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
		_ = cmd.Wait() // the exit status is not used
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process, if one is running.
func (d *Driver) Signal(signal syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(signal) // it may have ended
	}
}

// Kill kills the process and waits for its end.
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

// Freeze suspends the process.
func (d *Driver) Freeze() { d.Signal(syscall.SIGSTOP) }

// Thaw resumes the process.
func (d *Driver) Thaw() { d.Signal(syscall.SIGCONT) }

// Status returns the process's view of the membership, or an error if it does not answer.
func (d *Driver) Status() (membership.Status, error) {
	ctx, stop := context.WithTimeout(context.Background(), statusTimeout)
	defer stop()
	return d.Control.Membership(ctx)
}
