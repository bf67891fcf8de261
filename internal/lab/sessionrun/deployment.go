package sessionrun

// This file owns the processes: this binary started again in the roles of the program.

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

// Ports beyond the run's first one, which is the first of three of the mesh.
const (
	controlPort = 3
	clientPort  = 4
	httpPort    = 5
)

// firstHosts are the machines' first hosts of the run's addresses, by role.
var firstHosts = map[string]int{"core": 1, "edge": 10, "site": 20}

// Role runs a process of a run where this one was started as such, and gives its exit code; ok is false where it was
// not.
func Role() (code int, ok bool) {
	roles := map[string]process.Role{"core": {Name: "controlplane", Run: controlplane.Run},
		"site": {Name: "sessionsite", Run: site.Run}, "edge": {Name: "sessionedge", Run: edge.Run}}
	r, ok := roles[os.Getenv(roleVariable)]
	if !ok {
		return 0, false
	}
	return process.Main(r, nil, os.Stdout), true
}

// deployment is the processes and clients of a run.
type deployment struct {
	options   Options
	dir       string
	block     *loopback.Block      // of all addresses
	processes map[string]*exec.Cmd // by name, such as site0
	cores     []string             // control addresses

	clients           []*client
	queued, delivered atomic.Int64 // messages of all clients
	lastEvent         atomic.Value // string: the fault since the last second
}

func (d *deployment) address(role string, n, port int) string {
	return d.block.Address(firstHosts[role]+n, port)
}

func (d *deployment) ip(role string, n int) string {
	return d.block.IP(firstHosts[role] + n)
}

// siteAddress is a site's address for producers.
func (d *deployment) siteAddress(n int) string { return d.address("site", n, httpPort) }

// edgeURL is an edge's for clients.
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

// settings is the lines of a process's settings file.
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

// kill ends a process at once and waits for its end.
func (d *deployment) kill(name string) {
	if c := d.processes[name]; c != nil {
		_ = c.Process.Kill() // it may have ended
		_ = c.Wait()         // it was killed
		delete(d.processes, name)
	}
}

// stop ends all processes.
func (d *deployment) stop() {
	for name := range d.processes {
		d.kill(name)
	}
}

// sessionsAt is the number of sessions whose home is a site, -1 where it doesn't answer.
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

// busiestSite is the site with the most sessions, but not one of an index.
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
			return fmt.Errorf("%d of %d sites are in after 15 s", serving, d.options.Sites)
		}
		time.Sleep(startPoll)
	}
}
