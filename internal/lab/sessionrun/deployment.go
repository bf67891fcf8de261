package sessionrun

// This file owns the processes: this binary is started again in the roles of the program.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"weirwind/internal/controlplane"
	"weirwind/internal/session/edge"
	"weirwind/internal/session/site"
	"weirwind/internal/standin/loopback"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

const (
	roleVariable = "WEIRLAB_ROLE"
	coreCount    = 3
	edgeCount    = 2
	startTimeout = 15 * time.Second
	startPoll    = 50 * time.Millisecond
)

// Offsets of ports from the run's first port, which is the first of three ports of the mesh.
const (
	controlPort = 3
	clientPort  = 4
	httpPort    = 5
)

// firstHosts are the host numbers of the first machine of each role, within the run's address block.
var firstHosts = map[string]int{"core": 1, "edge": 10, "site": 20}

// Role runs this process in its role if it was started as a process of a run, and returns its exit code; otherwise ok
// is false.
func Role() (code int, ok bool) {
	roles := map[string]process.Role{"core": {Name: "controlplane", Run: controlplane.Run},
		"site": {Name: "sessionsite", Run: site.Run}, "edge": {Name: "sessionedge", Run: edge.Run}}
	r, ok := roles[os.Getenv(roleVariable)]
	if !ok {
		return 0, false
	}
	return process.Main(r, nil, os.Stdout), true
}

// deployment has the processes and clients of a run.
type deployment struct {
	options   Options
	dir       string
	block     *loopback.Block      // block of all addresses
	processes map[string]*exec.Cmd // by name, such as site0
	cores     []string             // control addresses of the core machines

	clients           []*client
	queued, delivered atomic.Int64 // number of messages of all clients
	lastEvent         atomic.Value // string: the fault since the last report
}

func (d *deployment) address(role string, n, port int) string {
	return d.block.Address(firstHosts[role]+n, port)
}

func (d *deployment) ip(role string, n int) string {
	return d.block.IP(firstHosts[role] + n)
}

// siteAddress returns a site's address for producers.
func (d *deployment) siteAddress(n int) string { return d.address("site", n, httpPort) }

// edgeURL returns an edge's URL for clients.
func (d *deployment) edgeURL(n int) string { return "ws://" + d.address("edge", n, clientPort) }

// startAll starts the core machines, the sites and the edges.
func (d *deployment) startAll(log io.Writer) error {
	for n := range coreCount {
		d.cores = append(d.cores, d.address("core", n, controlPort))
	}
	for role, count := range map[string]int{"core": coreCount, "site": d.options.Sites, "edge": edgeCount} {
		for n := range count {
			if err := d.start(role, n, log); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *deployment) start(role string, n int, log io.Writer) error {
	name := fmt.Sprint(role, n)
	file := filepath.Join(d.dir, name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(d.settings(role, n), "\n")+"\n"), 0o600); err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), roleVariable+"="+role, settings.EnvVariable+"="+file)
	cmd.Stderr = log
	d.processes[name] = cmd
	return cmd.Start()
}

// settings returns the lines of a process's settings file.
func (d *deployment) settings(role string, n int) []string {
	name, ip, port := fmt.Sprint(role, n), d.ip(role, n), d.block.Port(0)
	lines := []string{"hostname=" + name, fmt.Sprintf("zone=z%d", n%3+1), "region=r", "zones.z1=r", "zones.z2=r",
		"zones.z3=r", fmt.Sprintf("portRange=%d,%d", port, port+2), "peers=" + strings.Join(d.cores, ","), "init=true",
		"tolerate.nodes=1", "bounds.graceS=4", "limits.nofile=16384", "limits.memMb=512", "ip=" + ip,
		"datadir=" + filepath.Join(d.dir, name)}
	if role == "core" {
		return append(lines, "listen.ctl="+d.cores[n])
	}
	return append(lines, "listen.front="+d.address(role, n, clientPort), "listen.readyAddr="+d.address(role, n, httpPort))
}

// kill kills a process and waits for its end.
func (d *deployment) kill(name string) {
	if c := d.processes[name]; c != nil {
		_ = c.Process.Kill() // fails if the process has ended
		_ = c.Wait()         // always returns an error for a killed process
		delete(d.processes, name)
	}
}

// stop ends all processes.
func (d *deployment) stop() {
	for name := range d.processes {
		d.kill(name)
	}
}

// sessionsAt returns the number of sessions whose home is a site, or -1 if the site does not answer.
func (d *deployment) sessionsAt(n int) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + d.siteAddress(n) + "/status")
	if err != nil {
		return -1
	}
	defer resp.Body.Close()
	var status struct {
		Homes int
		State string
	}
	if json.NewDecoder(resp.Body).Decode(&status) != nil || status.State == "" {
		return -1
	}
	return status.Homes
}

// busiestSite returns the site with the most sessions, other than the site except.
func (d *deployment) busiestSite(except int) int {
	best, most := 0, -1
	for n := range d.options.Sites {
		if sessions := d.sessionsAt(n); n != except && sessions > most {
			best, most = n, sessions
		}
	}
	return best
}

// awaitSites waits until all sites serve.
func (d *deployment) awaitSites() error {
	for until := time.Now().Add(startTimeout); ; {
		serving := 0
		for n := range d.options.Sites {
			if d.sessionsAt(n) >= 0 {
				serving++
			}
		}
		if serving == d.options.Sites {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("only %d of %d sites serve after 15 s", serving, d.options.Sites)
		}
		time.Sleep(startPoll)
	}
}
