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

// Variable names the environment's variable with the settings file's path.
const Variable = "WEIRWIND_NODE_FILE"

// Settings is what a process is told.
type Settings struct {
	Hostname, Role, Class string
	IP                    string
	Zone, Region          string
	Regions               map[string]string // region of each zone
	Front, Ready, Ctl     string            // addresses to listen at; empty: this role does not serve it
	Feed                  string            // where the agent feeds its proxy: a field of our own, by default on 127.0.0.1
	Ports                 [2]int            // the first and the last that processes of the system may use
	Peers                 []string          // control addresses of some machines of the core
	Init                  bool              // the whole system starts for the first time
	Voting                bool              // this machine counts for what may be lost together
	DataDir               string            // empty: no disk
	MemoryMB, Files       int
	DiskMB                int
	Beat                  time.Duration // between two beats of a member
	TolerateNodes         int
	Contact, Ack, Drain   time.Duration // bounds of the deployment's rules
	Grace, Apply, Recover time.Duration
	Platform              string // address of the platform's calls; empty: there are none
	Fencing               bool
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
		Hostname: r.need("hostname"), Role: r.text("role"), Class: r.text("mclass"),
		IP: r.need("ip"), Zone: r.need("zone"), Region: r.text("region"),
		Front: r.address("listen.front"), Ready: r.address("listen.readyAddr"), Ctl: r.address("listen.ctl"),
		Init: r.flag("init"), Voting: r.flag("voting"), DataDir: r.text("datadir"),
		MemoryMB: r.number("limits.memMb", 256), Files: r.number("limits.nofile", 1024), DiskMB: r.number("limits.diskMb", 0),
		Beat: r.millis("beatMs", 1200), TolerateNodes: r.number("tolerate.nodes", 1),
		Contact: r.millis("bounds.contactMs", 5000), Ack: r.millis("bounds.ackMs", 6000), Drain: r.millis("bounds.drainMs", 7000),
		Grace: r.seconds("bounds.graceS", 6), Apply: r.millis("bounds.applyMs", 4000), Recover: r.seconds("bounds.recoverS", 12),
		Platform: r.address("cloudApi.addr"), Fencing: r.flag("bounds.fencing"),
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
	s.Ports = [2]int{r.integer("portRange", low), r.integer("portRange", high)}
	if r.err == nil && (s.Ports[0] < 1 || s.Ports[1] > 65535 || s.Ports[1]-s.Ports[0] < 2) {
		r.fail("portRange", "three ports or more are needed")
	}
	if s.Feed = r.address("listen.feed"); s.Feed == "" {
		s.Feed = s.Port("127.0.0.1", 1)
	}
	if r.err == nil && s.Region == "" {
		s.Region = s.Regions[s.Zone]
	}
	return s, r.err
}

// Port gives the address at which a process of the system listens for its own kind: the nth of the range.
func (s *Settings) Port(ip string, nth int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Ports[0]+nth))
}

// MeshOf gives where a core machine's own kind and agents reach it, of its control address.
func (s *Settings) MeshOf(ctl string) string {
	host, _, err := net.SplitHostPort(ctl)
	if err != nil {
		return ctl
	}
	return s.Port(host, 0)
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
