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

// fleet is the other drivers, by whatever way they are reached. The packages behind each way judge what drivers say; no
// hook and no op waits for a peer.
type fleet struct {
	service   *Service
	datagrams *datagrams // the decision modules' messages
	presence  *presence  // in the registry; nil where drivers are not announced there
	peers     []*peer    // of the operators' fixed list, by HTTP
	mesh      *mesh.Mesh // of drivers with a membership of their own; nil where there is none

	mu         sync.Mutex // guards what follows
	drains     *membership.Drains
	seeds      []string // of the mesh, from the operators
	otherSeeds []string // and from the platform or the registry
	period     time.Duration
}

// setPeers takes the operators' fixed list.
func (f *fleet) setPeers(addresses []string, token string) {
	for _, a := range addresses {
		f.peers = append(f.peers, &peer{Client: control.NewClient(a, token), changed: make(chan struct{}, 1)})
	}
}

// run exchanges with peers until the context ends.
func (f *fleet) run(ctx context.Context, group *errgroup.Group) {
	if p := f.presence; p != nil {
		group.Go(func() error { p.run(ctx); return nil })
		group.Go(func() error { p.watcher.Run(ctx); return nil })
	}
	if f.datagrams.conn != nil {
		group.Go(func() error { f.datagrams.writeLoop(ctx); return nil })
		group.Go(func() error { f.datagrams.readLoop(ctx, f.service.decider); return nil })
	}
	for _, p := range f.peers {
		group.Go(func() error { p.run(ctx, f.service.switchovers); p.Close(); return nil })
	}
	if f.mesh != nil {
		group.Go(func() error { return f.mesh.Run(ctx) })
	}
}

// notifyPeers has peers notified of a switchover's change that is new here.
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

// setRegistryAddresses takes the addresses of peers that the registry lists, as further seeds of the mesh.
func (f *fleet) setRegistryAddresses(addresses []netip.AddrPort) {
	if f.mesh == nil {
		return
	}
	var seeds []string
	for _, at := range addresses {
		if f.datagrams.conn != nil { // those are addresses for datagrams
			seeds = append(seeds, f.meshAddressOf(at))
		} else {
			seeds = append(seeds, at.String())
		}
	}
	f.setOtherSeeds(seeds)
}

// onPartitionStatus takes a new partition status or count of drivers from the mesh.
func (f *fleet) onPartitionStatus(_ membership.PartitionStatus, count int) {
	f.driverCountChanged(count, true, true)
}

// driverCountChanged takes how many drivers there are: from the mesh, which alone decides where there is one, or from
// the registry. toModule says whether the decision module goes by it.
func (f *fleet) driverCountChanged(count int, fromMesh, toModule bool) {
	if !fromMesh && f.mesh != nil {
		return
	}
	f.service.log.Info("drivers", "count", count)
	if toModule {
		f.service.decider.step(logic.Event{Kind: logic.EvDrivers, Drivers: count})
	}
	if f.service.registryWatcher != nil {
		f.service.registryWatcher.Scheduler.SetDrivers(count)
	}
}
