package cluster

// This file owns the processes' addresses, settings and start.

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"weirwind/internal/util/settings"
)

// networks of a deployment, by what is there: each has hostsOfNetwork hosts of the deployment's addresses.
const (
	coreNet     = 1
	frontNet    = 2
	memberNet   = 3
	platformNet = 4
	siteNet     = 5
	edgeNet     = 6

	hostsOfNetwork = 35
)

// Ports beyond the base port, which is the first of three of the mesh.
const (
	feedPort    = 1
	controlPort = 3
	clientPort  = 4
	readyPort   = 5
)

// kinds are the program and the network of a process, by its name without the number.
var kinds = map[string]struct {
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
	if n >= hostsOfNetwork {
		panic(fmt.Sprintf("machine %d of network %d: %d at most", n, network, hostsOfNetwork))
	}
	return d.block.IP(network*hostsOfNetwork + n + 1)
}

func (d *Deployment) address(network, n, port int) string {
	return net.JoinHostPort(d.ip(network, n), fmt.Sprint(d.basePort+port))
}

// ProxyAddr is a proxy's address for clients.
func (d *Deployment) ProxyAddr(n int) string { return d.address(frontNet, n, clientPort) }

func (d *Deployment) readyAddr(n int) string { return d.address(frontNet, n, readyPort) }

// Start starts a process by its name, such as core0; first lets a core machine found the core's state.
func (d *Deployment) Start(name string, first bool) {
	d.t.Helper()
	file := filepath.Join(d.dir, name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(d.settings(name, first), "\n")+"\n"), 0o600); err != nil {
		d.t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		d.t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), roleVariable+"="+kinds[name[:len(name)-1]].role, settings.EnvVariable+"="+file,
		diskVariable+"="+d.diskControlFile(name))
	if d.logs[name] == nil {
		d.logs[name] = &bytes.Buffer{}
	}
	cmd.Stderr = d.logs[name]
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.processes[name] = cmd
}

// settings is the lines of a process's settings file.
func (d *Deployment) settings(name string, first bool) []string {
	n := int(name[len(name)-1] - '0')
	kind, zone := kinds[name[:len(name)-1]], "z1"
	if kind.network == siteNet || kind.network == edgeNet { // they are spread over the zones
		zone = fmt.Sprint("z", n%3+1)
	}
	meshPort := d.basePort
	if port, apart := d.meshPorts[name]; apart {
		meshPort = port
	}
	seeds := d.Cores[:min(3, len(d.Cores))]
	if own, apart := d.seeds[name]; apart {
		seeds = own
	}
	lines := []string{"hostname=" + name, "zone=" + zone, "region=r1", "zones.z1=r1", "zones.z2=r1", "zones.z3=r1",
		fmt.Sprintf("portRange=%d,%d", meshPort, meshPort+2), "peers=" + strings.Join(seeds, ","), fmt.Sprint("init=", first),
		"tolerate.nodes=1", "beatMs=200", "bounds.graceS=2", "cloudApi.addr=" + d.platform}
	switch kind.network {
	case coreNet:
		lines = append(lines, "listen.ctl="+d.Cores[n], "datadir="+filepath.Join(d.dir, name))
	case frontNet:
		feed := d.address(frontNet, n, feedPort)
		if relayed := d.feeds[name]; relayed != "" {
			feed = relayed
		}
		lines = append(lines, "listen.front="+d.ProxyAddr(n), "listen.readyAddr="+d.readyAddr(n), "listen.feed="+feed)
	default:
		lines = append(lines, "listen.front="+d.address(kind.network, n, clientPort),
			"listen.readyAddr="+d.address(kind.network, n, readyPort))
	}
	return append(lines, "ip="+d.ip(kind.network, n))
}
