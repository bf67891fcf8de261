// Package cluster is a deployment of the system on loopback for tests: processes of the built programs, each machine at
// an address of its own in 127/8, with stand-ins for members, the platform, the operator and clients.
//
// This file owns the processes: they are this test binary again, which Main turns into the role that its environment
// names.
package cluster

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"weirwind/internal/controlplane"
	"weirwind/internal/controlplane/agent"
	"weirwind/internal/controlplane/consensus/store"
	"weirwind/internal/dataplane/proxy"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/session/edge"
	"weirwind/internal/session/site"
	"weirwind/internal/standin/disk"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

const (
	roleVariable = "WEIRWIND_TOWN_ROLE"
	diskVariable = "WEIRWIND_TOWN_DISK" // the control file of a machine's disk
)

// Main runs a role if this process is one, else the tests.
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

// Town is one.
type Deployment struct {
	t         *testing.T
	dir       string
	network   int
	basePort  int
	meshPorts map[string]int      // a process's first port, where it is not ports: it reaches others' links there too
	seeds     map[string][]string // a process's, where they are not the first three machines
	Service   *Service
	Nodes     map[string]*Service // that hold shards, by name
	siteCount int
	Cores     []string // control addresses
	processes map[string]*exec.Cmd
	logs      map[string]*bytes.Buffer
	platform  string
	stop      func()
}

var deployments int

// New starts cores and fronts, and a service of three members that is beaten for.
func New(t *testing.T, cores, fronts int) *Deployment {
	t.Helper()
	return newDeployment(t, cores, fronts, func(*Deployment) {}, direct)
}

func direct(addr string) string { return addr }

