// Package hollow measures what the control plane costs by size: real core machines, real agents without proxies, many a
// process, and members that are nothing but heartbeats, over loopback.
//
// This file owns the play, its phases and its account. It must never print a figure that no process counted.
package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/transport"
)

const (
	agentsPerProcess = 250
	maxMemory        = 14 << 30 // of all processes together: under half of the machine's
	pollPeriod       = 100 * time.Millisecond
)

// Options of a play.
type Options struct {
	Drivers, Databases, Cores int
	// Renewals of each lease in a phase, at least: about as many seconds, and thrice that in the calm phase.
	Renewals  int
	Limit     time.Duration // until all is known, at most
	Net, Port int           // 127.Net and those that follow are used
	Log       io.Writer     // of the processes; nil: nowhere
}

// Row is one figure: what a role's processes sent or received for a purpose in a phase. A row without a purpose has the
// processor time and the memory.
type Row struct {
	Phase      string  `parquet:"phase,dict"`
	Drivers    int32   `parquet:"drivers"`
	Members    int32   `parquet:"members"`
	Seconds    float64 `parquet:"seconds"`
	Events     int32   `parquet:"events"` // changes in the phase
	KnownAfter float64 `parquet:"known"`  // seconds until all had them; 0: not measured
	Role       string  `parquet:"role,dict"`
	Machines   int32   `parquet:"machines"` // of the role: figures are sums over them
	Link       string  `parquet:"link,dict"`
	Direction  string  `parquet:"direction,dict"`
	Purpose    string  `parquet:"purpose,dict"`
	Frames     float64 `parquet:"frames"`
	Bytes      float64 `parquet:"bytes"`
	CPU        float64 `parquet:"cpu"`    // seconds
	Memory     float64 `parquet:"memory"` // bytes
}

func groupName(n int) string { return fmt.Sprintf("lecture-core-%04d", n) }

// play is one under way.
type run struct {
	Options
	childPlan
	folder  string
	cores   []*child
	drivers []*child
	members []*child
	http    http.Client
	config  []byte
}

// coreStatus is what is read of a core machine's status.
type coreStatus struct {
	CoreLinks   int
	MemberCount int
	DriverCount int
	Traffic     map[string]controlmsg.Traffic
}

