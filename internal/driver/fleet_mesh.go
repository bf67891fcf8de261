package driver

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/mesh"
	"weirwind/internal/operator"
	"weirwind/internal/roster"
)

// openMesh opens the sockets of drivers that keep a membership of their own.
func (f *fleet) openMesh(block operator.Membership, config *configuration) error {
	service := f.service
	token, err := readToken(block.TokenFile)
	if err != nil {
		return fmt.Errorf("membership: token: %w", err)
	}
	listen, err := netip.ParseAddrPort(block.Listen)
	if err != nil {
		return fmt.Errorf("membership: listen: %w", err)
	}
	f.drains = membership.NewDrains(maxDrains, milliseconds(drainRetention))
	f.seeds, f.period = block.Seeds, block.ProtocolPeriod
	expected := block.ExpectedDrivers
	if expected == 0 {
		expected = max(config.settings.Opening.Drivers, expectedDrivers(block))
	}
	opts := mesh.Options{
		Name:              config.Name,
		Zone:              zoneOf(block, config),
		Listen:            listen,
		Advertise:         block.Advertise,
		Seeds:             block.Seeds,
		Secret:            token,
		Period:            block.ProtocolPeriod,
		ExpectedDrivers:   expected,
		TakeoverAfter:     block.TakeOverAfter,
		RandomSeed:        config.settings.Opening.Seed + 2,
		Run:               uint64(service.decider.clock.unixMs),
		Now:               service.decider.clock.now,
		Log:               service.log,
		StateDir:          block.Folder,
		Gossip:            f.gossip,
		ReceiveGossip:     f.receiveGossip,
		OnPartitionStatus: f.onPartitionStatus,
	}
	if service.zones != nil {
		opts.ReceivePayload = service.zones.receive
	}
	if f.mesh, err = mesh.Open(opts); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	for i, text := range config.Peers {
		if at, err := netip.ParseAddrPort(text); err == nil && i != config.settings.Index {
			f.otherSeeds = append(f.otherSeeds, f.meshAddressOf(at))
		}
	}
	f.reseed()
	f.gossipInitialDrains()
	return nil
}

// gossipInitialDrains has peers notified of the drains in the list that the start began with.
func (f *fleet) gossipInitialDrains() {
	revision, entries := f.service.membership()
	var draining []roster.Entry
	for _, e := range entries {
		if e := toRoster(fromLearned(e)); e.Phase != roster.PhaseUp {
			draining = append(draining, e)
		}
	}
	f.membershipUpdated(roster.SourceDiscovery, revision, draining)
}

// zoneOf is the driver's zone: the operators', or else the platform's.
func zoneOf(block operator.Membership, config *configuration) string {
	return cmp.Or(block.Zone, config.settings.Opening.Zone)
}

// expectedDrivers is how many drivers the seeds name, this one included.
func expectedDrivers(block operator.Membership) int {
	all := append(slices.Clone(block.Seeds), block.Advertise)
	if block.Advertise == "" {
		all[len(all)-1] = block.Listen
	}
	slices.Sort(all)
	return len(slices.Compact(all))
}

// meshAddressOf is where the mesh looks for a peer of which only another address is known: the same host, at this
// driver's port.
func (f *fleet) meshAddressOf(at netip.AddrPort) string {
	own, err := netip.ParseAddrPort(f.mesh.Address())
	if err != nil {
		return at.String()
	}
	return netip.AddrPortFrom(at.Addr().Unmap(), own.Port()).String()
}

// reconfigure takes other seeds and another period from the operators.
func (f *fleet) reconfigure(block *operator.Membership) {
	if f.mesh == nil || block == nil {
		return
	}
	f.mu.Lock()
	f.seeds, f.period = block.Seeds, block.ProtocolPeriod
	f.mu.Unlock()
	f.reseed()
}

// setOtherSeeds takes seeds beside the operators'.
func (f *fleet) setOtherSeeds(seeds []string) {
	slices.Sort(seeds)
	f.mu.Lock()
	same := slices.Equal(seeds, f.otherSeeds)
	f.otherSeeds = seeds
	f.mu.Unlock()
	if !same {
		f.reseed()
	}
}

func (f *fleet) reseed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := append(slices.Clone(f.seeds), f.otherSeeds...)
	slices.Sort(all)
	f.mesh.Reconfigure(slices.Compact(all), f.period)
}