// newTown lets before prepare what processes find as they start.
func newDeployment(t *testing.T, cores, fronts int, before func(*Deployment), via func(addr string) string) *Deployment {
	t.Helper()
	deployments++
	w := &Deployment{
		t:         t,
		dir:       t.TempDir(),
		network:   os.Getpid()%200 + deployments,
		basePort:  20000 + os.Getpid()%300*20,
		processes: map[string]*exec.Cmd{},
		logs:      map[string]*bytes.Buffer{},
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = func() {
		stop()
		for name := range w.processes {
			w.Kill(name)
		}
	}
	t.Cleanup(func() {
		w.stop()
		if t.Failed() {
			for name, l := range w.logs {
				lines := strings.Split(l.String(), "\n")
				t.Logf("%s:\n%s", name, strings.Join(lines[max(0, len(lines)-40):], "\n"))
			}
		}
	})
	w.Service = newService("svc", "1", "a", "b", "c")
	for i, id := range []string{"a", "b", "c"} {
		if err := w.Service.listen(ctx, id, w.ip(3, i)+":0"); err != nil {
			t.Fatal(err)
		}
		w.Service.addrs[id] = via(w.Service.addrs[id])
	}
	pl, err := net.Listen("tcp4", w.ip(4, 0)+":0")
	if err != nil {
		t.Fatal(err)
	}
	w.platform = via(pl.Addr().String())
	go func() { _ = http.Serve(pl, w.Service) }() // until its listener is closed
	context.AfterFunc(ctx, func() { pl.Close() })
	for i := range cores {
		w.Cores = append(w.Cores, net.JoinHostPort(w.ip(1, i), fmt.Sprint(w.basePort+3)))
	}
	before(w)
	for i := range cores {
		w.Start(fmt.Sprint("core", i), true)
	}
	for i := range fronts {
		w.Start(fmt.Sprint("agent", i), true)
		w.Start(fmt.Sprint("proxy", i), true)
	}
	for _, id := range []string{"a", "b", "c"} {
		w.sendHeartbeats(ctx, w.Service, id)
	}
	return w
}

// Stop ends all of its processes.
func (w *Deployment) Stop() { w.stop() }

func (w *Deployment) ip(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", w.network, kind, n+1) }

// Start starts a process: core0, agent0, proxy0 and so on.
func (w *Deployment) Start(name string, first bool) {
	w.t.Helper()
	n := int(name[len(name)-1] - '0')
	kinds := map[string]struct {
		role string
		kind int
	}{"core": {"controlplane", 1}, "agent": {"agent", 2}, "proxy": {"proxy", 2}, "site": {"sessionsite", 5},
		"edge": {"sessionedge", 6}}
	k := kinds[name[:len(name)-1]]
	role, kind, zone := k.role, k.kind, "z1"
	if kind >= 5 { // sites and edges are in zones of their own
		zone = fmt.Sprint("z", n%3+1)
	}
	meshPort := w.basePort
	if port, apart := w.meshPorts[name]; apart {
		meshPort = port
	}
	seeds := w.Cores[:min(3, len(w.Cores))]
	if own, apart := w.seeds[name]; apart {
		seeds = own
	}
	lines := []string{"hostname=" + name, "zone=" + zone, "region=r1", "zones.z1=r1", "zones.z2=r1", "zones.z3=r1",
		fmt.Sprintf("portRange=%d,%d", meshPort, meshPort+2), "peers=" + strings.Join(seeds, ","), fmt.Sprint("init=", first),
		"tolerate.nodes=1", "beatMs=200", "bounds.graceS=2", "cloudApi.addr=" + w.platform}
	switch role {
	case "controlplane":
		lines = append(lines, "listen.ctl="+w.Cores[n], "datadir="+filepath.Join(w.dir, name))
	case "sessionsite", "sessionedge":
		lines = append(lines, fmt.Sprintf("listen.front=%s:%d", w.ip(kind, n), w.basePort+4),
			fmt.Sprintf("listen.readyAddr=%s:%d", w.ip(kind, n), w.basePort+5))
	default:
		lines = append(lines, "listen.front="+w.ProxyAddr(n), "listen.readyAddr="+w.readyAddr(n),
			fmt.Sprintf("listen.feed=%s:%d", w.ip(2, n), w.basePort+1))
	}
	lines = append(lines, "ip="+w.ip(kind, n))
	file := filepath.Join(w.dir, name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		w.t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		w.t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), roleVariable+"="+role, settings.EnvVariable+"="+file, diskVariable+"="+w.diskControlFile(name))
	if w.logs[name] == nil {
		w.logs[name] = &bytes.Buffer{}
	}
	cmd.Stderr = w.logs[name]
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.processes[name] = cmd
}

// Signal sends one to a process.
func (w *Deployment) Signal(name string, s syscall.Signal) { _ = w.processes[name].Process.Signal(s) }

// Kill ends a process at once and waits for it.
func (w *Deployment) Kill(name string) {
	if c := w.processes[name]; c != nil {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill() // it may have ended
		_ = c.Wait()         // it was killed
		delete(w.processes, name)
	}
}

func (w *Deployment) diskControlFile(name string) string { return filepath.Join(w.dir, name+".disk") }

// Disk makes a machine's disk do what the words say (package disk); none: it works.
func (w *Deployment) SetDiskFaults(name string, words ...string) {
	w.t.Helper()
	if err := os.WriteFile(w.diskControlFile(name), []byte(strings.Join(words, " ")), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// Wipe empties a stopped core machine's disk.
func (w *Deployment) EraseDisk(name string) { _ = os.RemoveAll(filepath.Join(w.dir, name)) }

// Front is a proxy's address for clients.
func (w *Deployment) ProxyAddr(n int) string { return fmt.Sprintf("%s:%d", w.ip(2, n), w.basePort+4) }

func (w *Deployment) readyAddr(n int) string { return fmt.Sprintf("%s:%d", w.ip(2, n), w.basePort+5) }

// Until waits for a condition, at most for a while.
func (w *Deployment) Eventually(what string, cond func() bool) {
	w.t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(20 * time.Second); !cond(); <-tick.C {
		if time.Now().After(end) {
			w.t.Fatalf("never so: %s", what)
		}
	}
}

// Ready says whether a proxy calls itself ready.
func (w *Deployment) Ready(n int) bool {
	code, _ := w.Call("GET", w.readyAddr(n), "/ready", "", nil)
	return code == 200
}

// Call makes a call; status 0: no answer.
func (w *Deployment) Call(method, addr, path, base string, body []byte) (int, string) {
	req, _ := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if base != "" {
		req.Header.Set("Weirwind-Base-Version", base)
	}
	client := http.Client{Timeout: 4 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// Config is a configuration of three routes to the service.
func Config(gen int) []byte {
	return fmt.Appendf(
		nil,
		`{"gen":%d,"routes":[{"name":"p","host":"prim","prefix":"/","type":"primary","timeoutMs":3000,"svc":"svc"},`+
			`{"name":"s","host":"stale","prefix":"/","type":"stale_ok","timeoutMs":3000,"svc":"svc","maxStaleMs":1500},`+
			`{"name":"o","host":"self","prefix":"/","type":"self","timeoutMs":3000,"svc":"svc","maxStaleMs":2500}],`+
			`"svcs":[{"name":"svc","maxConns":80,"syncN":1}],"limits":{"txIdleMs":500}}`,
		gen,
	)
}

// Configure has the operator's first configuration taken, and waits until the proxies serve by it.
func (w *Deployment) Configure(fronts int) {
	w.t.Helper()
	w.Eventually("a configuration is taken", func() bool {
		code, _ := w.Call("POST", w.Cores[0], "/config/replace", "0", Config(1))
		return code == 200
	})
	for n := range fronts {
		w.Eventually("a proxy is ready", func() bool { return w.Ready(n) })
	}
}

// Client is a session.
type Client struct {
	conn      net.Conn
	reader    *wire.Reader
	lastQuery int
	t         *testing.T
}

var clients atomic.Int64

// Attach opens a session; its first answer is kept in what it returns.
func (w *Deployment) Attach(front int, db string) (*Client, string) {
	w.t.Helper()
	c, err := net.DialTimeout("tcp4", w.ProxyAddr(front), 2*time.Second)
	if err != nil {
		return nil, err.Error()
	}
	w.t.Cleanup(func() { c.Close() })
	k := &Client{conn: c, reader: wire.NewReader(c), t: w.t, lastQuery: int(clients.Add(1)) * 10_000_000}
	fmt.Fprintf(c, "ATTACH %s u1\r\n", db)
	return k, k.line()
}

func (k *Client) line() string {
	k.conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	l, err := k.reader.ReadMessage()
	if err != nil {
		return "end: " + err.Error()
	}
	return l
}

// Ask sends a query under an id of its own and gives the id and the answer's lines, joined by " | ".
func (k *Client) Query(text string) (id, answer string) {
	k.lastQuery++
	id = fmt.Sprintf("q%d", k.lastQuery)
	fmt.Fprintf(k.conn, "QUERY %s %s\r\n", id, text)
	var all []string
	for {
		l := k.line()
		all = append(all, l)
		if strings.HasPrefix(l, wire.MsgReady) || strings.HasPrefix(l, "end") {
			return id, strings.Join(all, " | ")
		}
	}
}

// Say sends raw bytes.
func (k *Client) Send(s string) { _, _ = io.WriteString(k.conn, s) }

// Line reads one line.
func (k *Client) ReadLine() string { return k.line() }
