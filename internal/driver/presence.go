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
	announceTimeout = 3 * time.Second // for one call about the lease
	silentLeases    = 2.0             // a listed peer not heard for so many leases is silent
)

// presence is the driver's own lease, and its peers.
type presence struct {
	service    *Service
	announcer  registry.LeaseClient
	follower   *registry.Watcher
	key        string
	value      []byte
	mayMessage bool // messages to peers are allowed
	leaseID    string
	lease      *roster.Presence

	mu        sync.Mutex // guards what follows
	drivers   *roster.Roster
	peers     roster.Peers
	peerNames map[netip.AddrPort]string
	connected bool
	count     int
}

// openPresence makes the lease's keeper and the watcher of peers.
func (v *Service) openPresence(address string, drivers int, seed uint64, talks bool) error {
	o := RegistryOptions(v.registryConfig)
	o.Prefix, o.Service = v.registryConfig.DriversPrefix, ""
	client, err := registry.New(o)
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	ttl := milliseconds(v.registryConfig.LeaseTTL)
	p := &presence{
		service:    v,
		announcer:  client,
		key:        o.Prefix + v.config.Name,
		lease:      roster.NewPresence(ttl, seed),
		mayMessage: talks,
		drivers: roster.New(
			roster.Options{Preferred: roster.SourceRegistry, ConfirmAfter: milliseconds(v.registryConfig.ConfirmAfter)},
		),
		peers: roster.Peers{
			Self:           v.config.Name,
			ShrinkAfter:    ttl,
			MessageTimeout: silentLeases * ttl,
		},
		count: max(drivers, 1),
	}
	p.value, err = json.Marshal(map[string]any{"host_port": address, "cell": 0, "phase": "up",
		"locality":    v.config.settings.Opening.Zone,
		"up_since_ms": int64(v.decider.clock.unixMs)})
	if err != nil {
		return err
	}
	p.follower = &registry.Watcher{
		Client:       client,
		Now:          v.decider.clock.now,
		Position:     p.position,
		Apply:        p.updateDrivers,
		OnDisconnect: p.registryDisconnected,
		OnActivity:   p.registryConnected,
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

func (p *presence) updateDrivers(u roster.Update) (roster.Verdict, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connected = true
	out := p.drivers.Apply(p.service.decider.clock.now(), u)
	for _, text := range out.Notes {
		p.service.log.Warn("drivers", "text", text)
	}
	return out.Verdict, milliseconds(p.service.registryConfig.ConfirmAfter)
}

func (p *presence) registryDisconnected(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connected = false
	p.drivers.SetDisconnected(roster.SourceRegistry)
}

func (p *presence) registryConnected() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connected = true
}

// heard notes a datagram from a peer.
func (p *presence) messageReceived(from netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name := p.peerNames[from]; name != "" {
		p.peers.Observe(p.service.decider.clock.now(), name)
	}
}

// look brings the number of drivers up to date, and who is sent words.
func (p *presence) refresh() {
	p.mu.Lock()
	now := p.service.decider.clock.now()
	listed := p.drivers.Members()
	n := p.count
	if _, _, told := p.drivers.Revision(roster.SourceRegistry); told {
		n = p.peers.Count(now, listed, p.connected)
	}
	names := map[netip.AddrPort]string{}
	for _, e := range listed {
		if at, err := netip.ParseAddrPort(e.Address); err == nil && e.ID != p.peers.Self {
			names[at] = e.ID
		}
	}
	p.peerNames = names
	var fell, back []string
	if p.mayMessage {
		fell, back = p.peers.CheckTimeouts(now, listed)
	}
	changed := n != p.count
	p.count = n
	p.mu.Unlock()
	if p.mayMessage {
		p.service.fleet.datagrams.setRegistryPeers(names)
	}
	if len(fell)+len(back) > 0 {
		p.service.log.Warn("fellows", "silent", strings.Join(fell, ","), "back", strings.Join(back, ","))
	}
	if changed {
		p.service.fleet.driverCountChanged(n, false, p.mayMessage)
		p.follower.Scheduler.SetDrivers(n)
	}
	p.service.fleet.setRegistryAddresses(slices.Collect(maps.Keys(names)))
}

// run keeps the lease and looks around until the context ends, then gives the lease up.
func (p *presence) run(ctx context.Context) {
	tick := time.NewTicker(rosterInterval)
	defer tick.Stop()
	endpoint, stood, taken, logged := 0, false, false, ""
	for {
		now := p.service.decider.clock.now()
		if step, _ := p.lease.Next(now); step != roster.StepWait {
			call, end := context.WithTimeout(ctx, announceTimeout)
			var stands time.Duration
			var err error
			if step == roster.StepGrant {
				p.leaseID, stands, err = p.announcer.Grant(call, endpoint, p.key, p.value, p.service.registryConfig.LeaseTTL)
			} else {
				stands, err = p.announcer.Renew(call, endpoint, p.leaseID)
			}
			if end(); err != nil && registry.PresenceResultOf(err) == roster.StepFailed {
				endpoint = (endpoint + 1) % len(p.service.registryConfig.Endpoints)
			}
			p.lease.StepEnded(now, p.service.decider.clock.now(), registry.PresenceResultOf(err), milliseconds(stands))
		}
		is, other := p.lease.Status(p.service.decider.clock.now())
		if is != stood || is && p.leaseID != logged {
			logged = p.leaseID
			p.service.log.Info("presence", "announced", is, "lease", p.leaseID)
		}
		if other && !taken {
			p.service.log.Warn("presence", "announced", false, "text",
				"another driver has the name, or an earlier run's lease still stands")
		}
		stood, taken = is, other
		p.refresh()
		select {
		case <-ctx.Done():
			if p.leaseID != "" {
				call, end := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
				_ = p.announcer.Revoke(call, endpoint, p.leaseID) // else the lease lapses
				end()
			}
			return
		case <-tick.C:
		}
	}
}
