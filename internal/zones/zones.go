package zones

// This file owns one driver's part in all of it: what it reports and to whom, and, while it leads, which plan is due. It
// must never go by a plan that was not agreed on, or have a primary moved by what only its own zone sees.

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
)

// Region is one with its zones.
type Region struct {
	Name  string
	Zones []string
}

// Rules are what operators say.
type Rules struct {
	Beat    float64 // between two looks of the leader, and two reports
	Lease   float64 // of a plan on each driver
	Voters  int     // at most
	Regions []Region
	Pace    Pace
	Limits  Limits
	Load    float64 // share of what all members can do that reads take usually
	Move    float64 // most of a zone's reads that go elsewhere more or less within a second
	Keeps   bool
	Kept    *Kept
}

// Saying is an order of operators.
type Saying struct {
	Zone   string  `cbor:"1,keyasint,omitempty" json:"zone,omitempty"`
	Away   bool    `cbor:"2,keyasint,omitempty" json:"away,omitempty"`     // else it is to return
	For    float64 `cbor:"3,keyasint,omitempty" json:"for_ms,omitempty"`   // 0: until it is taken back
	Freeze *bool   `cbor:"4,keyasint,omitempty" json:"freeze,omitempty"`   // nothing is changed but what voters need
	Asked  uint64  `cbor:"5,keyasint,omitempty" json:"asked_at,omitempty"` // one order is taken once
}

// Errors of orders.
var (
	ErrNone  = errors.New("no plan of zones is agreed on yet")
	ErrPart  = errors.New("this driver does not hold a plan that is in force: ask another one")
	ErrZone  = errors.New("no zone of this name is known")
	ErrLeads = errors.New("this driver does not lead: ask the first voter that lives")
)

const (
	reporters = 5 // a zone
	oldBeats  = 3.5
	goalBeats = 5.0  // flows go for one goal at least so long
	flowsOff  = 0.15 // and unless it is off by so much of a zone's reads
	mostSeen  = 512  // reports kept
	mostOrder = 32
)

type seen struct {
	Report
	from string
	at   float64
}

// Zones is one driver's part. It is not safe for use by several goroutines at a time.
type Zones struct {
	council
	r        Rules
	self     Fellow
	fleet    Fleet
	run      uint64
	turn     uint64
	sights   []Sight
	homes    []Home
	reportAt float64
	reports  map[string]*seen
	regionOf map[string]string
	follower follower
	tolls    map[string]float64

	courses map[string]*course // while it leads
	unit    float64            // reads a second that a member does, as far as seen
	orders  map[string]float64 // until when, on the own clock
	takenO  map[uint64]bool
	frozen  bool
	begins  float64 // it has led since
	judged  Judgement
	moved   float64 // when flows changed last
	goal    []Flow  // to which they move
	goalAt  float64
}

// Out is what is to be done.
type Out struct {
	Sends []Send
	Notes []Note
	Save  *Kept // to be safe before Sends go out
	News  bool  // a plan that fellows are to be told of at once
	Tolls bool  // they changed
}

// New makes the part of a driver that starts.
func New(now float64, r Rules, self Fellow, run uint64) *Zones {
	z := &Zones{r: r, self: self, run: run, reports: map[string]*seen{}, regionOf: map[string]string{},
		orders: map[string]float64{}, takenO: map[uint64]bool{}, follower: follower{zone: self.Zone, last: now}}
	z.council = council{name: self.Name, beat: r.Beat, lease: r.Lease, confirmed: math.Inf(-1), keeps: r.Keeps}
	for _, g := range r.Regions {
		for _, name := range g.Zones {
			z.regionOf[name] = g.Name
		}
	}
	z.restore(r.Kept)
	return z
}

