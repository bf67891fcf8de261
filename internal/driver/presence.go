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
	leaseCallTimeout = 3 * time.Second // for one call that grants or renews the lease
	revokeTimeout    = time.Second
	silentLeaseTTLs  = 2.0 // in lease TTLs: a listed peer without a message for this long is silent
)

// presence announces the driver in the registry by a lease, and watches which other drivers are announced. Package
// roster decides on both.
type presence struct {
	service         *Service
	leaseClient     registry.LeaseClient
	watcher         *registry.Watcher
	key             string
	value           []byte
	messagesAllowed bool // whether messages to peers are allowed

	// Used by the announcing goroutine only.
	lease         *roster.Presence
	leaseID       string // of the last granted lease; empty before the first
	endpoint      int    // index of the registry endpoint in use
	announced     bool   // as last logged, like the two fields that follow
	nameTaken     bool   // another driver uses the name
	loggedLeaseID string

	mu        sync.Mutex // guards what follows
	drivers   *roster.Roster
	peers     roster.Peers
	peerNames map[netip.AddrPort]string
	connected bool // whether the registry is connected
	count     int  // number of drivers, including this one
}

// announcement is a driver's entry in the registry. It has the format of a member's entry; the fields that don't apply
// to a driver are empty. The order of the keys, by name, is that of the first version of the registry.
type announcement struct {
	Cell      int    `json:"cell"`
	HostPort  string `json:"host_port"`
	Locality  string `json:"locality"`
	Phase     string `json:"phase"`
	UpSinceMs int64  `json:"up_since_ms"`
}

// openPresence creates the driver's lease, which announces it at an address, and the watcher of other drivers.
func (s *Service) openPresence(address string, drivers int, seed uint64, messagesAllowed bool) error {
	options := RegistryOptions(s.registryConfig)
	options.Prefix, options.Service = s.registryConfig.DriversPrefix, ""
	client, err := registry.New(options)
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	ttl := milliseconds(s.registryConfig.LeaseTTL)
	presence := &presence{
		service:         s,
		leaseClient:     client,
		key:             options.Prefix + s.config.Name,
		lease:           roster.NewPresence(ttl, seed),
		messagesAllowed: messagesAllowed,
		drivers: roster.New(
			roster.Options{Preferred: roster.SourceRegistry, ConfirmAfter: milliseconds(s.registryConfig.ConfirmAfter)},
		),
		peers: roster.Peers{
			Self:           s.config.Name,
			ShrinkAfter:    ttl,
			MessageTimeout: silentLeaseTTLs * ttl,
		},
		count: max(drivers, 1),
	}
	presence.value, err = json.Marshal(announcement{
		HostPort:  address,
		Locality:  s.config.settings.Opening.Zone,
		Phase:     "up",
		UpSinceMs: int64(s.decider.clock.startUnixMs),
	})
	if err != nil {
		return err
	}
	presence.watcher = &registry.Watcher{
		Client:       client,
		Now:          s.decider.clock.now,
		Position:     presence.revision,
		Apply:        presence.updateDrivers,
		OnDisconnect: presence.registryDisconnected,
		OnActivity:   presence.registryConnected,
		Scheduler: roster.NewScheduler(
			roster.SchedulerOptions{Endpoints: len(options.Endpoints), Drivers: drivers, Seed: seed + 1},
		),
	}
	s.fleet.presence = presence
	return nil
}

// revision returns the known revision of the registry's drivers, and whether there is one.
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
	outcome := p.drivers.Apply(p.service.decider.clock.now(), update)
	for _, text := range outcome.Notes {
		p.service.log.Warn("drivers", "text", text)
	}
	return outcome.Verdict, milliseconds(p.service.registryConfig.ConfirmAfter)
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

// messageReceived records that a peer has sent a message.
func (p *presence) messageReceived(from netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name := p.peerNames[from]; name != "" {
		p.peers.Observe(p.service.decider.clock.now(), name)
	}
}

// refreshDrivers updates the number of drivers and the peers that messages are sent to.
func (p *presence) refreshDrivers() {
	p.mu.Lock()
	now := p.service.decider.clock.now()
	listed := p.drivers.Members()
	count := p.count
	if _, _, known := p.drivers.Revision(roster.SourceRegistry); known {
		count = p.peers.Count(now, listed, p.connected)
	}
	names := map[netip.AddrPort]string{}
	for _, entry := range listed {
		if address, err := netip.ParseAddrPort(entry.Address); err == nil && entry.ID != p.peers.Self {
			names[address] = entry.ID
		}
	}
	p.peerNames = names
	var silent, recovered []string
	if p.messagesAllowed {
		silent, recovered = p.peers.CheckTimeouts(now, listed)
	}
	changed := count != p.count
	p.count = count
	p.mu.Unlock()
	if p.messagesAllowed {
		p.service.fleet.datagrams.setRegistryPeers(names)
	}
	if len(silent)+len(recovered) > 0 {
		p.service.log.Warn("fellows", "silent", strings.Join(silent, ","), "back", strings.Join(recovered, ","))
	}
	if changed {
		p.service.fleet.driverCountChanged(count, false, p.messagesAllowed)
		p.watcher.Scheduler.SetDrivers(count)
	}
	p.service.fleet.setRegistryAddresses(slices.Collect(maps.Keys(names)))
}

// run maintains the lease and the set of drivers until the context ends, then revokes the lease.
func (p *presence) run(ctx context.Context) {
	tick := time.NewTicker(rosterInterval)
	defer tick.Stop()
	for {
		now := p.service.decider.clock.now()
		if step, _ := p.lease.Next(now); step != roster.StepWait {
			p.callRegistry(ctx, now, step)
		}
		p.logLease()
		p.refreshDrivers()
		select {
		case <-ctx.Done():
			p.revoke(ctx)
			return
		case <-tick.C:
		}
	}
}

// callRegistry grants or renews the lease. After a failure the next call goes to another endpoint.
func (p *presence) callRegistry(ctx context.Context, now float64, step roster.PresenceStep) {
	callCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	var ttl time.Duration
	var err error
	if step == roster.StepGrant {
		p.leaseID, ttl, err = p.leaseClient.Grant(callCtx, p.endpoint, p.key, p.value, p.service.registryConfig.LeaseTTL)
	} else {
		ttl, err = p.leaseClient.Renew(callCtx, p.endpoint, p.leaseID)
	}
	cancel()
	result := registry.PresenceResultOf(err)
	if err != nil && result == roster.StepFailed {
		p.endpoint = (p.endpoint + 1) % len(p.service.registryConfig.Endpoints)
	}
	p.lease.StepEnded(now, p.service.decider.clock.now(), result, milliseconds(ttl))
}

// logLease logs when the lease is granted, replaced under another ID or lost, and when another driver uses the name.
func (p *presence) logLease() {
	announced, nameTaken := p.lease.Status(p.service.decider.clock.now())
	if announced != p.announced || announced && p.leaseID != p.loggedLeaseID {
		p.loggedLeaseID = p.leaseID
		p.service.log.Info("presence", "announced", announced, "lease", p.leaseID)
	}
	if nameTaken && !p.nameTaken {
		p.service.log.Warn("presence", "announced", false, "text",
			"another driver has the name, or the lease of an earlier run has not expired")
	}
	p.announced, p.nameTaken = announced, nameTaken
}

func (p *presence) revoke(ctx context.Context) {
	if p.leaseID == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_ = p.leaseClient.Revoke(callCtx, p.endpoint, p.leaseID) // if this fails the lease expires
}
