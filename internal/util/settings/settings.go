// Package settings parses the settings file, with which the deployment configures each process of the system.
//
// It does no I/O. The file has lines of key=value in the format of Java properties, without expansion. Unknown keys are
// ignored, as the deployment may add some.
package settings

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
	"github.com/samber/oops"
)

// EnvVariable is the environment variable with the path of the settings file.
const EnvVariable = "WEIRWIND_NODE_FILE"

// Settings has the parsed settings. Some fields are validated, but used by no program.
type Settings struct {
	Hostname     string // hostname
	Role         string // role: the program that is to run here
	MachineClass string // mclass

	IP      string            // ip: the machine's own
	Zone    string            // zone
	Region  string            // region; by default that of the zone
	Regions map[string]string // zones.*: region of each zone

	// Addresses to listen at, as IP:port; empty if this role does not serve it.
	FrontAddr   string // listen.front: clients
	ReadyAddr   string // listen.readyAddr: the platform's readiness checks, and operators' calls to proxies
	ControlAddr string // listen.ctl: members' and operators' calls to a core machine
	FeedAddr    string // listen.feed: the agent to its proxy; by default 127.0.0.1 and the second port of PortRange

	PortRange [2]int   // portRange: first and last port that processes of the system may use among themselves
	Peers     []string // peers: control addresses of some core machines

	Bootstrap bool // init: the whole system starts for the first time
	Voting    bool // voting: this machine is one of those that tolerate.nodes counts

	DataDir      string // datadir; empty: if the machine has no disk
	MemoryMB     int    // limits.memMb
	MaxOpenFiles int    // limits.nofile
	DiskMB       int    // limits.diskMb

	HeartbeatInterval time.Duration // beatMs: between two heartbeats of a member
	TolerateNodes     int           // tolerate.nodes: voting machines that may be lost together

	// The deployment's time bounds. A machine is in contact once it and its links have had no fault for ContactBound.
	ContactBound time.Duration // bounds.contactMs
	AckBound     time.Duration // bounds.ackMs: for the acknowledgement of an operator's change
	DrainBound   time.Duration // bounds.drainMs: how long a draining member still serves
	GracePeriod  time.Duration // bounds.graceS: between SIGTERM and SIGKILL
	ApplyBound   time.Duration // bounds.applyMs: from a configuration's acknowledgement until all in contact apply it
	RecoverBound time.Duration // bounds.recoverS: until a service is back once its machines are

	// Contracts names the parts of the platform's rules that are in force.
	Contracts []string // contracts

	// Bounds of what a tenant may have run in a window, of all drivers together: its configured limit times
	// 1 + QuotaExcess, and QuotaExtra more.
	QuotaWindow time.Duration // bounds.quotaWinS
	QuotaExcess float64       // bounds.quotaExcess: a fraction
	QuotaExtra  float64       // bounds.quotaExtra: operations

	PlatformAddr string // cloudApi.addr: the platform's calls; empty: there are none
	Fencing      bool   // bounds.fencing: the platform rejects calls with an old fencing token
}

// ContractTenants is the contract under which clients attach with a tenant's key.
const ContractTenants = "tenants"

// ContractQuota is the contract under which a tenant's operations are limited across all drivers.
const ContractQuota = "quota"

// HasContract reports whether a part of the platform's rules is in force.
func (s *Settings) HasContract(name string) bool { return slices.Contains(s.Contracts, name) }

// minPorts is the minimum number of ports in PortRange.
const minPorts = 3

// Read parses the text of a settings file. Its error names the key and the line of the first fault.
func Read(text []byte) (*Settings, error) {
	loader := &properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := loader.LoadBytes(text)
	if err != nil {
		return nil, oops.In("settings").Wrap(err)
	}
	r := reader{properties: p, lines: lineNumbers(text)}
	s := &Settings{
		Hostname:          r.required("hostname"),
		Role:              r.text("role"),
		MachineClass:      r.text("mclass"),
		IP:                r.required("ip"),
		Zone:              r.required("zone"),
		Region:            r.text("region"),
		FrontAddr:         r.address("listen.front"),
		ReadyAddr:         r.address("listen.readyAddr"),
		ControlAddr:       r.address("listen.ctl"),
		Bootstrap:         r.boolean("init"),
		Voting:            r.boolean("voting"),
		DataDir:           r.text("datadir"),
		MemoryMB:          r.integer("limits.memMb", 256),
		MaxOpenFiles:      r.integer("limits.nofile", 1024),
		DiskMB:            r.integer("limits.diskMb", 0),
		HeartbeatInterval: r.milliseconds("beatMs", 1200),
		TolerateNodes:     r.integer("tolerate.nodes", 1),
		ContactBound:      r.milliseconds("bounds.contactMs", 5000),
		AckBound:          r.milliseconds("bounds.ackMs", 6000),
		DrainBound:        r.milliseconds("bounds.drainMs", 7000),
		GracePeriod:       r.seconds("bounds.graceS", 6),
		ApplyBound:        r.milliseconds("bounds.applyMs", 4000),
		RecoverBound:      r.seconds("bounds.recoverS", 12),
		Contracts:         r.list("contracts"),
		QuotaWindow:       r.seconds("bounds.quotaWinS", 5),
		QuotaExcess:       r.number("bounds.quotaExcess", 0),
		QuotaExtra:        r.number("bounds.quotaExtra", 0),
		PlatformAddr:      r.address("cloudApi.addr"),
		Fencing:           r.boolean("bounds.fencing"),
		Regions:           r.regions(),
		Peers:             r.addresses("peers"),
		PortRange:         r.portRange("portRange"),
	}
	if s.FeedAddr = r.address("listen.feed"); s.FeedAddr == "" {
		s.FeedAddr = s.PortAddr("127.0.0.1", 1)
	}
	if r.err == nil && s.Region == "" {
		s.Region = s.Regions[s.Zone]
	}
	return s, r.err
}

// regions reads the keys zones.ZONE, which name each zone's region.
func (r *reader) regions() map[string]string {
	regions := map[string]string{}
	for _, key := range r.properties.Keys() {
		if zone, ok := strings.CutPrefix(key, "zones."); ok {
			regions[zone] = r.properties.GetString(key, "")
		}
	}
	return regions
}

// portRange reads "first,last".
func (r *reader) portRange(key string) [2]int {
	first, last, _ := strings.Cut(r.required(key), ",")
	ports := [2]int{r.parseInteger(key, first), r.parseInteger(key, last)}
	if r.err == nil && (ports[0] < 1 || ports[1] > maxPort || ports[1]-ports[0] < minPorts-1) {
		r.fail(key, "three ports or more are needed")
	}
	return ports
}

// PortAddr returns the address of the nth port of the range, from 0, at which processes of the system listen for each
// other.
func (s *Settings) PortAddr(ip string, nth int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+nth))
}

// MeshAddr returns the address at which core machines and agents reach the core machine with the given control address.
func (s *Settings) MeshAddr(control string) string {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return control
	}
	return s.PortAddr(host, 0)
}