// names are all zones that are known: of regions, of drivers and of members.
func (z *Zones) names() []string {
	all := slices.Clone(z.fleet.Zones)
	for n := range z.regionOf {
		all = append(all, n)
	}
	for _, s := range z.sights {
		all = append(all, s.Zone)
	}
	if z.plan != nil {
		for _, p := range z.plan.Zones {
			all = append(all, p.Name)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), mostZones)]
}

// See takes what the own driver sees; sent is where its reads went of late.
func (z *Zones) See(now float64, sights []Sight, homes []Home, sent map[string]float64) Out {
	changed := len(sights) != len(z.sights)
	for i := 0; !changed && i < len(sights); i++ {
		changed = sights[i].Zone != z.sights[i].Zone || sights[i].eye() != z.sights[i].eye()
	}
	z.sights, z.homes = sights, homes
	if changed {
		z.reportAt = now
	}
	if z.plan != nil {
		z.follower.steer(now, z.plan, z.names(), sent)
	}
	return z.take(now)
}

// Tick lets time pass.
func (z *Zones) Tick(now float64, f Fleet) Out {
	z.fleet = f
	z.foundedBy(now, &z.fleet)
	z.council.tick(now, &z.fleet, func() *Plan { return z.first() })
	if now >= z.reportAt && z.plan != nil && z.reporting(now) {
		z.reportAt = now + z.beat
		z.turn++
		r := &Report{Zone: z.self.Zone, Turn: z.turn, Run: z.run, Sights: z.sights, Homes: z.homes}
		for _, v := range z.plan.Voters {
			if v == z.self.Name {
				z.told(now, v, r)
			} else {
				z.send(v, Word{Step: Tell, Report: r})
			}
		}
	}
	if z.plan != nil && z.leading && z.mayVote(now) {
		if z.courses == nil {
			z.begin(now)
		}
		z.govern(now)
	} else {
		z.courses = nil
	}
	return z.take(now)
}

// reporting says whether this driver is among those of its zone that report.
func (z *Zones) reporting(now float64) bool {
	n := 0
	for _, f := range z.fleet.Living {
		if f.Name == z.self.Name {
			return len(z.sights) > 0
		}
		if f.Zone == z.self.Zone {
			if n++; n >= reporters {
				return false
			}
		}
	}
	return false
}

// Got takes a word of a fellow. asked is when the fellow was asked for it, on the own clock, and -Inf where it was not.
func (z *Zones) Got(now, asked float64, from string, w Word) Out {
	switch {
	case w.Step == Holds:
		return z.Heard(now, asked, w.Held)
	case from == z.self.Name || from == "" || len(from) > mostNames:
	case w.Step == Tell:
		if w.Report.sane() && z.fleet.lives(from) {
			z.told(now, from, w.Report)
			if s := z.Summary(now); s != nil {
				z.send(from, Word{Step: Holds, Held: s})
			}
		}
	case w.Step == Say:
		if w.Order != nil && z.plan != nil {
			z.order(now, *w.Order, from)
		}
	default:
		epoch := z.epoch()
		z.council.got(now, from, &w, &z.fleet)
		if z.epoch() != epoch {
			out := z.take(now)
			out.News = true
			return out
		}
	}
	return z.take(now)
}

// told takes a report.
func (z *Zones) told(now float64, from string, r *Report) {
	if o := z.reports[from]; o != nil && o.Run == r.Run && o.Turn >= r.Turn || o != nil && o.Run > r.Run {
		return
	}
	if len(z.reports) >= mostSeen && z.reports[from] == nil {
		return
	}
	z.reports[from] = &seen{*r, from, now}
}

// Summary is what fellows tell each other of plans with whatever else they say.
type Summary struct {
	Epoch uint64  `cbor:"1,keyasint"`
	Sum   uint64  `cbor:"2,keyasint"`
	Age   float64 `cbor:"3,keyasint"` // how long ago that was certainly the newest; negative: not known
	Plan  *Plan   `cbor:"4,keyasint,omitempty"`
}

