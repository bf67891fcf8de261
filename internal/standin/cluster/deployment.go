package cluster

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"weirwind/internal/controlplane"
	"weirwind/internal/controlplane/agent"
	"weirwind/internal/controlplane/consensus/store"
	"weirwind/internal/dataplane/proxy"
	"weirwind/internal/session/edge"
	"weirwind/internal/session/site"
	"weirwind/internal/standin/disk"
	"weirwind/internal/standin/loopback"
	"weirwind/internal/util/process"
)

const (
	roleVariable = "WEIRWIND_TEST_ROLE"
	diskVariable = "WEIRWIND_TEST_DISK" // path of the control file of the machine's disk
)

// Main runs a role if the environment names one, else the tests, and returns the exit code.
func Main(m *testing.M) int {
	roles := map[string]process.Role{"proxy": {Name: "proxy", Run: proxy.Run}, "agent": {Name: "agent", Run: agent.Run},
		"controlplane": {Name: "controlplane", Run: controlplane.Run},
		"sessionsite":  {Name: "sessionsite", Run: site.Run}, "sessionedge": {Name: "sessionedge", Run: edge.Run}}
	if control := os.Getenv(diskVariable); control != "" {
		store.FS = disk.FaultyFS(control)
	}
	if r, ok := roles[os.Getenv(roleVariable)]; ok {
		return process.Main(r, nil, os.Stdout)
	}
	return m.Run()
}

// Deployment is a running deployment. Its processes are named core0, agent0, proxy0, site0, edge0 and so on; the agent
// and the proxy of the same number share a machine, called a front.
type Deployment struct {
	Service *Service            // the service svc with the members a, b and c
	Nodes   map[string]*Service // the nodes that hold shards, by name
	Cores   []string            // control addresses of the core machines

	t           *testing.T
	dir         string
	block       *loopback.Block // of the deployment's addresses
	basePort    int
	meshPorts   map[string]int      // by process: the first port of its mesh port range, if not basePort
	feeds       map[string]string   // by proxy: the address at which it reaches its agent, if not the agent's own
	seeds       map[string][]string // by process: core machines' addresses in its settings, if not the first three
	mu          sync.Mutex          // guards the next three
	processes   map[string]*exec.Cmd
	terminating map[string]*exec.Cmd // by name: the processes that were told to end and have not ended yet
	logs        map[string]*bytes.Buffer
	ctx         context.Context // of members, heartbeats and the platform; done when the deployment stops
	platform    string          // the address of the platform's API
	stop        func()

	heartbeatPeriod time.Duration // of members
}

// memberIDs are the ids of the members of svc.
var memberIDs = []string{"a", "b", "c"}

// New starts core machines, fronts (machines with an agent and a proxy) and a service of three members with heartbeats.
// All of it stops at the end of the test.
func New(t *testing.T, cores, fronts int) *Deployment {
	t.Helper()
	return newDeployment(t, cores, fronts, func(*Deployment) {}, sameAddr)
}

// NewWithHeartbeats is New with a heartbeat of each member once a period, and at once after a change of its role.
func NewWithHeartbeats(t *testing.T, cores, fronts int, period time.Duration) *Deployment {
	t.Helper()
	return newDeployment(t, cores, fronts, func(d *Deployment) { d.heartbeatPeriod = period }, sameAddr)
}

func sameAddr(addr string) string { return addr }

// newDeployment starts a deployment. prepare may change the deployment before its processes start. Members and platform
// are announced at the addresses that advertise returns for their own ones, such as those of relays.
func newDeployment(
	t *testing.T,
	cores, fronts int,
	prepare func(*Deployment),
	advertise func(addr string) string,
) *Deployment {
	t.Helper()
	block, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	d := &Deployment{
		t:           t,
		dir:         t.TempDir(),
		block:       block,
		basePort:    block.Port(0),
		processes:   map[string]*exec.Cmd{},
		terminating: map[string]*exec.Cmd{},
		logs:        map[string]*bytes.Buffer{},

		heartbeatPeriod: defaultHeartbeatPeriod,
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.ctx = ctx
	d.stop = func() {
		cancel()
		for _, name := range d.Running() {
			d.Kill(name)
		}
		_ = block.Close() // its listener accepts no connections
	}
	t.Cleanup(func() {
		d.stop()
		if t.Failed() {
			d.dumpLogs()
		}
	})
	d.startService(ctx, advertise)
	for i := range cores {
		d.Cores = append(d.Cores, net.JoinHostPort(d.ip(coreNet, i), fmt.Sprint(d.basePort+controlPort)))
	}
	prepare(d)
	for i := range cores {
		d.Start(fmt.Sprint("core", i), true)
	}
	for i := range fronts {
		d.Start(fmt.Sprint("agent", i), true)
		d.Start(fmt.Sprint("proxy", i), true)
	}
	for _, id := range memberIDs {
		d.sendHeartbeats(ctx, d.Service, id)
	}
	return d
}

// startService starts the members of svc and the platform's API, until the context is done.
func (d *Deployment) startService(ctx context.Context, advertise func(addr string) string) {
	d.t.Helper()
	d.Service = newService("svc", "1", memberIDs...)
	for i, id := range memberIDs {
		if err := d.Service.listen(ctx, id, d.ip(memberNet, i)+":0"); err != nil {
			d.t.Fatal(err)
		}
		d.Service.addrs[id] = advertise(d.Service.addrs[id])
	}
	listener, err := net.Listen("tcp4", d.ip(platformNet, 0)+":0")
	if err != nil {
		d.t.Fatal(err)
	}
	d.platform = advertise(listener.Addr().String())
	go func() { _ = http.Serve(listener, d.Service) }() // until its listener is closed
	context.AfterFunc(ctx, func() { listener.Close() })
}

// dumpLogs writes the last lines of each process's log to the test's log.
func (d *Deployment) dumpLogs() {
	const keep = 40
	for name, log := range d.logs {
		lines := strings.Split(log.String(), "\n")
		d.t.Logf("%s:\n%s", name, strings.Join(lines[max(0, len(lines)-keep):], "\n"))
	}
}

// Stop kills all processes and stops the members.
func (d *Deployment) Stop() { d.stop() }

// Log returns the log of a process that has ended, from all its runs.
func (d *Deployment) Log(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if log := d.logs[name]; log != nil {
		return log.String()
	}
	return ""
}

// Running returns the names of the processes that were started and neither killed nor terminated since.
func (d *Deployment) Running() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.processes))
}

