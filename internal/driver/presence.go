package driver

// This file owns a driver's presence among its peers: it carries out the steps that roster.Presence names, follows
// who else is listed, and tells the module how many there are. It must never decide that a lease stands, or how
// many drivers count.

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"weirwind/internal/registry"
	"weirwind/internal/roster"
)

const (
	announceTime = 3 * time.Second // for one call about the lease
	quietLeases  = 2.0             // a listed peer not heard for so many leases is silent
)

// presence is the driver's own lease, and its peers.
type presence struct {
	v         *Service
	announcer registry.Announcer
	follower  *registry.Watcher
	key       string
	value     []byte
	talks     bool // messages to peers are allowed
	lease     string
	own       *roster.Presence

	mu      sync.Mutex // guards what follows
	drivers *roster.Roster
	fellows roster.Peers
	names   map[netip.AddrPort]string
	speaks  bool
	count   int
}

// openPresence makes the lease's keeper and the watcher of peers.
func (v *Service) openPresence(address string, drivers int, seed uint64, talks bool) error {
	o := RegistryOptions(v.registry)
	o.Prefix, o.Service = v.registry.DriversPrefix, ""
	client, err := registry.New(o)
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	ttl := milliseconds(v.registry.Lease)
	p := &presence{
		v:         v,
		announcer: client,
		key:       o.Prefix + v.config.Name,
		own:       roster.NewPresence(ttl, seed),
		talks:     talks,
		drivers: roster.New(
			roster.Options{Preferred: roster.SourceRegistry, ConfirmAfter: milliseconds(v.registry.Confirm)},
		),
		fellows: roster.Peers{
			Self:           v.config.Name,
			ShrinkAfter:    ttl,
			MessageTimeout: quietLeases * ttl,
		},
		count: max(drivers, 1),
	}
	p.value, err = json.Marshal(map[string]any{"host_port": address, "cell": 0, "phase": "up",
		"locality":    v.config.told.Opening.Zone,
		"up_since_ms": int64(v.decide.clock.unixMs)})
	if err != nil {
		return err
	}
	p.follower = &registry.Watcher{
		Client:   client,
		Now:      v.decide.clock.now,
		Position: p.position,
		Told:     p.told,
		Lost:     p.lost,
		Alive:    p.alive,
		Scheduler: roster.NewScheduler(
			roster.SchedulerOptions{Endpoints: len(o.Endpoints), Drivers: drivers, Seed: seed + 1},
		),
	}
	v.fleet.presence = p
	return nil
}

func (p *presence) position() (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, revision, told := p.drivers.Revision(roster.SourceRegistry)
	return revision, told
}

func (p *presence) told(u roster.Update) (roster.Verdict, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speaks = true
	out := p.drivers.Apply(p.v.decide.clock.now(), u)
	for _, text := range out.Notes {
		p.v.log.Warn("drivers", "text", text)
	}
	return out.Verdict, milliseconds(p.v.registry.Confirm)
}

func (p *presence) lost(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speaks = false
	p.drivers.SetDisconnected(roster.SourceRegistry)
}

func (p *presence) alive() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speaks = true
}

// heard notes a datagram from a peer.
func (p *presence) heard(from netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name := p.names[from]; name != "" {
		p.fellows.Observe(p.v.decide.clock.now(), name)
	}
}

// look brings the number of drivers up to date, and who is sent words.
func (p *presence) look() {
	p.mu.Lock()
	now := p.v.decide.clock.now()
	listed := p.drivers.Members()
	n := p.count
	if _, _, told := p.drivers.Revision(roster.SourceRegistry); told {
		n = p.fellows.Count(now, listed, p.speaks)
	}
	names := map[netip.AddrPort]string{}
	for _, e := range listed {
		if at, err := netip.ParseAddrPort(e.Address); err == nil && e.ID != p.fellows.Self {
			names[at] = e.ID
		}
	}
	p.names = names
	var fell, back []string
	if p.talks {
		fell, back = p.fellows.CheckTimeouts(now, listed)
	}
	changed := n != p.count
	p.count = n
	p.mu.Unlock()
	if p.talks {
		p.v.fleet.datagrams.meet(names)
	}
	if len(fell)+len(back) > 0 {
		p.v.log.Warn("fellows", "silent", strings.Join(fell, ","), "back", strings.Join(back, ","))
	}
	if changed {
		p.v.fleet.counted(n, false, p.talks)
		p.follower.Scheduler.SetDrivers(n)
	}
	p.v.fleet.listed(slices.Collect(maps.Keys(names)))
}

// run keeps the lease and looks around until the context ends, then gives the lease up.
func (p *presence) run(ctx context.Context) {
	tick := time.NewTicker(rosterTick)
	defer tick.Stop()
	endpoint, stood, taken, logged := 0, false, false, ""
	for {
		now := p.v.decide.clock.now()
		if step, _ := p.own.Next(now); step != roster.StepWait {
			call, end := context.WithTimeout(ctx, announceTime)
			var stands time.Duration
			var err error
			if step == roster.StepGrant {
				p.lease, stands, err = p.announcer.Grant(call, endpoint, p.key, p.value, p.v.registry.Lease)
			} else {
				stands, err = p.announcer.Renew(call, endpoint, p.lease)
			}
			if end(); err != nil && registry.PresenceEndOf(err) == roster.StepFailed {
				endpoint = (endpoint + 1) % len(p.v.registry.Endpoints)
			}
			p.own.StepEnded(now, p.v.decide.clock.now(), registry.PresenceEndOf(err), milliseconds(stands))
		}
		is, other := p.own.Status(p.v.decide.clock.now())
		if is != stood || is && p.lease != logged {
			logged = p.lease
			p.v.log.Info("presence", "announced", is, "lease", p.lease)
		}
		if other && !taken {
			p.v.log.Warn("presence", "announced", false, "text",
				"another driver has the name, or an earlier run's lease still stands")
		}
		stood, taken = is, other
		p.look()
		select {
		case <-ctx.Done():
			if p.lease != "" {
				call, end := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
				_ = p.announcer.Revoke(call, endpoint, p.lease) // else the lease lapses
				end()
			}
			return
		case <-tick.C:
		}
	}
}