// Summary is this driver's.
func (z *Zones) Summary(now float64) *Summary {
	if z.plan == nil {
		return nil
	}
	s := &Summary{Epoch: z.plan.Epoch, Sum: z.planSum, Age: -1, Plan: z.plan}
	if a := z.age(now); !math.IsInf(a, 1) {
		s.Age = a
	}
	return s
}

// Heard takes a fellow's summary. asked is when the fellow was asked for it, on the own clock; what came unasked says nothing
// of now, and only its plan counts. It says in Out whether that was news, and wants to ask the fellow then.
func (z *Zones) Heard(now, asked float64, s *Summary) Out {
	if s == nil {
		return Out{}
	}
	age := s.Age
	if math.IsInf(asked, -1) {
		age = -1
	}
	before := z.inForce(now)
	news := z.heard(now, asked, s.Plan, s.Epoch, s.Sum, age)
	out := z.take(now)
	out.News = news
	out.Tolls = out.Tolls || before != z.inForce(now)
	return out
}

// Saved tells what became of Out.Save.
func (z *Zones) Saved(now float64, ok bool) { z.saved(now, ok) }

func (z *Zones) take(now float64) (out Out) {
	out = Out{Sends: z.sends, Notes: z.notes, Save: z.save(now)}
	z.sends, z.notes = nil, nil
	if t := z.follower.give(z.plan, z.names(), z.inForce(now)); !sameTolls(t, z.tolls) {
		z.tolls, out.Tolls = t, true
	}
	return out
}

func sameTolls(a, b map[string]float64) bool {
	if len(a) != len(b) || (a == nil) != (b == nil) {
		return false
	}
	for k, v := range a {
		if w, ok := b[k]; !ok || w != v {
			return false
		}
	}
	return true
}

// Tolls are what the module is to be told; nil for nothing.
func (z *Zones) Tolls() map[string]float64 { return z.tolls }

// first is a first plan: it names voters and moves nothing.
func (z *Zones) first() *Plan {
	p := &Plan{Epoch: 1, Voters: z.voters(nil)}
	for _, n := range z.names() {
		p.Zones = append(p.Zones, Zone{Name: n, Part: 1})
	}
	p.sort()
	return p
}

// voters are spread over the zones: those that are and live stay, as long as no zone has too many of them.
func (z *Zones) voters(now []string) []string {
	byZone := map[string][]string{}
	var zones []string
	for _, f := range z.fleet.Living {
		if _, listed := slices.BinarySearch(z.fleet.Names, f.Name); listed {
			if byZone[f.Zone] == nil {
				zones = append(zones, f.Zone)
			}
			byZone[f.Zone] = append(byZone[f.Zone], f.Name)
		}
	}
	slices.Sort(zones)
	for _, names := range byZone {
		slices.SortStableFunc(names, func(a, b string) int {
			return cmp.Or(-cmp.Compare(bit(slices.Contains(now, a)), bit(slices.Contains(now, b))), strings.Compare(a, b))
		})
	}
	var all []string
	want := min(z.r.Voters, len(z.fleet.Living))
	if want%2 == 0 { // an even one more makes no majority smaller
		want--
	}
	for turn := 0; len(all) < want; turn++ {
		any := false
		for _, zone := range zones {
			if turn < len(byZone[zone]) && len(all) < want {
				all, any = append(all, byZone[zone][turn]), true
			}
		}
		if !any {
			break
		}
	}
	slices.Sort(all)
	return all
}

// begin takes up leading: states go on from the plan, their times begin anew.
func (z *Zones) begin(now float64) {
	z.courses, z.begins, z.orders = map[string]*course{}, now, map[string]float64{}
	for _, n := range z.names() {
		z.courses[n] = &course{Zone: z.plan.zone(n), since: now, well: now}
	}
	for _, o := range z.plan.Orders {
		z.orders[o.Zone] = math.Inf(1)
		if o.Until > 0 {
			z.orders[o.Zone] = now + float64(o.Until)*z.beat
		}
	}
	z.frozen, z.moved, z.goal, z.goalAt = z.plan.Frozen, now, z.plan.Flows, 0
	z.note("leads", z.self.Name, fmt.Sprintf("epoch %d", z.plan.Epoch))
}

