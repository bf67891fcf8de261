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
	maxDrains = 4096
	drainKeep = 10 * time.Minute // a drain whose revision the own list does not come to, though it speaks
	drainLate = time.Minute      // drains of so late go along with each word; all with whole states
	maxGossip = 256
	switchAsk = time.Second // between calls for what peers of the fixed list know
)

// fleet are the other drivers, by whatever way they are known. Each way may be missing.
type fleet struct {
	v         *Service
	datagrams *datagrams // the platform's messages
	presence  *presence  // in the registry
	peers     []*peer    // told words by HTTP
	mesh      *mesh.Mesh // of those that know each other

	mu     sync.Mutex // guards what follows
	drains *membership.Drains
	seeds  []string // the operators' own
	others []string // and those that the platform or the registry names
	period time.Duration
}

// run is among peers until the context ends.
func (f *fleet) run(ctx context.Context, back *errgroup.Group) {
	if p := f.presence; p != nil {
		back.Go(func() error { p.run(ctx); return nil })
		back.Go(func() error { p.follower.Run(ctx); return nil })
	}
	if f.datagrams.conn != nil {
		back.Go(func() error { f.datagrams.write(ctx); return nil })
		back.Go(func() error { f.datagrams.read(ctx, f.v.decide); return nil })
	}
	for _, x := range f.peers {
		back.Go(func() error { x.exchange(ctx, f.v.switches); x.Close(); return nil })
	}
	if f.mesh != nil {
		back.Go(func() error { return f.mesh.Run(ctx) })
	}
}

// notifyPeers has peers told of a message that is new here.
func (f *fleet) notifyPeers() {
	for _, x := range f.peers {
		select {
		case x.wake <- struct{}{}:
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
		f.peers = append(f.peers, &peer{Client: control.NewClient(a, token), wake: make(chan struct{}, 1)})
	}
}

// openMesh opens the sockets of drivers that know each other.
func (f *fleet) openMesh(o operator.Membership, a *file) error {
	v := f.v
	token, err := secret(o.TokenFile)
	if err != nil {
		return fmt.Errorf("membership: token: %w", err)
	}
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return fmt.Errorf("membership: listen: %w", err)
	}
	f.drains, f.seeds, f.period = membership.NewDrains(maxDrains, milliseconds(drainKeep)), o.Seeds, o.Period
	expect := o.Expect
	if expect == 0 {
		expect = max(a.told.Opening.Drivers, expected(o))
	}
	opts := mesh.Options{Name: a.Name, Zone: zoneOf(o, a), Listen: listen, Advertise: o.Advertise, Seeds: o.Seeds,
		Secret: token, Period: o.Period,
		Expect: expect, Yield: o.Yield, Seed: a.told.Opening.Seed + 2, Run: uint64(v.decide.clock.unixMs),
		Now: v.decide.clock.now, Log: v.log,
		Folder: o.Folder, Gossip: f.gossip, ReceiveGossip: f.receiveGossip, OnStanding: f.onStanding}
	if v.zoning != nil {
		opts.ReceivePayload = v.zoning.receive
	}
	if f.mesh, err = mesh.Open(opts); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	for i, text := range a.Peers {
		if at, err := netip.ParseAddrPort(text); err == nil && i != a.told.Index {
			f.others = append(f.others, f.reachable(at))
		}
	}
	f.reseed()
	revision, entries := v.listed()
	var draining []roster.Entry
	for _, e := range entries {
		if e := toRoster(toDiscovery(e)); e.Phase != roster.PhaseUp {
			draining = append(draining, e)
		}
	}
	f.list(roster.SourceDiscovery, revision, draining)
	return nil
}

// zoneOf is the driver's zone: the operators' word, or the platform's.
func zoneOf(o operator.Membership, a *file) string {
	return cmp.Or(o.Zone, a.told.Opening.Zone)
}

// expected is how many drivers the seeds tell of, this one included.
func expected(o operator.Membership) int {
	all := append(slices.Clone(o.Seeds), o.Advertise)
	if o.Advertise == "" {
		all[len(all)-1] = o.Listen
	}
	slices.Sort(all)
	return len(slices.Compact(all))
}

// reachable is where a peer is looked for of which only another address is known: the same host, at the port of this
// driver.
func (f *fleet) reachable(at netip.AddrPort) string {
	own, err := netip.ParseAddrPort(f.mesh.Address())
	if err != nil {
		return at.String()
	}
	return netip.AddrPortFrom(at.Addr().Unmap(), own.Port()).String()
}

// listed takes the addresses of peers that the registry names: seeds more, and nothing else.
func (f *fleet) listed(addresses []netip.AddrPort) {
	if f.mesh == nil {
		return
	}
	var others []string
	for _, at := range addresses {
		if f.datagrams.conn != nil { // those are of peers' messages
			others = append(others, f.reachable(at))
		} else {
			others = append(others, at.String())
		}
	}
	slices.Sort(others)
	f.mu.Lock()
	same := slices.Equal(others, f.others)
	f.others = others
	f.mu.Unlock()
	if !same {
		f.reseed()
	}
}