// Run plays all phases at one size.
func Run(ctx context.Context, o Options, out io.Writer) (rows []Row, err error) {
	p := &run{Options: o, childPlan: childPlan{Net: o.Net, Port: o.Port}, http: http.Client{Timeout: 10 * time.Second}}
	for n := range o.Cores {
		p.childPlan.Cores = append(p.childPlan.Cores, net.JoinHostPort(p.coreIP(n), strconv.Itoa(o.Port+3)))
	}
	if p.folder, err = os.MkdirTemp("", "hollow"); err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(p.folder) }()
	defer p.stop()
	phases := []struct {
		name   string
		events int
		begin  func(n int) error
		known  func(n int) (bool, error)
	}{
		{"start", o.Drivers, func(int) error { return p.start(ctx) }, p.allKnown},
		{"steady", 0, nil, nil},
		{"configuration", 1, p.changeConfig, p.configReceived},
		{"member changes", max(o.Databases*membersPerGroup/100, 1), p.changeMembers, nil},
		{"driver restarts", max(o.Drivers/100, 1), p.restartDrivers, p.allKnown},
		{"herd", min(400, o.Drivers/2), p.restartDrivers, p.allKnown},
	}
	for _, ph := range phases {
		if ph.begin == nil {
			if err := p.awaitQuiet(ctx); err != nil {
				return rows, fmt.Errorf("before %s: %w", ph.name, err)
			}
		}
		before, err := p.sample()
		if err != nil {
			return rows, err
		}
		began := time.Now()
		if ph.begin != nil {
			if err := ph.begin(ph.events); err != nil {
				return rows, fmt.Errorf("%s: %w", ph.name, err)
			}
		}
		known := 0.0
		if ph.known != nil {
			if err := p.pollUntil(ctx, func() (bool, error) { return ph.known(ph.events) }); err != nil {
				return rows, fmt.Errorf("%s: %w", ph.name, err)
			}
			known = time.Since(began).Seconds()
		}
		renewed := countRenewals(before) + o.Renewals*o.Drivers
		if ph.begin == nil { // rates are measured in the calm phase
			renewed += 2 * o.Renewals * o.Drivers
		}
		if err := p.pollUntil(ctx, func() (bool, error) { return p.renewalsReached(renewed) }); err != nil {
			return rows, fmt.Errorf("%s: %w", ph.name, err)
		}
		after, err := p.sample()
		if err != nil {
			return rows, err
		}
		added := p.newRows(ph.name, before, after, time.Since(began).Seconds(), ph.events, known)
		rows = append(rows, added...)
		printPhase(out, added)
	}
	return rows, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(max(d, 0)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// until polls until f holds, within the limit.
func (p *run) pollUntil(ctx context.Context, f func() (bool, error)) error {
	for began := time.Now(); ; {
		if ok, err := f(); ok || err != nil {
			return err
		}
		if time.Since(began) > p.Limit {
			return fmt.Errorf("not known everywhere after %s", p.Limit)
		}
		if err := sleep(ctx, pollPeriod); err != nil {
			return err
		}
	}
}

func (p *run) start(ctx context.Context) error {
	for n, ctl := range p.childPlan.Cores {
		lines := []string{fmt.Sprint("hostname=core-", n), fmt.Sprintf("zone=zone-%d", n), "region=r", "init=true",
			"tolerate.nodes=1", "beatMs=1200", "limits.memMb=4000", "listen.ctl=" + ctl, "ip=" + p.coreIP(n),
			fmt.Sprintf("portRange=%d,%d", p.childPlan.Port, p.childPlan.Port+2), "peers=" +
				strings.Join(p.childPlan.Cores[:min(3, p.Options.Cores)], ","), "datadir=" +
				filepath.Join(p.folder, fmt.Sprint("core", n))}
		file := filepath.Join(p.folder, fmt.Sprintf("core%d.conf", n))
		if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		if err := p.addChild(&p.cores, "core", file, 0, 0); err != nil {
			return err
		}
	}
	for first := 0; first < p.Options.Drivers; first += agentsPerProcess {
		if err := p.addChild(&p.drivers, "drivers", "", first, min(agentsPerProcess, p.Options.Drivers-first)); err != nil {
			return err
		}
	}
	if err := p.addChild(&p.members, "members", "", 0, p.Databases*membersPerGroup); err != nil {
		return err
	}
	return p.pollUntil(ctx, func() (bool, error) { return p.changeConfig(1) == nil, nil })
}

func (p *run) addChild(to *[]*child, role, file string, first, count int) error {
	own := p.childPlan
	own.First, own.Count = first, count
	c, err := startChild(role, file, &own, p.Log)
	if err == nil {
		*to = append(*to, c)
	}
	return err
}

func (p *run) stop() {
	for _, c := range slices.Concat(p.cores, p.drivers, p.members) {
		c.kill()
	}
}

// changeConfig sends the next configuration: a route and a service for each database.
func (p *run) changeConfig(int) error {
	var base struct{ Gen uint64 }
	_ = json.Unmarshal(p.config, &base)
	type route struct {
		Name, Host, Prefix, Type, Svc           string
		TimeoutMs, TargetMs, MaxStaleMs, Timing int
	}
	type service struct {
		Name            string
		MaxConns, SyncN int
	}
	next := struct {
		Gen    uint64    `json:"gen"`
		Routes []route   `json:"routes"`
		Svcs   []service `json:"svcs"`
	}{Gen: base.Gen + 1}
	for n := range p.Databases {
		svc := groupName(n)
		next.Svcs = append(next.Svcs, service{svc, 320, 1})
		next.Routes = append(
			next.Routes,
			route{
				Name:      "route-" + svc,
				Host:      fmt.Sprintf("%08x.database", uint32(n)*2654435761),
				Prefix:    "/",
				Type:      "primary",
				Svc:       svc,
				TimeoutMs: 1000,
				TargetMs:  600,
				Timing:    int(base.Gen),
			},
		)
	}
	body, err := json.Marshal(next)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+p.childPlan.Cores[0]+"/config/replace", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Weirwind-Base-Version", strconv.FormatUint(base.Gen, 10))
	resp, err := p.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if text, _ := io.ReadAll(resp.Body); resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the configuration was answered %d %s", resp.StatusCode, text)
	}
	p.config = body
	return nil
}

// settle waits until agents were told nothing new for two renewals each: core machines may know all while lists are
// under way.
func (p *run) awaitQuiet(ctx context.Context) error {
	told, until := -1, 0
	return p.pollUntil(ctx, func() (bool, error) {
		all, err := p.samplesOf(p.drivers)
		if err != nil {
			return false, err
		}
		now := 0
		for _, s := range all {
			for _, t := range s.Traffic {
				for _, purpose := range []controlmsg.Purpose{controlmsg.MemberRecords, controlmsg.DriverLists,
					controlmsg.Configuration} {
					now += int(t.Received[purpose.String()].Frames)
				}
			}
		}
		renewed := countRenewals(map[string][]Sample{"drivers": all})
		if now != told {
			told, until = now, renewed+2*p.Options.Drivers
		}
		return renewed >= until, nil
	})
}

// renewed says whether agents have asked for so many renewals.
func (p *run) renewalsReached(count int) (bool, error) {
	all, err := p.samplesOf(p.drivers)
	return countRenewals(map[string][]Sample{"drivers": all}) >= count, err
}