// PIDs returns the ids of all processes by name, also of those that were told to end and have not ended yet.
func (d *Deployment) PIDs() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	pids := map[string]int{}
	for name, c := range d.terminating {
		pids[name] = c.Process.Pid
	}
	for name, c := range d.processes {
		pids[name] = c.Process.Pid
	}
	return pids
}

// PID returns the id of a running process, 0 if there is none of that name.
func (d *Deployment) PID(name string) int {
	if c := d.process(name); c != nil {
		return c.Process.Pid
	}
	return 0
}

func (d *Deployment) process(name string) *exec.Cmd {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[name]
}

// removeRunning removes a process from the running ones and returns it to its only caller, which ends it; nil if it is
// not running.
func (d *Deployment) removeRunning(name string) *exec.Cmd {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.processes[name]
	if c != nil {
		d.terminating[name] = c
	}
	delete(d.processes, name)
	return c
}

// Signal sends a signal to a process, also to one that is shutting down.
func (d *Deployment) Signal(name string, signal syscall.Signal) {
	d.mu.Lock()
	c := d.processes[name]
	if c == nil {
		c = d.terminating[name]
	}
	d.mu.Unlock()
	if c != nil {
		_ = c.Process.Signal(signal) // it may have ended
	}
}

// Kill sends SIGKILL to a process and waits for its end.
func (d *Deployment) Kill(name string) {
	d.end(name, func(c *exec.Cmd) (inTime bool) {
		kill(c)
		return true
	})
}

// end takes a process from the running ones and waits for its end as wait does, which reports whether it came in time.
// A process that is not running has ended.
func (d *Deployment) end(name string, wait func(*exec.Cmd) (inTime bool)) (inTime bool) {
	c := d.removeRunning(name)
	if c == nil {
		return true
	}
	defer d.recordEnd(name, c)
	return wait(c)
}

// recordEnd records that a process that was told to end has ended.
func (d *Deployment) recordEnd(name string, ended *exec.Cmd) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.terminating[name] == ended {
		delete(d.terminating, name)
	}
}

func kill(c *exec.Cmd) {
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Kill() // it may have ended
	_ = c.Wait()         // the error is that it was killed
}

// Terminate ends a process as the platform does, by SIGTERM and, after the grace period and a dump of its goroutines,
// SIGKILL. It waits for the end and reports whether the process ended within the grace period.
func (d *Deployment) Terminate(name string, grace time.Duration) (inTime bool) {
	return d.end(name, func(c *exec.Cmd) bool {
		_ = c.Process.Signal(syscall.SIGTERM)
		return await(c, grace)
	})
}

// Await waits for the end of a process that was told to end, and kills it after the grace period. It reports whether
// the process ended in time.
func (d *Deployment) Await(name string, grace time.Duration) (inTime bool) {
	return d.end(name, func(c *exec.Cmd) bool { return await(c, grace) })
}

// DumpTime is how long a process that has not ended in time may write a dump of its goroutines before it is killed.
const DumpTime = 300 * time.Millisecond

func await(c *exec.Cmd, grace time.Duration) (inTime bool) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.Wait() // the exit status is not used
	}()
	select {
	case <-ended:
		return true
	case <-time.After(grace):
		_ = c.Process.Signal(syscall.SIGQUIT) // its log then shows what it waits for
		select {
		case <-ended:
		case <-time.After(DumpTime):
		}
		_ = c.Process.Kill()
		<-ended
		return false
	}
}

func (d *Deployment) diskControlFile(name string) string { return filepath.Join(d.dir, name+".disk") }

// SetDiskFaults sets the faults of package disk on a machine's disk, replacing the earlier ones.
func (d *Deployment) SetDiskFaults(name string, faults ...string) {
	d.t.Helper()
	if err := os.WriteFile(d.diskControlFile(name), []byte(strings.Join(faults, " ")), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// EraseDisk erases the disk of a stopped core machine.
func (d *Deployment) EraseDisk(name string) { _ = os.RemoveAll(filepath.Join(d.dir, name)) }
