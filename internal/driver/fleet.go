package driver

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/control"
	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/mesh"
	"weirwind/logic"
)

// fleet communicates with the other drivers through all configured channels. The package behind each channel decides
// how to handle the received messages; no hook and no op waits for a peer.
type fleet struct {
	service   *Service
	datagrams *datagrams // messages between decision modules
	presence  *presence  // in the registry; nil if drivers are not announced there
	peers     []*peer    // from the operators' fixed list, reached by HTTP
	mesh      *mesh.Mesh // gossip membership of drivers; nil if it is not configured

	mu              sync.Mutex // guards what follows
	drains          *membership.Drains
	seeds           []string // seeds of the mesh, from the operators
	discoveredSeeds []string // seeds from the platform or the registry
	protocolPeriod  time.Duration
}

// setPeers sets the peers of the operators' fixed list.
func (f *fleet) setPeers(addresses []string, token string) {
	for _, address := range addresses {
		f.peers = append(f.peers, &peer{Client: control.NewClient(address, token), changed: make(chan struct{}, 1)})
	}
}

// run communicates with peers until the context ends.
func (f *fleet) run(ctx context.Context, group *errgroup.Group) {
	if presence := f.presence; presence != nil {
		group.Go(func() error { presence.run(ctx); return nil })
		group.Go(func() error { presence.watcher.Run(ctx); return nil })
	}
	if f.datagrams.conn != nil {
		group.Go(func() error { f.datagrams.writeLoop(ctx); return nil })
		group.Go(func() error { f.datagrams.readLoop(ctx, f.service.decider); return nil })
	}
	for _, peer := range f.peers {
		group.Go(func() error { peer.run(ctx, f.service.switchovers); peer.Close(); return nil })
	}
	if f.mesh != nil {
		group.Go(func() error { return f.mesh.Run(ctx) })
	}
}

// notifyPeers starts notifying peers of a switchover whose state has changed.
func (f *fleet) notifyPeers() {
	for _, p := range f.peers {
		select {
		case p.changed <- struct{}{}:
		default:
		}
	}
	if f.mesh != nil {
		f.mesh.SpreadGossip()
	}
}

// setRegistryAddresses adds the peers' addresses in the registry to the seeds of the mesh.
func (f *fleet) setRegistryAddresses(addresses []netip.AddrPort) {
	if f.mesh == nil {
		return
	}
	var seeds []string
	for _, address := range addresses {
		if f.datagrams.conn != nil { // these are addresses for datagrams
			seeds = append(seeds, f.meshAddressOf(address))
		} else {
			seeds = append(seeds, address.String())
		}
	}
	f.setDiscoveredSeeds(seeds)
}

// onPartitionStatus handles a new partition status or number of drivers from the mesh.
func (f *fleet) onPartitionStatus(_ membership.PartitionStatus, count int) {
	f.driverCountChanged(count, true, true)
}

// driverCountChanged handles a new number of drivers. If there is a mesh, only its count is used, otherwise that of the
// registry. The count is passed to the decision module if notifyModule is set.
func (f *fleet) driverCountChanged(count int, fromMesh, notifyModule bool) {
	if !fromMesh && f.mesh != nil {
		return
	}
	f.service.log.Info("drivers", "count", count)
	if notifyModule {
		f.service.decider.step(logic.Event{Kind: logic.EvDrivers, Drivers: count})
	}
	if f.service.registryWatcher != nil {
		f.service.registryWatcher.Scheduler.SetDrivers(count)
	}
}