// change takes the operators' seeds and period anew.
func (f *fleet) change(o *operator.Membership) {
	if f.mesh == nil || o == nil {
		return
	}
	f.mu.Lock()
	f.seeds, f.period = o.Seeds, o.Period
	f.mu.Unlock()
	f.reseed()
}

func (f *fleet) reseed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := append(slices.Clone(f.seeds), f.others...)
	slices.Sort(all)
	f.mesh.Change(slices.Compact(all), f.period)
}

// gossip are what a peer is told: all changes of primaries that are known, and drains, all or those of late.
func (f *fleet) gossip(all bool) *mesh.Gossip {
	w := &mesh.Gossip{}
	if z := f.v.zoning; z != nil {
		z.mu.Lock()
		w.Zones = z.z.Summary(f.v.decide.clock.now())
		z.mu.Unlock()
	}
	if f.v.switches != nil {
		for _, s := range f.v.switches.Status() {
			w.Switches = append(w.Switches, s.Notification)
		}
	}
	from := 0.0
	if !all {
		from = f.v.decide.clock.now() - milliseconds(drainLate)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w.Drains = f.drains.Since(from)
	return w
}

// receiveGossip takes a peer's words, and says whether any was news.
func (f *fleet) receiveGossip(w *mesh.Gossip, asked float64) (news, again bool) {
	if len(w.Switches) > maxGossip || len(w.Drains) > maxDrains {
		f.v.log.Warn("membership", "reason", "too_many_words", "switches", len(w.Switches), "drains", len(w.Drains))
		return false, false
	}
	if z := f.v.zoning; z != nil && w.Zones != nil {
		news = z.apply(func(now float64) zones.Output { return z.z.ReceiveSummary(now, asked, w.Zones) })
		again = news && math.IsInf(asked, -1)
	}
	if s := f.v.switches; s != nil {
		for _, word := range w.Switches {
			n, err := s.told(word)
			if err != nil {
				f.v.log.Warn("switch", "error", err)
			}
			news = news || n
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range w.Drains {
		marks, n := f.drains.ApplyPeer(f.v.decide.clock.now(), d)
		f.carry(marks)
		news = news || n
	}
	return news, again
}

// list takes what a source's list told of members.
func (f *fleet) list(source roster.Source, revision int64, changes []roster.Entry) {
	if f.mesh == nil {
		return
	}
	var told []membership.Drain
	for _, e := range changes {
		told = append(told, membership.Drain{Member: e.ID, Source: uint8(source), Revision: revision,
			Up: e.Phase == roster.PhaseUp})
	}
	f.mu.Lock()
	marks, news := f.drains.ApplyList(f.v.decide.clock.now(), uint8(source), revision, told)
	f.carry(marks)
	f.mu.Unlock()
	if news {
		f.mesh.Spread()
	}
}

// carry marks members as drains decide. The caller holds the lock.
func (f *fleet) carry(changes map[string]bool) {
	for member, draining := range changes {
		f.v.decide.mark(member, markFellow, draining)
		f.v.log.Info("membership", "reason", "drain_told", "member", member, "draining", draining)
	}
}

// onStanding takes a new standing, or count of drivers.
func (f *fleet) onStanding(_ membership.PartitionStatus, count int) { f.counted(count, true, true) }

// counted tells of how many drivers there are. Where drivers know each other that alone decides, and what the registry
// lists is no second truth.
func (f *fleet) counted(n int, known, module bool) {
	if !known && f.mesh != nil {
		return
	}
	f.v.log.Info("drivers", "count", n)
	if module {
		f.v.decide.step(logic.Event{Kind: logic.EvDrivers, Drivers: n})
	}
	if f.v.following != nil {
		f.v.following.Scheduler.SetDrivers(n)
	}
}

// peer is another driver that is told words and asked for its own.
type peer struct {
	*control.Client
	wake chan struct{}
	away bool // the last call failed
}

// exchange asks a peer what it knows, at the start and every second, and tells it at once what is new here. One that
// can't be reached learns of it by the next call, of its own or of ours.
func (f *peer) exchange(ctx context.Context, s *switchovers) {
	known := map[int64]switchover.Notification{}
	for {
		all, err := f.Client.Status(ctx)
		for _, k := range all {
			if err := s.Told(k.Notification); err != nil {
				s.v.log.Warn("switch", "fellow", f.Address, "error", err)
			}
			known[k.Group] = key(k.Notification)
		}
		for tell := err == nil; tell; {
			var news []switchover.Notification
			for _, k := range s.Status() {
				if known[k.Group] != key(k.Notification) {
					news = append(news, k.Notification)
				}
			}
			if len(news) > 0 {
				err = f.Tell(ctx, news)
			}
			for _, w := range news {
				known[w.Group] = key(w)
			}
			select {
			case <-f.wake:
				tell = err == nil
			default:
				tell = false
			}
		}
		if away := err != nil; away != f.away && ctx.Err() == nil {
			f.away = away
			s.v.log.Warn("fellow", "address", f.Address, "away", away, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(switchAsk):
		case <-f.wake:
		}
	}
}

// key is what of a message makes it news.
func key(w switchover.Notification) switchover.Notification {
	return switchover.Notification{Group: w.Group, Epoch: w.Epoch, Stage: w.Stage, Renewals: w.Renewals}
}
