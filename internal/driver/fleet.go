package driver

// This file owns all ways by which drivers hear of each other: the mesh of those that know each other, messages to a
// fixed list of peers, the registry's presence, and peers' messages; and where the count of drivers comes from. It must
// never judge a word or a standing itself, or keep a hook or an op waiting for a peer.

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/control"
	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/mesh"
	"weirwind/internal/fleet/zones"
	"weirwind/internal/operator"
	"weirwind/internal/roster"
	"weirwind/internal/switchover"
	"weirwind/logic"
)

const (
	maxDrains            = 4096
	drainRetention       = 10 * time.Minute // a drain whose revision the own list does not come to, though it speaks
	drainGossipWindow    = time.Minute      // drains of so late go along with each word; all with whole states
	maxGossipSwitchovers = 256
	peerPollInterval     = time.Second // between calls for what peers of the fixed list know
)

// fleet are the other drivers, by whatever way they are known. Each way may be missing.
type fleet struct {
	service   *Service
	datagrams *datagrams // the platform's messages
	presence  *presence  // in the registry
	peers     []*peer    // told words by HTTP
	mesh      *mesh.Mesh // of those that know each other

	mu         sync.Mutex // guards what follows
	drains     *membership.Drains
	seeds      []string // the operators' own
	otherSeeds []string // and those that the platform or the registry names
	period     time.Duration
}

// run is among peers until the context ends.
func (f *fleet) run(ctx context.Context, back *errgroup.Group) {
	if p := f.presence; p != nil {
		back.Go(func() error { p.run(ctx); return nil })
		back.Go(func() error { p.watcher.Run(ctx); return nil })
	}
	if f.datagrams.conn != nil {
		back.Go(func() error { f.datagrams.writeLoop(ctx); return nil })
		back.Go(func() error { f.datagrams.readLoop(ctx, f.service.decider); return nil })
	}
	for _, x := range f.peers {
		back.Go(func() error { x.exchange(ctx, f.service.switchovers); x.Close(); return nil })
	}
	if f.mesh != nil {
		back.Go(func() error { return f.mesh.Run(ctx) })
	}
}

// notifyPeers has peers told of a message that is new here.
func (f *fleet) notifyPeers() {
	for _, x := range f.peers {
		select {
		case x.changed <- struct{}{}:
		default:
		}
	}
	if f.mesh != nil {
		f.mesh.Spread()
	}
}

// setPeers takes the operators' fixed list.
func (f *fleet) setPeers(addresses []string, token string) {
	for _, a := range addresses {
		f.peers = append(f.peers, &peer{Client: control.NewClient(a, token), changed: make(chan struct{}, 1)})
	}
}

// openMesh opens the sockets of drivers that know each other.
func (f *fleet) openMesh(o operator.Membership, a *configuration) error {
	v := f.service
	token, err := readToken(o.TokenFile)
	if err != nil {
		return fmt.Errorf("membership: token: %w", err)
	}
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return fmt.Errorf("membership: listen: %w", err)
	}
	f.drains, f.seeds, f.period = membership.NewDrains(maxDrains, milliseconds(drainRetention)), o.Seeds, o.ProtocolPeriod
	expect := o.ExpectedDrivers
	if expect == 0 {
		expect = max(a.settings.Opening.Drivers, expectedDrivers(o))
	}
	opts := mesh.Options{Name: a.Name, Zone: zoneOf(o, a), Listen: listen, Advertise: o.Advertise, Seeds: o.Seeds,
		Secret: token, Period: o.ProtocolPeriod,
		Expect: expect, Yield: o.TakeOverAfter, Seed: a.settings.Opening.Seed + 2, Run: uint64(v.decider.clock.unixMs),
		Now: v.decider.clock.now, Log: v.log,
		Folder: o.Folder, Gossip: f.gossip, ReceiveGossip: f.receiveGossip, OnStanding: f.onPartitionStatus}
	if v.zones != nil {
		opts.ReceivePayload = v.zones.receive
	}
	if f.mesh, err = mesh.Open(opts); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	for i, text := range a.Peers {
		if at, err := netip.ParseAddrPort(text); err == nil && i != a.settings.Index {
			f.otherSeeds = append(f.otherSeeds, f.meshAddressOf(at))
		}
	}
	f.reseed()
	revision, entries := v.membership()
	var draining []roster.Entry
	for _, e := range entries {
		if e := toRoster(fromLearned(e)); e.Phase != roster.PhaseUp {
			draining = append(draining, e)
		}
	}
	f.membershipUpdated(roster.SourceDiscovery, revision, draining)
	return nil
}