// fresh are reports that are not too old.
func (z *Zones) fresh(now float64) (all []Report) {
	for from, s := range z.reports {
		if now-s.at > 4*oldBeats*z.beat {
			delete(z.reports, from)
		}
	}
	var names []string
	for from, s := range z.reports {
		if now-s.at <= oldBeats*z.beat && z.fleet.lives(from) {
			names = append(names, from)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		all = append(all, z.reports[n].Report)
	}
	return all
}

// govern proposes the plan that is due, if another one is.
func (z *Zones) govern(now float64) {
	if z.round != nil || now < z.retry {
		return
	}
	if offer := z.pending(); offer != nil && now-z.takenAt > roundBeats*z.beat {
		z.propose(now, offer)
		return
	}
	reports := z.fresh(now)
	lives := map[string]bool{}
	for _, f := range z.fleet.Living {
		lives[f.Zone] = true
	}
	names := z.names()
	z.judged = judge(names, reports, lives, z.regionOf)
	z.expire(now)
	next := &Plan{Epoch: z.plan.Epoch + 1, Base: z.planSum, Voters: z.plan.Voters, Zones: slices.Clone(z.plan.Zones), Cuts: z.plan.Cuts, Flows: z.plan.Flows,
		Moves: z.plan.Moves, Orders: z.ordered(now), Frozen: z.frozen, Binds: z.plan.Binds}
	if z.unwell() {
		next.Voters = z.voters(z.plan.Voters)
	}
	// Reports of a leader that has just begun, or that hears too little, say nothing yet.
	if enough := now-z.begins > 2*z.beat && len(reports) > 0; enough && !z.frozen && len(names) > 1 {
		z.zonesOf(now, next, names)
		z.flowsOf(now, next, names, reports)
		z.movesOf(next, reports)
	}
	next.sort()
	lapsing := now-z.confirmed > 4*z.beat && !math.IsInf(z.confirmed, -1) // a plan that some took keeps this one from being confirmed
	if !next.same(z.plan) || lapsing {
		if most(z.fleet.Standing) {
			z.propose(now, next)
		}
	}
}

// unwell says that a voter is gone, or that more could be had.
func (z *Zones) unwell() bool {
	want := min(z.r.Voters, len(z.fleet.Living))
	if len(z.plan.Voters) < want-1+want%2 {
		return true
	}
	for _, v := range z.plan.Voters {
		if !z.fleet.lives(v) {
			return true
		}
	}
	return false
}

// zonesOf lets each zone's state go on.
func (z *Zones) zonesOf(now float64, p *Plan, names []string) {
	returning := false
	for _, n := range names {
		if c := z.courses[n]; c == nil {
			z.courses[n] = &course{Zone: z.plan.zone(n), since: now, well: now}
		} else if c.State == Returning {
			returning = true
		}
	}
	p.Zones, p.Cuts = nil, z.judged.Cuts
	for _, n := range names {
		c := z.courses[n]
		cause := z.judged.Causes[n]
		if slices.Contains(z.judged.Blind, n) { // nobody says anything: it stays what it is
			cause = c.Cause
		}
		_, ordered := z.orders[n]
		before := c.State
		c.step(now, z.r.Pace, cause, ordered, !returning)
		if c.State == Returning {
			returning = true
		}
		if c.State != before {
			z.note("zone", n, fmt.Sprintf("%s, was %s %s", c.State, before, c.Cause))
		}
		shown := c.Zone
		shown.Part = math.Round(shown.Part*4) / 4
		p.Zones = append(p.Zones, shown)
	}
}

// flowsOf solves for shares, and lets them move as fast as they may.
func (z *Zones) flowsOf(now float64, p *Plan, names []string, reports []Report) {
	places := z.places(p, names, reports)
	disturbed := len(p.Cuts) > 0
	for i := range p.Zones {
		disturbed = disturbed || p.Zones[i].Part < 1 || p.Zones[i].State != Serving && p.Zones[i].State != Doubted
	}
	if !disturbed { // near first
		for _, pl := range places {
			disturbed = disturbed || pl.Demand > pl.Room*(1-z.r.Limits.Headroom)
		}
	}
	var want, flows []Flow
	var binds []string
	if disturbed {
		want, binds = shares(places, z.r.Limits, func(from, to string) bool { return !p.cut(from, to) })
	}
	// Another goal only where zones are no longer the same, or the old one is far off for a while: demand is noisy, and of
	// several plans that cost the same the solver gives any.
	hard := !slices.Equal(p.Zones, z.plan.Zones) || !slices.Equal(p.Cuts, z.plan.Cuts) || z.goalAt == 0
	if off := apart(names, want, z.goal); hard || off >= flowsOff && now-z.goalAt > goalBeats*z.beat || len(want) == 0 && now-z.goalAt > goalBeats*z.beat {
		z.goal, z.goalAt, p.Binds = want, now, binds
	}
	if !hard && now-z.moved < z.beat {
		p.Flows = z.plan.Flows
		return
	}
	most := z.r.Move * (now - z.moved) / 1000
	goal := &Plan{Flows: z.goal}
	for _, from := range names {
		gone := p.zone(from).Part == 0 // nothing to be kept there
		for _, to := range names {
			if from == to {
				continue
			}
			was, is := z.plan.share(from, to), goal.share(from, to)
			if !gone && p.zone(to).State != Away {
				is = was + min(max(is-was, -most), most)
			}
			if is = math.Round(is*100) / 100; is >= leastShare {
				flows = append(flows, Flow{from, to, is})
			}
		}
	}
	if p.Flows = flows; !slices.Equal(flows, z.plan.Flows) {
		z.moved = now
	}
}

// apart is how far two sets of flows are from each other, in the share that differs most.
func apart(names []string, a, b []Flow) (far float64) {
	x, y := &Plan{Flows: a}, &Plan{Flows: b}
	for _, from := range names {
		for _, to := range names {
			far = max(far, math.Abs(x.share(from, to)-y.share(from, to)))
		}
	}
	return far
}

// places are the zones with their demand and room, in members' usual work.
func (z *Zones) places(p *Plan, names []string, reports []Report) []Place {
	members, up, reads, n := map[string]float64{}, map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, r := range reports {
		n[r.Zone]++
		for _, s := range r.Sights {
			reads[r.Zone] += s.Reads
			members[s.Zone] = max(members[s.Zone], float64(s.Members))
			up[s.Zone] = max(up[s.Zone], float64(s.Members-s.Silent))
		}
	}
	drivers := map[string]float64{}
	for _, f := range z.fleet.Living {
		drivers[f.Zone]++
	}
	total, all := 0.0, 0.0
	demand := map[string]float64{}
	for _, name := range names {
		if n[name] > 0 {
			demand[name] = reads[name] / n[name] * drivers[name]
		}
		total += demand[name]
		all += members[name]
	}
	if calm := len(z.judged.Causes) == 0 && len(z.judged.Cuts) == 0; total > 0 && all > 0 && (calm || z.unit == 0) {
		z.unit = max(total/(all*z.r.Load), 0.98*z.unit)
	}
	var places []Place
	for _, name := range names {
		zone := p.zone(name)
		places = append(places, Place{name, z.regionOf[name], demand[name], up[name] * z.unit * zone.Part})
	}
	return places
}

// movesOf asks for primaries out of zones that are to be empty. Where most zones see one elsewhere it has moved.
func (z *Zones) movesOf(p *Plan, reports []Report) {
	homes := map[int64]map[string]int{}
	for _, r := range reports {
		for _, h := range r.Homes {
			if homes[h.Group] == nil {
				homes[h.Group] = map[string]int{}
			}
			homes[h.Group][h.Zone]++
		}
	}
	p.Moves = nil
	for group, votes := range homes {
		home, most, all := "", 0, 0
		for zone, n := range votes {
			if all += n; n > most || n == most && zone < home {
				home, most = zone, n
			}
		}
		if st := p.zone(home); 2*most <= all || st.State != Leaving && st.State != Away {
			continue
		}
		to, best := "", -1.0
		for _, s := range p.Zones {
			if room := z.spare(s, p, home); s.State == Serving && room > best {
				to, best = s.Name, room
			}
		}
		if was := slices.IndexFunc(z.plan.Moves, func(m Move) bool { return m.Group == group && m.From == home }); was >= 0 && p.zone(z.plan.Moves[was].To).State == Serving {
			to = z.plan.Moves[was].To // asked for already
		}
		if to != "" && len(p.Moves) < mostMoves {
			p.Moves = append(p.Moves, Move{group, home, to})
		}
	}
}

// spare is how well a zone would do for a primary: reached by all, of the same region, with members.
func (z *Zones) spare(s Zone, p *Plan, from string) float64 {
	room := 0.0
	for _, o := range p.Zones {
		if o.State == Serving && p.cut(o.Name, s.Name) {
			room -= 10
		}
	}
	if z.regionOf[s.Name] == z.regionOf[from] {
		room += 2
	}
	for _, r := range z.sights {
		if r.Zone == s.Name {
			room += min(float64(r.Members-r.Silent), 100) / 100
			if r.Members == 0 { // a witness
				room = math.Inf(-1)
			}
		}
	}
	return room
}

// Order takes what operators say, and passes it on to the voters.
func (z *Zones) Order(now float64, s Saying) (Out, error) {
	switch {
	case z.plan == nil:
		return Out{}, ErrNone
	case !z.inForce(now):
		return Out{}, ErrPart
	case s.Freeze == nil && !slices.Contains(z.names(), s.Zone):
		return Out{}, ErrZone
	}
	z.order(now, s, "")
	for _, v := range z.plan.Voters {
		if v != z.self.Name {
			z.send(v, Word{Step: Say, Order: &s})
		}
	}
	return z.take(now), nil
}

// order takes one, where this driver leads.
func (z *Zones) order(now float64, s Saying, from string) {
	if z.courses == nil || z.takenO[s.Asked] {
		return
	}
	if len(z.takenO) > mostOrder {
		z.takenO = map[uint64]bool{}
	}
	z.takenO[s.Asked] = true
	switch {
	case s.Freeze != nil:
		z.frozen = *s.Freeze
	case s.Away:
		z.orders[s.Zone] = math.Inf(1)
		if s.For > 0 {
			z.orders[s.Zone] = now + s.For
		}
	default:
		delete(z.orders, s.Zone)
	}
	z.note("order", s.Zone, fmt.Sprintf("away=%v for=%.0fms", s.Away, s.For))
}

func (z *Zones) expire(now float64) {
	for zone, until := range z.orders {
		if now >= until {
			delete(z.orders, zone)
		}
	}
}

// ordered are the orders that hold, for a plan. Times left are told in steps: a plan for each beat would be none.
func (z *Zones) ordered(now float64) (all []Order) {
	for zone, until := range z.orders {
		o := Order{Zone: zone}
		if !math.IsInf(until, 1) {
			o.Until = uint64(math.Ceil((until-now)/z.beat/60)) * 60
		}
		all = append(all, o)
	}
	return all
}

// Planned are the zones that the plan has a share of this driver's reads for.
func (z *Zones) Planned() map[string]bool {
	all := map[string]bool{}
	if z.plan != nil {
		for _, f := range z.plan.Flows {
			all[f.To] = all[f.To] || f.From == z.self.Zone
		}
	}
	return all
}

// Asks are the moves of primaries that this driver is to ask the topology manager for, and the plan's epoch.
func (z *Zones) Asks(now float64) ([]Move, uint64) {
	if z.courses == nil || !Allowed(z.fleet.Standing, z.inForce(now), MovePrimary) {
		return nil, 0
	}
	return z.plan.Moves, z.plan.Epoch
}

// Preview is what would be planned.
type Preview struct {
	Places []Place  `json:"places"`
	Flows  []Flow   `json:"flows"`
	Binds  []string `json:"binds"`
}

// Without tells what would be planned were a zone away, by the reports that who leads has; empty: as it is.
func (z *Zones) Without(now float64, zone string) (Preview, error) {
	switch {
	case z.plan == nil:
		return Preview{}, ErrNone
	case z.courses == nil:
		return Preview{}, fmt.Errorf("%w: %s", ErrLeads, z.plan.Voters[0])
	case zone != "" && !slices.Contains(z.names(), zone):
		return Preview{}, ErrZone
	}
	p := *z.plan
	p.Zones = slices.Clone(p.Zones)
	for i := range p.Zones {
		if p.Zones[i].Name == zone {
			p.Zones[i].Part = 0
		}
	}
	v := Preview{Places: z.places(&p, z.names(), z.fresh(now))}
	v.Flows, v.Binds = shares(v.Places, z.r.Limits, func(from, to string) bool { return !p.cut(from, to) })
	return v, nil
}

// Status is what operators are shown.
type Status struct {
	Self    string             `json:"self"`
	Zone    string             `json:"zone"`
	Leads   bool               `json:"leads"`
	InForce bool               `json:"in_force"`
	Age     float64            `json:"age_ms"` // since the plan was certainly the newest; -1: not known
	Lease   float64            `json:"lease_ms"`
	Plan    *Plan              `json:"plan"`
	Tolls   map[string]float64 `json:"tolls,omitempty"`
	Sights  []Sight            `json:"sights"`
	Causes  map[string]Cause   `json:"causes,omitempty"` // as the leader judges
	Votes   string             `json:"votes,omitempty"`  // promised and taken, where a next plan is voted on
	Calls   []Crossing         `json:"crossings,omitempty"`
}

// Status gives the view as it is now.
func (z *Zones) Status(now float64) Status {
	s := Status{Self: z.self.Name, Zone: z.self.Zone, Leads: z.leading && z.plan != nil, InForce: z.inForce(now), Age: -1, Lease: z.lease, Plan: z.plan,
		Tolls: z.tolls, Sights: z.sights}
	if a := z.age(now); !math.IsInf(a, 1) {
		s.Age = a
	}
	if z.promised.Turn > 0 || z.round != nil {
		s.Votes = fmt.Sprintf("promised %v, taken %v, leads a round: %v", z.promised, z.taken, z.round != nil)
	}
	if s.Leads {
		s.Causes = z.judged.Causes
	}
	return s
}

func describe(p *Plan) string {
	text := fmt.Sprintf("epoch %d, voters %s", p.Epoch, strings.Join(p.Voters, ","))
	for _, z := range p.Zones {
		if z.State != Serving || z.Cause != None {
			text += fmt.Sprintf("; %s %s %s", z.Name, z.State, z.Cause)
		}
	}
	for _, c := range p.Cuts {
		text += fmt.Sprintf("; %s does not reach %s", c.From, c.To)
	}
	for _, f := range p.Flows {
		text += fmt.Sprintf("; %s to %s %.0f%%", f.From, f.To, 100*f.Share)
	}
	for _, m := range p.Moves {
		text += fmt.Sprintf("; primary of %d to %s", m.Group, m.To)
	}
	return text
}
