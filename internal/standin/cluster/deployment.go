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
	diskVariable = "WEIRWIND_TEST_DISK" // the control file of a machine's disk
)

// Main runs a role if this process was started for one, else the tests. It gives the exit code.
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

// Deployment is one that runs. Its machines are named core0, agent0, proxy0, site0, edge0 and so on; agent and proxy of
// one number share a machine.
type Deployment struct {
	Service *Service            // svc, of the members a, b and c
	Nodes   map[string]*Service // that hold shards, by name
	Cores   []string            // control addresses of the core machines

	t           *testing.T
	dir         string
	block       *loopback.Block // of all addresses
	basePort    int
	meshPorts   map[string]int      // the first port of processes that reach others' mesh ports there; others: basePort
	feeds       map[string]string   // where proxies reach their agents, by proxy; others: where the agent listens
	seeds       map[string][]string // control addresses of processes that don't know the first three machines
	mu          sync.Mutex          // guards the next three
	processes   map[string]*exec.Cmd
	terminating map[string]*exec.Cmd // those that were told to end last, by name
	logs        map[string]*bytes.Buffer
	ctx         context.Context // of members, heartbeats and the platform: it ends with the deployment
	platform    string          // the address of the platform's API
	stop        func()
}

// memberIDs are those of the service svc.
var memberIDs = []string{"a", "b", "c"}

// New starts core machines, fronts (an agent and a proxy each) and a service of three members with heartbeats. All of
// it ends with the test.
func New(t *testing.T, cores, fronts int) *Deployment {
	t.Helper()
	return newDeployment(t, cores, fronts, func(*Deployment) {}, sameAddr)
}

func sameAddr(addr string) string { return addr }

// newDeployment lets prepare change what processes find as they start; members and platform are announced at what via
// makes of their addresses.
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
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.ctx = ctx
	d.stop = func() {
		cancel()
		for _, name := range d.Running() {
			d.Kill(name)
		}
		_ = block.Close() // a listener that nobody accepts at
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

// startService starts the members of svc and the platform's API, until the context ends.
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

// dumpLogs writes the end of each process's log to the test's.
func (d *Deployment) dumpLogs() {
	const keep = 40
	for name, log := range d.logs {
		lines := strings.Split(log.String(), "\n")
		d.t.Logf("%s:\n%s", name, strings.Join(lines[max(0, len(lines)-keep):], "\n"))
	}
}

// Stop ends all processes.
func (d *Deployment) Stop() { d.stop() }

// Log is what a process that has ended wrote, in all its lives.
func (d *Deployment) Log(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if log := d.logs[name]; log != nil {
		return log.String()
	}
	return ""
}

// Running are the names of the processes that were started and neither killed nor terminated since.
func (d *Deployment) Running() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.processes))
}

// PID is a process's number, 0 for none that runs.
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

// take gives a process to its only caller, which ends it; nil where none runs.
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

// Signal sends a signal to a process, also to one that was told to end.
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

// Kill ends a process at once and waits for its end.
func (d *Deployment) Kill(name string) {
	if c := d.removeRunning(name); c != nil {
		kill(c)
	}
}

func kill(c *exec.Cmd) {
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Kill() // it may have ended
	_ = c.Wait()         // it was killed
}

// Terminate ends a process as the platform does, by SIGTERM and, after the grace period, SIGKILL. It waits for the end
// and says whether the process came to it by itself.
func (d *Deployment) Terminate(name string, grace time.Duration) (inTime bool) {
	c := d.removeRunning(name)
	if c == nil {
		return true
	}
	_ = c.Process.Signal(syscall.SIGTERM)
	return await(c, grace)
}

// Await waits for the end of a process that was told to end, and ends it after the grace period.
func (d *Deployment) Await(name string, grace time.Duration) (inTime bool) {
	c := d.removeRunning(name)
	return c == nil || await(c, grace)
}

func await(c *exec.Cmd, grace time.Duration) (inTime bool) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.Wait() // how it ended is the caller's to judge
	}()
	select {
	case <-ended:
		return true
	case <-time.After(grace):
		_ = c.Process.Kill()
		<-ended
		return false
	}
}

func (d *Deployment) diskControlFile(name string) string { return filepath.Join(d.dir, name+".disk") }

// SetDiskFaults gives a machine's disk the faults of package disk; none: it works.
func (d *Deployment) SetDiskFaults(name string, faults ...string) {
	d.t.Helper()
	if err := os.WriteFile(d.diskControlFile(name), []byte(strings.Join(faults, " ")), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// EraseDisk empties a stopped core machine's disk.
func (d *Deployment) EraseDisk(name string) { _ = os.RemoveAll(filepath.Join(d.dir, name)) }
