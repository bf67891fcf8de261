package driver

// This file owns the driver's place among its fellows: what the mesh is opened with, what goes over it (words on changes of
// primaries, drains), and where the count of drivers comes from. It must never judge a word or a standing itself.

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"weirwind/internal/membership"
	"weirwind/internal/mesh"
	"weirwind/internal/operator"
	"weirwind/internal/roster"
	"weirwind/logic"
)

const (
	mostDrains = 4096
	drainKeep  = 10 * time.Minute // a drain whose revision the own list does not come to, though it speaks
	drainLate  = time.Minute      // drains of so late go along with each word; all with whole states
	mostWords  = 256
)

// fellows is what is held of the mesh.
type fellows struct {
	v    *Service
	mesh *mesh.Mesh

	mu     sync.Mutex // guards what follows
	drains *membership.Drains
	seeds  []string // the operators' own
	others []string // and those that the platform or the registry names
	period time.Duration
}

// openFellows opens the mesh.
func (v *Service) openFellows(o operator.Membership, a *file) error {
	token, err := secret(o.TokenFile)
	if err != nil {
		return fmt.Errorf("membership: token: %v", err)
	}
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return fmt.Errorf("membership: listen: %v", err)
	}
	f := &fellows{v: v, drains: membership.NewDrains(mostDrains, milliseconds(drainKeep)), seeds: o.Seeds, period: o.Period}
	zone, expect := o.Zone, o.Expect
	if zone == "" {
		zone = a.told.Opening.Zone
	}
	if expect == 0 {
		expect = max(a.told.Opening.Drivers, expected(o))
	}
	opts := mesh.Options{Name: a.Name, Zone: zone, Listen: listen, Advertise: o.Advertise, Seeds: o.Seeds, Secret: token, Period: o.Period,
		Expect: expect, Yield: o.Yield, Seed: a.told.Opening.Seed + 2, Run: uint64(v.decide.clock.unixMs), Now: v.decide.clock.now, Log: v.log,
		Words: f.words, Told: f.told, Stand: f.stand}
	if f.mesh, err = mesh.Open(opts); err != nil {
		return fmt.Errorf("membership: %v", err)
	}
	v.fellows = f
	for i, text := range a.Peers {
		if at, err := netip.ParseAddrPort(text); err == nil && i != a.told.Index {
			f.others = append(f.others, f.near(at))
		}
	}
	f.reseed()
	revision, entries := v.listed()
	var draining []roster.Entry
	for _, e := range entries {
		if e := toRoster(toDiscovery(e)); e.Phase != roster.Up {
			draining = append(draining, e)
		}
	}
	f.list(roster.Discovery, revision, draining)
	return nil
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

// near is where a fellow is looked for of which only another address is known: the same host, at the port of this driver.
func (f *fellows) near(at netip.AddrPort) string {
	own, err := netip.ParseAddrPort(f.mesh.Address())
	if err != nil {
		return at.String()
	}
	return netip.AddrPortFrom(at.Addr().Unmap(), own.Port()).String()
}

// listed takes the addresses of fellows that the registry names: seeds more, and nothing else.
func (f *fellows) listed(addresses []netip.AddrPort) {
	var others []string
	for _, at := range addresses {
		others = append(others, f.near(at))
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
func (f *fellows) change(o operator.Membership) {
	f.mu.Lock()
	f.seeds, f.period = o.Seeds, o.Period
	f.mu.Unlock()
	f.reseed()
}

func (f *fellows) reseed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := append(slices.Clone(f.seeds), f.others...)
	slices.Sort(all)
	f.mesh.Change(slices.Compact(all), f.period)
}

// words are what a fellow is told: all changes of primaries that are known, and drains, all or those of late.
func (f *fellows) words(all bool) *mesh.Words {
	w := &mesh.Words{}
	if f.v.switches != nil {
		for _, s := range f.v.switches.Status() {
			w.Switches = append(w.Switches, s.Word)
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

// told takes a fellow's words, and says whether any was news.
func (f *fellows) told(w *mesh.Words) (news bool) {
	if len(w.Switches) > mostWords || len(w.Drains) > mostDrains {
		f.v.log.Warn("membership", "reason", "too_many_words", "switches", len(w.Switches), "drains", len(w.Drains))
		return false
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
		marks, n := f.drains.Told(f.v.decide.clock.now(), d)
		f.carry(marks)
		news = news || n
	}
	return news
}

// list takes what a source's list told of members.
func (f *fellows) list(source roster.Source, revision int64, changes []roster.Entry) {
	var told []membership.Drain
	for _, e := range changes {
		told = append(told, membership.Drain{Member: e.ID, Source: uint8(source), Revision: revision, Up: e.Phase == roster.Up})
	}
	f.mu.Lock()
	marks, news := f.drains.Listed(f.v.decide.clock.now(), uint8(source), revision, told)
	f.carry(marks)
	f.mu.Unlock()
	if news {
		f.mesh.Spread()
	}
}

// carry marks members as drains decide. The caller holds the lock.
func (f *fellows) carry(changes map[string]bool) {
	for member, draining := range changes {
		f.v.decide.mark(member, markFellow, draining)
		f.v.log.Info("membership", "reason", "drain_told", "member", member, "draining", draining)
	}
}

// stand takes a new standing, or count of drivers.
func (f *fellows) stand(s membership.Standing, count int) {
	f.v.counted(count, true, true)
}

// counted tells of how many drivers there are. Where drivers know each other that alone decides, and what the registry
// lists is no second truth.
func (v *Service) counted(n int, known, module bool) {
	if !known && v.fellows != nil {
		return
	}
	v.log.Info("drivers", "count", n)
	if module {
		v.decide.step(logic.Event{Kind: logic.EvDrivers, Drivers: n})
	}
	if v.following != nil {
		v.following.Course.Fellows(n)
	}
}
