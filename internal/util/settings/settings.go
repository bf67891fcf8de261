// Package settings reads the settings file that every process of the system is told its place by.
//
// This file owns what a settings file means and which of its lines are wrong. It opens no file and reads no clock; unknown
// fields are left alone, as more may be added.
package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
	"github.com/samber/oops"
)

// EnvVariable names the environment's variable with the settings file's path.
const EnvVariable = "WEIRWIND_NODE_FILE"

// Settings is what a process is told.
type Settings struct {
	Hostname, Role, MachineClass          string
	IP                                    string
	Zone, Region                          string
	Regions                               map[string]string // region of each zone
	FrontAddr, ReadyAddr, ControlAddr     string            // addresses to listen at; empty: this role does not serve it
	FeedAddr                              string            // where the agent feeds its proxy: a field of our own, by default on 127.0.0.1
	PortRange                             [2]int            // the first and the last that processes of the system may use
	Peers                                 []string          // control addresses of some machines of the core
	Bootstrap                             bool              // the whole system starts for the first time
	Voting                                bool              // this machine counts for what may be lost together
	DataDir                               string            // empty: no disk
	MemoryMB, MaxOpenFiles                int
	DiskMB                                int
	HeartbeatInterval                     time.Duration // between two beats of a member
	TolerateNodes                         int
	ContactBound, AckBound, DrainBound    time.Duration // bounds of the deployment's rules
	GracePeriod, ApplyBound, RecoverBound time.Duration
	PlatformAddr                          string // address of the platform's calls; empty: there are none
	Fencing                               bool
}

// Read takes the text of a settings file. Its error names the line at fault.
func Read(text []byte) (*Settings, error) {
	loader := &properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := loader.LoadBytes(text)
	if err != nil {
		return nil, oops.In("settings").Wrap(err)
	}
	r := reader{p: p, lines: lineNumbers(text)}
	s := &Settings{
		Hostname: r.need("hostname"), Role: r.text("role"), MachineClass: r.text("mclass"),
		IP: r.need("ip"), Zone: r.need("zone"), Region: r.text("region"),
		FrontAddr: r.address("listen.front"), ReadyAddr: r.address("listen.readyAddr"), ControlAddr: r.address("listen.ctl"),
		Bootstrap: r.flag("init"), Voting: r.flag("voting"), DataDir: r.text("datadir"),
		MemoryMB: r.number("limits.memMb", 256), MaxOpenFiles: r.number("limits.nofile", 1024), DiskMB: r.number("limits.diskMb", 0),
		HeartbeatInterval: r.millis("beatMs", 1200), TolerateNodes: r.number("tolerate.nodes", 1),
		ContactBound: r.millis("bounds.contactMs", 5000), AckBound: r.millis("bounds.ackMs", 6000), DrainBound: r.millis("bounds.drainMs", 7000),
		GracePeriod: r.seconds("bounds.graceS", 6), ApplyBound: r.millis("bounds.applyMs", 4000), RecoverBound: r.seconds("bounds.recoverS", 12),
		PlatformAddr: r.address("cloudApi.addr"), Fencing: r.flag("bounds.fencing"),
		Regions: map[string]string{},
	}
	for _, k := range p.Keys() {
		if zone, ok := strings.CutPrefix(k, "zones."); ok {
			s.Regions[zone] = p.GetString(k, "")
		}
	}
	for _, peer := range strings.Split(r.text("peers"), ",") {
		if peer = strings.TrimSpace(peer); peer != "" {
			r.checkAddress("peers", peer)
			s.Peers = append(s.Peers, peer)
		}
	}
	low, high, _ := strings.Cut(r.need("portRange"), ",")
	s.PortRange = [2]int{r.integer("portRange", low), r.integer("portRange", high)}
	if r.err == nil && (s.PortRange[0] < 1 || s.PortRange[1] > 65535 || s.PortRange[1]-s.PortRange[0] < 2) {
		r.fail("portRange", "three ports or more are needed")
	}
	if s.FeedAddr = r.address("listen.feed"); s.FeedAddr == "" {
		s.FeedAddr = s.PortAddr("127.0.0.1", 1)
	}
	if r.err == nil && s.Region == "" {
		s.Region = s.Regions[s.Zone]
	}
	return s, r.err
}

// PortAddr gives the address at which a process of the system listens for its own kind: the nth of the range.
func (s *Settings) PortAddr(ip string, nth int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+nth))
}

// MeshAddr gives where a core machine's own kind and agents reach it, of its control address.
func (s *Settings) MeshAddr(ctl string) string {
	host, _, err := net.SplitHostPort(ctl)
	if err != nil {
		return ctl
	}
	return s.PortAddr(host, 0)
}

type reader struct {
	p     *properties.Properties
	lines map[string]int
	err   error
}

func (r *reader) fail(key, why string) {
	if r.err == nil {
		at := "it is missing"
		if n := r.lines[key]; n > 0 {
			at = fmt.Sprintf("line %d", n)
		}
		r.err = oops.In("settings").With("key", key).Errorf("%s (%s): %s", key, at, why)
	}
}

func (r *reader) text(key string) string { return strings.TrimSpace(r.p.GetString(key, "")) }

func (r *reader) need(key string) string {
	v := r.text(key)
	if v == "" {
		r.fail(key, "a value is needed")
	}
	return v
}

func (r *reader) flag(key string) bool {
	switch v := r.text(key); v {
	case "true":
		return true
	case "", "false":
	default:
		r.fail(key, fmt.Sprintf("%q is neither true nor false", v))
	}
	return false
}

func (r *reader) integer(key, v string) int {
	n, err := strconv.Atoi(strings.TrimSpace(v))
	if err != nil || n < 0 {
		r.fail(key, fmt.Sprintf("%q is no whole number from 0 on", v))
	}
	return n
}

func (r *reader) number(key string, otherwise int) int {
	if v := r.text(key); v != "" {
		return r.integer(key, v)
	}
	return otherwise
}

func (r *reader) fraction(key string, otherwise float64) float64 {
	v := r.text(key)
	if v == "" {
		return otherwise
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f >= 0) || f > 1e9 {
		r.fail(key, fmt.Sprintf("%q is no number from 0 on", v))
	}
	return f
}

func (r *reader) millis(key string, otherwise float64) time.Duration {
	return time.Duration(r.fraction(key, otherwise) * float64(time.Millisecond))
}

func (r *reader) seconds(key string, otherwise float64) time.Duration {
	return time.Duration(r.fraction(key, otherwise) * float64(time.Second))
}

func (r *reader) address(key string) string {
	v := r.text(key)
	if v != "" {
		r.checkAddress(key, v)
	}
	return v
}

func (r *reader) checkAddress(key, v string) {
	host, port, err := net.SplitHostPort(v)
	if n, e := strconv.Atoi(port); err != nil || e != nil || n < 1 || n > 65535 || net.ParseIP(host) == nil {
		r.fail(key, fmt.Sprintf("%q is no IP:port", v))
	}
}

func lineNumbers(text []byte) map[string]int {
	lines := map[string]int{}
	for i, line := range strings.Split(string(text), "\n") {
		if key, _, ok := strings.Cut(line, "="); ok {
			lines[strings.TrimSpace(key)] = i + 1
		}
	}
	return lines
}
