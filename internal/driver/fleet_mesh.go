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

// openMesh opens the mesh, through which drivers maintain a gossip membership.
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
	f.seeds, f.protocolPeriod = block.Seeds, block.ProtocolPeriod
	expected := block.ExpectedDrivers
	if expected == 0 {
		expected = max(config.settings.Opening.Drivers, expectedDrivers(block))
	}
	options := mesh.Options{
		Name:              config.Name,
		Zone:              driverZone(block, config),
		Listen:            listen,
		Advertise:         block.Advertise,
		Seeds:             block.Seeds,
		Secret:            token,
		Period:            block.ProtocolPeriod,
		ExpectedDrivers:   expected,
		TakeoverAfter:     block.TakeOverAfter,
		RandomSeed:        config.settings.Opening.Seed + 2,
		Run:               uint64(service.decider.clock.startUnixMs),
		Now:               service.decider.clock.now,
		Log:               service.log,
		StateDir:          block.Folder,
		Gossip:            f.gossip,
		ReceiveGossip:     f.receiveGossip,
		OnPartitionStatus: f.onPartitionStatus,
	}
	if service.zones != nil {
		options.ReceivePayload = service.zones.receive
	}
	if f.mesh, err = mesh.Open(options); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	for i, text := range config.Peers {
		if address, err := netip.ParseAddrPort(text); err == nil && i != config.settings.Index {
			f.discoveredSeeds = append(f.discoveredSeeds, f.meshAddressOf(address))
		}
	}
	f.applySeeds()
	f.gossipInitialDrains()
	return nil
}

// gossipInitialDrains notifies peers of the drains in the initial list.
func (f *fleet) gossipInitialDrains() {
	revision, entries := f.service.membership()
	var draining []roster.Entry
	for _, entry := range entries {
		if e := toRoster(fromLearned(entry)); e.Phase != roster.PhaseUp {
			draining = append(draining, e)
		}
	}
	f.membershipUpdated(roster.SourceDiscovery, revision, draining)
}

// driverZone returns the driver's zone: the one set by the operators, or else the platform's.
func driverZone(block operator.Membership, config *configuration) string {
	return cmp.Or(block.Zone, config.settings.Opening.Zone)
}

// expectedDrivers returns the number of distinct drivers in the seeds, including this one.
func expectedDrivers(block operator.Membership) int {
	addresses := append(slices.Clone(block.Seeds), block.Advertise)
	if block.Advertise == "" {
		addresses[len(addresses)-1] = block.Listen
	}
	slices.Sort(addresses)
	return len(slices.Compact(addresses))
}

// meshAddressOf returns the address at which the mesh contacts a peer whose mesh address is not known: the host of its
// known address with this driver's mesh port.
func (f *fleet) meshAddressOf(at netip.AddrPort) string {
	ownAddress, err := netip.ParseAddrPort(f.mesh.Address())
	if err != nil {
		return at.String()
	}
	return netip.AddrPortFrom(at.Addr().Unmap(), ownAddress.Port()).String()
}

// reconfigure applies changed seeds and protocol period from the operators.
func (f *fleet) reconfigure(block *operator.Membership) {
	if f.mesh == nil || block == nil {
		return
	}
	f.mu.Lock()
	f.seeds, f.protocolPeriod = block.Seeds, block.ProtocolPeriod
	f.mu.Unlock()
	f.applySeeds()
}

// setDiscoveredSeeds sets the seeds that don't come from the operators.
func (f *fleet) setDiscoveredSeeds(seeds []string) {
	slices.Sort(seeds)
	f.mu.Lock()
	unchanged := slices.Equal(seeds, f.discoveredSeeds)
	f.discoveredSeeds = seeds
	f.mu.Unlock()
	if !unchanged {
		f.applySeeds()
	}
}

func (f *fleet) applySeeds() {
	f.mu.Lock()
	defer f.mu.Unlock()
	seeds := append(slices.Clone(f.seeds), f.discoveredSeeds...)
	slices.Sort(seeds)
	f.mesh.Reconfigure(slices.Compact(seeds), f.protocolPeriod)
}