func countRenewals(all map[string][]Sample) (n int) {
	for _, s := range all["drivers"] {
		n += int(s.Traffic["core"].Sent[controlmsg.LeaseRenewals.String()].Frames)
	}
	return n
}

func (p *run) samplesOf(children []*child) (all []Sample, err error) {
	for _, c := range children {
		s, err := c.command("sample")
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	return all, nil
}

// configHeld says whether each agent has received as many configurations as there were.
func (p *run) configReceived(int) (bool, error) {
	gen := uint64(0)
	all, err := p.samplesOf(p.drivers)
	for _, s := range all {
		for _, t := range s.Traffic {
			gen += t.Received[controlmsg.Configuration.String()].Frames
		}
	}
	return gen >= 2*uint64(p.Options.Drivers), err
}

func (p *run) changeMembers(n int) error {
	_, err := p.members[0].command(fmt.Sprint("change ", n))
	return err
}

// restartDrivers restarts agents of the first process.
func (p *run) restartDrivers(n int) error {
	_, err := p.drivers[0].command(fmt.Sprint("restart ", n))
	return err
}

// allKnown says whether each core machine has links to all others and knows all drivers and members.
func (p *run) allKnown(int) (bool, error) {
	for n := range p.cores {
		s, err := p.status(n)
		if err != nil || s.CoreLinks != p.Options.Cores-1 || s.DriverCount != p.Options.Drivers ||
			s.MemberCount != p.Databases*membersPerGroup {
			return false, nil
		}
	}
	return true, nil
}

func (p *run) status(n int) (s coreStatus, err error) {
	resp, err := p.http.Get("http://" + p.childPlan.Cores[n] + "/status?brief=1")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// sample reads all processes, by role.
func (p *run) sample() (map[string][]Sample, error) {
	all := map[string][]Sample{}
	memory := 0.0
	for n, c := range p.cores {
		s, err := p.status(n)
		if err != nil {
			return nil, err
		}
		x := Sample{Traffic: s.Traffic}
		x.CPU, x.Memory = usage(c.cmd.Process.Pid)
		memory += x.Memory
		all["core"] = append(all["core"], x)
	}
	for role, children := range map[string][]*child{"drivers": p.drivers, "members": p.members} {
		some, err := p.samplesOf(children)
		if err != nil {
			return nil, err
		}
		for _, s := range some {
			memory += s.Memory
		}
		all[role] = some
	}
	if memory > maxMemory {
		return nil, fmt.Errorf("stopped: %.1f GB in use", memory/(1<<30))
	}
	return all, nil
}

// add counts n into the sum of a link, a direction and a purpose; sign is 1, or the -1 of two's complement.
func addCount(sums map[[3]string]transport.Count, key [3]string, sign uint64, n transport.Count) {
	sum := sums[key]
	sums[key] = transport.Count{Frames: sum.Frames + sign*n.Frames, Bytes: sum.Bytes + sign*n.Bytes}
}

func (s *Sample) addTraffic(sums map[[3]string]transport.Count, sign uint64) {
	for link, t := range s.Traffic {
		for purpose, n := range t.Sent {
			addCount(sums, [3]string{link, "sent", purpose}, sign, n)
		}
		for purpose, n := range t.Received {
			addCount(sums, [3]string{link, "received", purpose}, sign, n)
		}
	}
}

// account makes rows of two samples.
func (p *run) newRows(
	phase string,
	before, after map[string][]Sample,
	seconds float64,
	events int,
	known float64,
) (rows []Row) {
	machines := map[string]int{"core": p.Options.Cores, "drivers": p.Options.Drivers,
		"members": p.Databases * membersPerGroup}
	for _, role := range []string{"core", "drivers", "members"} {
		base := Row{
			Phase:      phase,
			Drivers:    int32(p.Options.Drivers),
			Members:    int32(machines["members"]),
			Seconds:    seconds,
			Events:     int32(events),
			KnownAfter: known,
			Role:       role,
			Machines:   int32(machines[role]),
		}
		sums, used := map[[3]string]transport.Count{}, base
		for sign, samples := range map[int][]Sample{-1: before[role], 1: after[role]} {
			for _, s := range samples {
				used.CPU += float64(sign) * s.CPU
				if sign > 0 {
					used.Memory += s.Memory
				}
				s.addTraffic(sums, uint64(sign))
				if role == "members" {
					for direction, n := range map[string]int64{"sent": s.Sent, "received": s.Received} {
						addCount(sums, [3]string{"http", direction, "heartbeats"}, uint64(sign),
							transport.Count{Frames: uint64(s.Heartbeats), Bytes: uint64(n)})
					}
				}
			}
		}
		rows = append(rows, used)
		for key, n := range sums {
			r := base
			r.Link, r.Direction, r.Purpose, r.Frames, r.Bytes = key[0], key[1], key[2], float64(n.Frames), float64(n.Bytes)
			rows = append(rows, r)
		}
	}
	return rows
}