// zoneOf is the driver's zone: the operators' word, or the platform's.
func zoneOf(o operator.Membership, a *configuration) string {
	return cmp.Or(o.Zone, a.settings.Opening.Zone)
}

// expected is how many drivers the seeds tell of, this one included.
func expectedDrivers(o operator.Membership) int {
	all := append(slices.Clone(o.Seeds), o.Advertise)
	if o.Advertise == "" {
		all[len(all)-1] = o.Listen
	}
	slices.Sort(all)
	return len(slices.Compact(all))
}

// reachable is where a peer is looked for of which only another address is known: the same host, at the port of this
// driver.
func (f *fleet) meshAddressOf(at netip.AddrPort) string {
	own, err := netip.ParseAddrPort(f.mesh.Address())
	if err != nil {
		return at.String()
	}
	return netip.AddrPortFrom(at.Addr().Unmap(), own.Port()).String()
}

// listed takes the addresses of peers that the registry names: seeds more, and nothing else.
func (f *fleet) setRegistryAddresses(addresses []netip.AddrPort) {
	if f.mesh == nil {
		return
	}
	var others []string
	for _, at := range addresses {
		if f.datagrams.conn != nil { // those are of peers' messages
			others = append(others, f.meshAddressOf(at))
		} else {
			others = append(others, at.String())
		}
	}
	slices.Sort(others)
	f.mu.Lock()
	same := slices.Equal(others, f.otherSeeds)
	f.otherSeeds = others
	f.mu.Unlock()
	if !same {
		f.reseed()
	}
}

// change takes the operators' seeds and period anew.
func (f *fleet) reconfigure(o *operator.Membership) {
	if f.mesh == nil || o == nil {
		return
	}
	f.mu.Lock()
	f.seeds, f.period = o.Seeds, o.ProtocolPeriod
	f.mu.Unlock()
	f.reseed()
}

func (f *fleet) reseed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := append(slices.Clone(f.seeds), f.otherSeeds...)
	slices.Sort(all)
	f.mesh.Change(slices.Compact(all), f.period)
}

