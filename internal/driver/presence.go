package driver

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
	leaseCallTimeout = 3 * time.Second // for one call about the lease
	revokeTimeout    = time.Second
	silentLeases     = 2.0 // a listed peer that sent no message for so many leases is silent
)

// presence announces the driver in the registry by a lease, and follows which other drivers are announced. roster
// decides on both.
type presence struct {
	service     *Service
	leaseClient registry.LeaseClient
	watcher     *registry.Watcher
	key         string
	value       []byte
	mayMessage  bool // messages to peers are allowed

	// The announcing goroutine's.
	lease         *roster.Presence
	leaseID       string // the last granted; empty before
	endpoint      int    // of the registry, by its index
	announced     bool   // as it was logged last, as are the two that follow
	nameTaken     bool   // another driver has the name
	loggedLeaseID string

	mu        sync.Mutex // guards what follows
	drivers   *roster.Roster
	peers     roster.Peers
	peerNames map[netip.AddrPort]string
	connected bool // to the registry
	count     int  // of drivers, this one included
}

// announcement is what the registry holds of a driver: an entry in the form of members, with what a driver has none of
// left empty. Keys are in the order of the registry's first version, by name.
type announcement struct {
	Cell      int    `json:"cell"`
	HostPort  string `json:"host_port"`
	Locality  string `json:"locality"`
	Phase     string `json:"phase"`
	UpSinceMs int64  `json:"up_since_ms"`
}

// openPresence makes the driver's lease, which announces it at an address, and the watcher of other drivers.
func (s *Service) openPresence(address string, drivers int, seed uint64, mayMessage bool) error {
	o := RegistryOptions(s.registryConfig)
	o.Prefix, o.Service = s.registryConfig.DriversPrefix, ""
	client, err := registry.New(o)
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	ttl := milliseconds(s.registryConfig.LeaseTTL)
	p := &presence{
		service:     s,
		leaseClient: client,
		key:         o.Prefix + s.config.Name,
		lease:       roster.NewPresence(ttl, seed),
		mayMessage:  mayMessage,
		drivers: roster.New(
			roster.Options{Preferred: roster.SourceRegistry, ConfirmAfter: milliseconds(s.registryConfig.ConfirmAfter)},
		),
		peers: roster.Peers{
			Self:           s.config.Name,
			ShrinkAfter:    ttl,
			MessageTimeout: silentLeases * ttl,
		},
		count: max(drivers, 1),
	}
	p.value, err = json.Marshal(announcement{
		HostPort:  address,
		Locality:  s.config.settings.Opening.Zone,
		Phase:     "up",
		UpSinceMs: int64(s.decider.clock.unixMs),
	})
	if err != nil {
		return err
	}
	p.watcher = &registry.Watcher{
		Client:       client,
		Now:          s.decider.clock.now,
		Position:     p.revision,
		Apply:        p.updateDrivers,
		OnDisconnect: p.registryDisconnected,
		OnActivity:   p.registryConnected,
		Scheduler: roster.NewScheduler(
			roster.SchedulerOptions{Endpoints: len(o.Endpoints), Drivers: drivers, Seed: seed + 1},
		),
	}
	s.fleet.presence = p
	return nil
}

// revision is up to which revision the registry's drivers are held, if any are.
func (p *presence) revision() (revision int64, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, revision, known = p.drivers.Revision(roster.SourceRegistry)
	return revision, known
}

func (p *presence) updateDrivers(update roster.Update) (roster.Verdict, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connected = true
	out := p.drivers.Apply(p.service.decider.clock.now(), update)
	for _, text := range out.Notes {
		p.service.log.Warn("drivers", "text", text)
	}
	return out.Verdict, milliseconds(p.service.registryConfig.ConfirmAfter)
}

func (p *presence) registryDisconnected(error) {
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

// messageReceived notes a message of a peer.
func (p *presence) messageReceived(from netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name := p.peerNames[from]; name != "" {
		p.peers.Observe(p.service.decider.clock.now(), name)
	}
}

// refresh brings the number of drivers, and the peers that are sent messages, up to date.
func (p *presence) refresh() {
	p.mu.Lock()
	now := p.service.decider.clock.now()
	listed := p.drivers.Members()
	n := p.count
	if _, _, known := p.drivers.Revision(roster.SourceRegistry); known {
		n = p.peers.Count(now, listed, p.connected)
	}
	names := map[netip.AddrPort]string{}
	for _, e := range listed {
		if at, err := netip.ParseAddrPort(e.Address); err == nil && e.ID != p.peers.Self {
			names[at] = e.ID
		}
	}
	p.peerNames = names
	var silent, back []string
	if p.mayMessage {
		silent, back = p.peers.CheckTimeouts(now, listed)
	}
	changed := n != p.count
	p.count = n
	p.mu.Unlock()
	if p.mayMessage {
		p.service.fleet.datagrams.setRegistryPeers(names)
	}
	if len(silent)+len(back) > 0 {
		p.service.log.Warn("fellows", "silent", strings.Join(silent, ","), "back", strings.Join(back, ","))
	}
	if changed {
		p.service.fleet.driverCountChanged(n, false, p.mayMessage)
		p.watcher.Scheduler.SetDrivers(n)
	}
	p.service.fleet.setRegistryAddresses(slices.Collect(maps.Keys(names)))
}

// run keeps the lease and follows other drivers until the context ends, then revokes the lease.
func (p *presence) run(ctx context.Context) {
	tick := time.NewTicker(rosterInterval)
	defer tick.Stop()
	for {
		now := p.service.decider.clock.now()
		if step, _ := p.lease.Next(now); step != roster.StepWait {
			p.callRegistry(ctx, now, step)
		}
		p.logLease()
		p.refresh()
		select {
		case <-ctx.Done():
			p.revoke(ctx)
			return
		case <-tick.C:
		}
	}
}

// callRegistry carries out a step toward the lease. After a failure the next call goes to another endpoint.
func (p *presence) callRegistry(ctx context.Context, now float64, step roster.PresenceStep) {
	call, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	var ttl time.Duration
	var err error
	if step == roster.StepGrant {
		p.leaseID, ttl, err = p.leaseClient.Grant(call, p.endpoint, p.key, p.value, p.service.registryConfig.LeaseTTL)
	} else {
		ttl, err = p.leaseClient.Renew(call, p.endpoint, p.leaseID)
	}
	cancel()
	result := registry.PresenceResultOf(err)
	if err != nil && result == roster.StepFailed {
		p.endpoint = (p.endpoint + 1) % len(p.service.registryConfig.Endpoints)
	}
	p.lease.StepEnded(now, p.service.decider.clock.now(), result, milliseconds(ttl))
}

// logLease logs when the lease is granted, renewed under another id or lost, and when another driver has the name.
func (p *presence) logLease() {
	announced, nameTaken := p.lease.Status(p.service.decider.clock.now())
	if announced != p.announced || announced && p.leaseID != p.loggedLeaseID {
		p.loggedLeaseID = p.leaseID
		p.service.log.Info("presence", "announced", announced, "lease", p.leaseID)
	}
	if nameTaken && !p.nameTaken {
		p.service.log.Warn("presence", "announced", false, "text",
			"another driver has the name, or an earlier run's lease still stands")
	}
	p.announced, p.nameTaken = announced, nameTaken
}

func (p *presence) revoke(ctx context.Context) {
	if p.leaseID == "" {
		return
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = p.leaseClient.Revoke(call, p.endpoint, p.leaseID) // else the lease expires
}
