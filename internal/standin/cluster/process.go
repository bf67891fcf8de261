package cluster

// This file has the processes' addresses and settings, and starts them.

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"weirwind/internal/util/settings"
)

// Networks of a deployment: one for each kind of machine.
const (
	coreNet     = 1
	frontNet    = 2
	memberNet   = 3
	platformNet = 4
	siteNet     = 5
	edgeNet     = 6
)

// MaxFronts is the maximum number of machines with an agent and a proxy in a deployment.
const MaxFronts = 120

// hostRanges divides the hosts of the deployment's address block among the networks.
var hostRanges = map[int]struct{ first, count int }{
	coreNet:     {1, 10},
	platformNet: {11, 1},
	siteNet:     {12, 10},
	edgeNet:     {22, 10},
	memberNet:   {32, 100},
	frontNet:    {132, MaxFronts},
}

// Port offsets from the base port, which is the first of the three mesh ports.
const (
	feedPort    = 1
	controlPort = 3
	clientPort  = 4
	readyPort   = 5
)

// processKinds has the role and the network of a process, by its name without the number.
var processKinds = map[string]struct {
	role    string
	network int
}{
	"core":  {"controlplane", coreNet},
	"agent": {"agent", frontNet},
	"proxy": {"proxy", frontNet},
	"site":  {"sessionsite", siteNet},
	"edge":  {"sessionedge", edgeNet},
}

func (d *Deployment) ip(network, n int) string {
	if n >= hostRanges[network].count {
		panic(fmt.Sprintf("machine %d of network %d: %d at most", n, network, hostRanges[network].count))
	}
	return d.block.IP(hostRanges[network].first + n)
}

// splitName splits a process's name into its kind and the number of its machine.
func splitName(name string) (kind string, n int) {
	kind = strings.TrimRight(name, "0123456789")
	n, _ = strconv.Atoi(name[len(kind):])
	return kind, n
}

func (d *Deployment) address(network, n, port int) string {
	return net.JoinHostPort(d.ip(network, n), fmt.Sprint(d.basePort+port))
}

// ProxyAddr returns a proxy's address for clients.
func (d *Deployment) ProxyAddr(n int) string { return d.address(frontNet, n, clientPort) }

// ReadyAddr returns a proxy's address for the platform's and operators' calls.
func (d *Deployment) ReadyAddr(n int) string { return d.address(frontNet, n, readyPort) }

// Start starts a process by its name, such as core0. With bootstrap a core machine may create the core's initial state.
func (d *Deployment) Start(name string, bootstrap bool) {
	d.t.Helper()
	file := filepath.Join(d.dir, name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(d.settings(name, bootstrap), "\n")+"\n"), 0o600); err != nil {
		d.t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		d.t.Fatal(err)
	}
	cmd := exec.Command(self)
	kind, _ := splitName(name)
	cmd.Env = append(os.Environ(), roleVariable+"="+processKinds[kind].role, settings.EnvVariable+"="+file,
		diskVariable+"="+d.diskControlFile(name))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.logs[name] == nil {
		d.logs[name] = &bytes.Buffer{}
	}
	cmd.Stderr = d.logs[name]
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.processes[name] = cmd
}

// settings returns the lines of a process's settings file.
func (d *Deployment) settings(name string, bootstrap bool) []string {
	kindName, n := splitName(name)
	kind, zone := processKinds[kindName], "z1"
	if kind.network == siteNet || kind.network == edgeNet { // spread over the zones
		zone = fmt.Sprint("z", n%3+1)
	}
	meshPort := d.basePort
	if port, found := d.meshPorts[name]; found {
		meshPort = port
	}
	seeds := d.Cores[:min(3, len(d.Cores))]
	if own, found := d.seeds[name]; found {
		seeds = own
	}
	lines := []string{"hostname=" + name, "zone=" + zone, "region=r1", "zones.z1=r1", "zones.z2=r1", "zones.z3=r1",
		fmt.Sprintf("portRange=%d,%d", meshPort, meshPort+2), "peers=" + strings.Join(seeds, ","),
		fmt.Sprint("init=", bootstrap),
		"tolerate.nodes=1", fmt.Sprint("beatMs=", d.heartbeatPeriod.Milliseconds()), "bounds.graceS=2",
		"cloudApi.addr=" + d.platform}
	switch kind.network {
	case coreNet:
		lines = append(lines, "listen.ctl="+d.Cores[n], "datadir="+filepath.Join(d.dir, name))
	case frontNet:
		feed := d.address(frontNet, n, feedPort)
		if relayed := d.feeds[name]; relayed != "" {
			feed = relayed
		}
		lines = append(lines, "listen.front="+d.ProxyAddr(n), "listen.readyAddr="+d.ReadyAddr(n), "listen.feed="+feed)
	default:
		lines = append(lines, "listen.front="+d.address(kind.network, n, clientPort),
			"listen.readyAddr="+d.address(kind.network, n, readyPort))
	}
	return append(lines, "ip="+d.ip(kind.network, n))
}