// gossip are what a peer is told: all changes of primaries that are known, and drains, all or those of late.
func (f *fleet) gossip(all bool) *mesh.Gossip {
	w := &mesh.Gossip{}
	if z := f.service.zones; z != nil {
		z.mu.Lock()
		w.Zones = z.zones.Summary(f.service.decider.clock.now())
		z.mu.Unlock()
	}
	if f.service.switchovers != nil {
		for _, s := range f.service.switchovers.Status() {
			w.Switches = append(w.Switches, s.Notification)
		}
	}
	from := 0.0
	if !all {
		from = f.service.decider.clock.now() - milliseconds(drainGossipWindow)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w.Drains = f.drains.Since(from)
	return w
}

// receiveGossip takes a peer's words, and says whether any was news.
func (f *fleet) receiveGossip(w *mesh.Gossip, asked float64) (news, again bool) {
	if len(w.Switches) > maxGossipSwitchovers || len(w.Drains) > maxDrains {
		f.service.log.Warn("membership", "reason", "too_many_words", "switches", len(w.Switches), "drains", len(w.Drains))
		return false, false
	}
	if z := f.service.zones; z != nil && w.Zones != nil {
		news = z.apply(func(now float64) zones.Output { return z.zones.ReceiveSummary(now, asked, w.Zones) })
		again = news && math.IsInf(asked, -1)
	}
	if s := f.service.switchovers; s != nil {
		for _, word := range w.Switches {
			n, err := s.handleNotification(word)
			if err != nil {
				f.service.log.Warn("switch", "error", err)
			}
			news = news || n
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range w.Drains {
		marks, n := f.drains.ApplyPeer(f.service.decider.clock.now(), d)
		f.applyDrains(marks)
		news = news || n
	}
	return news, again
}

// list takes what a source's list told of members.
func (f *fleet) membershipUpdated(source roster.Source, revision int64, changes []roster.Entry) {
	if f.mesh == nil {
		return
	}
	var told []membership.Drain
	for _, e := range changes {
		told = append(told, membership.Drain{Member: e.ID, Source: uint8(source), Revision: revision,
			Up: e.Phase == roster.PhaseUp})
	}
	f.mu.Lock()
	marks, news := f.drains.ApplyList(f.service.decider.clock.now(), uint8(source), revision, told)
	f.applyDrains(marks)
	f.mu.Unlock()
	if news {
		f.mesh.Spread()
	}
}

// carry marks members as drains decide. The caller holds the lock.
func (f *fleet) applyDrains(changes map[string]bool) {
	for member, draining := range changes {
		f.service.decider.setDraining(member, drainPeer, draining)
		f.service.log.Info("membership", "reason", "drain_told", "member", member, "draining", draining)
	}
}

// onStanding takes a new standing, or count of drivers.
func (f *fleet) onPartitionStatus(_ membership.PartitionStatus, count int) {
	f.driverCountChanged(count, true, true)
}

// counted tells of how many drivers there are. Where drivers know each other that alone decides, and what the registry
// lists is no second truth.
func (f *fleet) driverCountChanged(n int, known, module bool) {
	if !known && f.mesh != nil {
		return
	}
	f.service.log.Info("drivers", "count", n)
	if module {
		f.service.decider.step(logic.Event{Kind: logic.EvDrivers, Drivers: n})
	}
	if f.service.registryWatcher != nil {
		f.service.registryWatcher.Scheduler.SetDrivers(n)
	}
}

// peer is another driver that is told words and asked for its own.
type peer struct {
	*control.Client
	changed     chan struct{}
	unreachable bool // the last call failed
}

// exchange asks a peer what it knows, at the start and every second, and tells it at once what is new here. One that
// can't be reached learns of it by the next call, of its own or of ours.
func (f *peer) exchange(ctx context.Context, s *switchovers) {
	known := map[int64]switchover.Notification{}
	for {
		all, err := f.Client.Status(ctx)
		for _, k := range all {
			if err := s.HandlePeer(k.Notification); err != nil {
				s.service.log.Warn("switch", "fellow", f.Address, "error", err)
			}
			known[k.Group] = notificationKey(k.Notification)
		}
		for tell := err == nil; tell; {
			var news []switchover.Notification
			for _, k := range s.Status() {
				if known[k.Group] != notificationKey(k.Notification) {
					news = append(news, k.Notification)
				}
			}
			if len(news) > 0 {
				err = f.NotifyPeer(ctx, news)
			}
			for _, w := range news {
				known[w.Group] = notificationKey(w)
			}
			select {
			case <-f.changed:
				tell = err == nil
			default:
				tell = false
			}
		}
		if away := err != nil; away != f.unreachable && ctx.Err() == nil {
			f.unreachable = away
			s.service.log.Warn("fellow", "address", f.Address, "away", away, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(peerPollInterval):
		case <-f.changed:
		}
	}
}

// key is what of a message makes it news.
func notificationKey(w switchover.Notification) switchover.Notification {
	return switchover.Notification{Group: w.Group, Epoch: w.Epoch, Stage: w.Stage, Renewals: w.Renewals}
}
