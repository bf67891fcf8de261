package zones

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/standin/virtualclock"
)

// town is some drivers in virtual time, with a network between them and members that are only health.
type town struct {
	virtualclock.Scheduler
	ds     []*resident
	draw   *rand.Rand
	cut    func(a, b int) bool                  // drivers, one way
	sees   func(from, of string) Observation    // what drivers of a zone see of another
	lies   func(d *resident, all []Observation) // changes a report
	loss   float64
	late   float64           // mean latency
	epochs map[uint64]uint64 // sum by epoch, of all plans that were ever in force
	began  map[uint64]float64
	lease  float64
	home   map[int64]string
	keeps  bool
	broken []string
	watch  func(d *resident, o Output) // sees what each driver puts out; nil: nobody does
}

type resident struct {
	z      *Coordinator
	i      int
	name   string
	zone   string
	life   int
	frozen float64
	disk   *SavedState
	heard  []float64
	wait   []func()
}

func rules() Options {
	return Options{Heartbeat: 500, Lease: 5000, Voters: 5, Regions: []Region{{"r", []string{"a", "b", "c"}}}, BaselineUtilization: 0.6,
		MaxShiftRate: 0.5,
		Timing:       Timing{SuspectFor: 1000, DegradedFor: 3000, BaseEjection: 3000, MaxEjection: 60000, SlowStart: 2000, ForgiveAfter: 60000},
		Limits:       Limits{Headroom: 0.2, CrossZoneBudget: 1}}
}

func newTown(seed uint64, zones ...string) *town {
	t := &town{Scheduler: virtualclock.Scheduler{Now: 1000}, draw: rand.New(rand.NewPCG(seed, 9)), late: 5, epochs: map[uint64]uint64{},
		began: map[uint64]float64{}, lease: rules().Lease,
		home: map[int64]string{1: "a"}, keeps: true}
	t.sees = func(from, of string) Observation { return Observation{Zone: of, Members: 4, Reads: 100} }
	for i, zone := range zones {
		d := &resident{i: i, name: fmt.Sprintf("n%d", i), zone: zone, heard: make([]float64, len(zones))}
		for k := range d.heard {
			d.heard[k] = -1e9
		}
		t.ds = append(t.ds, d)
	}
	for _, d := range t.ds {
		t.start(d)
	}
	return t
}

func (t *town) zones() (all []string) {
	for _, d := range t.ds {
		all = append(all, d.zone)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// start begins a process, which knows what an earlier one kept.
func (t *town) start(d *resident) {
	r := rules()
	r.Persistent, r.Saved = t.keeps, d.disk
	d.life++
	d.z, d.frozen, d.wait = New(t.Now, r, Peer{d.name, d.zone}, uint64(t.Now)), 0, nil
	if !t.keeps && d.life > 1 {
		d.z.voteAfter = t.Now + abstainHeartbeats*d.z.heartbeat
	}
	life := d.life
	var tick, gossip func()
	tick = func() {
		if d.life != life {
			return
		}
		if t.Now < d.frozen {
			t.After(d.frozen-t.Now, tick)
			return
		}
		for _, do := range d.wait {
			do()
		}
		d.wait = nil
		t.tick(d)
		t.After(100, tick)
	}
	gossip = func() {
		if d.life != life {
			return
		}
		if t.Now >= d.frozen {
			t.ask(d, t.ds[t.draw.IntN(len(t.ds))])
		}
		t.After(500*(0.5+t.draw.Float64()), gossip)
	}
	t.After(100*t.draw.Float64(), tick)
	t.After(100*t.draw.Float64(), gossip)
}

func (t *town) kill(d *resident) { d.life++; d.z = nil }

// pass carries something from one driver to another, if it comes through.
func (t *town) pass(a, b *resident, do func()) {
	if a == b || t.cut != nil && t.cut(a.i, b.i) || t.draw.Float64() < t.loss {
		return
	}
	life := b.life
	after := t.late * (0.5 + t.draw.ExpFloat64())
	if t.draw.Float64() < t.loss/2 { // much too late
		after += 20000 * t.draw.Float64()
	}
	once := func() {
		if b.z == nil || b.life != life {
			return
		}
		if t.Now < b.frozen {
			b.wait = append(b.wait, do)
			return
		}
		do()
	}
	t.After(after, once)
	if t.draw.Float64() < t.loss {
		t.After(2*after, once)
	}
}

// ask has one driver asked for what it holds.
func (t *town) ask(d, o *resident) {
	asked, life := t.Now, d.life
	t.pass(d, o, func() {
		s := o.z.Summary(t.Now)
		t.pass(o, d, func() {
			if d.life == life {
				t.out(d, d.z.ReceiveSummary(t.Now, asked, s))
			}
		})
	})
}

func (t *town) out(d *resident, o Output) {
	if t.watch != nil {
		t.watch(d, o)
	}
	if o.Save != nil {
		k := *o.Save
		d.disk = &k
		d.z.Saved(t.Now, true)
	}
	for _, s := range o.Messages {
		i := slices.IndexFunc(t.ds, func(o *resident) bool { return o.name == s.To })
		to := t.ds[i]
		asked, life := t.Now, d.life
		t.pass(d, to, func() {
			o := to.z.Receive(t.Now, math.Inf(-1), d.name, s.Message)
			if s.Message.Kind == ReportState {
				o.Messages = slices.DeleteFunc(o.Messages, func(s Envelope) bool {
					if s.To == d.name {
						t.pass(to, d, func() {
							if d.life == life {
								t.out(d, d.z.Receive(t.Now, asked, to.name, s.Message))
							}
						})
					}
					return s.To == d.name
				})
			}
			t.out(to, o)
		})
	}
	if o.PlanChanged {
		for range 3 {
			to := t.ds[t.draw.IntN(len(t.ds))]
			s := d.z.Summary(t.Now)
			t.pass(d, to, func() {
				o := to.z.ReceiveSummary(t.Now, math.Inf(-1), s)
				if t.out(to, o); o.PlanChanged {
					t.ask(to, d)
				}
			})
		}
	}
	t.check(d)
}

// check holds what must always be so.
func (t *town) check(d *resident) {
	z := d.z
	if z == nil || !z.inForce(t.Now) {
		return
	}
	e := z.plan.Epoch
	if sum, ok := t.epochs[e]; ok && sum != z.planSum {
		t.broken = append(t.broken, fmt.Sprintf("%.0f: two plans of epoch %d", t.Now, e))
	}
	t.epochs[e] = z.planSum
	if _, ok := t.began[e]; !ok {
		t.began[e] = t.Now
	}
	for later, began := range t.began {
		if later > e && t.Now-began > t.lease {
			t.broken = append(t.broken, fmt.Sprintf("%.0f: %s goes by epoch %d, %.0f after %d began", t.Now, d.name, e,
				t.Now-began, later))
		}
	}
}

// tick lets a driver see what membership and its own sends would tell it.
func (t *town) tick(d *resident) {
	f := Fleet{RosterVersion: 1, Zones: t.zones()}
	for _, o := range t.ds {
		f.Roster = append(f.Roster, o.name)
		if o == d || o.z != nil && t.Now >= o.frozen && !(t.cut != nil && (t.cut(o.i, d.i) || t.cut(d.i, o.i))) {
			d.heard[o.i] = t.Now
		}
		if t.Now-d.heard[o.i] < 1500 {
			f.Alive = append(f.Alive, Peer{o.name, o.zone})
		}
	}
	slices.Sort(f.Roster)
	slices.SortFunc(f.Alive, func(a, b Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	switch n := len(f.Alive); {
	case n == len(f.Roster):
		f.Partition = membership.Complete
	case 2*n > len(f.Roster):
		f.Partition = membership.Majority
	default:
		f.Partition = membership.Minority
	}
	var sights []Observation
	for _, z := range t.zones() {
		if s := t.sees(d.zone, z); s.Members > 0 {
			if z != d.zone {
				s.Reads = 0
			}
			sights = append(sights, s)
		}
	}
	if t.lies != nil {
		t.lies(d, sights)
	}
	homes := []PrimaryLocation{}
	for g, zone := range t.home {
		homes = append(homes, PrimaryLocation{g, zone})
	}
	t.out(d, d.z.Observe(t.Now, sights, homes, nil))
	t.out(d, d.z.Tick(t.Now, f))
}

func (t *town) run(length float64) {
	t.RunUntil(t.Now + length)
}

// until runs until something is so; it gives how long that took, -1 where it was not so in time.
func (t *town) until(most float64, so func() bool) float64 {
	for began := t.Now; t.Now-began < most; t.run(50) {
		if so() {
			return t.Now - began
		}
	}
	return -1
}

// all says that every driver that runs goes by one plan in force, for which something holds.
func (t *town) all(so func(p *Plan) bool) bool {
	var sum uint64
	for _, d := range t.ds {
		if d.z == nil {
			continue
		}
		if !d.z.inForce(t.Now) || sum != 0 && d.z.planSum != sum || !so(d.z.plan) {
			return false
		}
		sum = d.z.planSum
	}
	return true
}

func calm(p *Plan) bool {
	for _, z := range p.Zones {
		if z.State != Serving || z.Capacity < 1 {
			return false
		}
	}
	return len(p.Partitions) == 0 && len(p.Flows) == 0
}

// serving says that all zones are; one with more drivers may still spill over.
func serving(p *Plan) bool {
	q := *p
	q.Flows = nil
	return calm(&q)
}

func (t *town) dump(tt testing.TB) {
	for _, d := range t.ds {
		if d.z != nil {
			tt.Logf("%.0f %s/%s: %+v judged %+v", t.Now, d.name, d.zone, d.z.Status(t.Now), d.z.assessment)
			if d.z.plan != nil {
				tt.Logf("  %s", describe(d.z.plan))
			}
		}
	}
	for _, b := range t.broken {
		tt.Log(b)
	}
}

func is(zone string, s State, c Cause) func(p *Plan) bool {
	return func(p *Plan) bool { z := p.zone(zone); return z.State == s && z.Cause == c }
}

// What is wrong is told apart, decided on by all, and undone when it is over.
func TestCauses(t *testing.T) {
	nine := []string{"a", "b", "c", "a", "b", "c", "a", "b", "c"}
	drivers := func(zone string, w *town) (all []*resident) {
		for _, d := range w.ds {
			if d.zone == zone {
				all = append(all, d)
			}
		}
		return all
	}
	silentTo := func(w *town, from ...string) {
		w.sees = func(f, of string) Observation {
			s := Observation{Zone: of, Members: 4, Reads: 100}
			if of == "b" && slices.Contains(from, f) {
				s.Unreachable = 4
			}
			return s
		}
	}
	for name, x := range map[string]struct {
		fault func(w *town)
		want  func(p *Plan) bool
	}{
		"a zone lost": {func(w *town) {
			silentTo(w, "a", "c")
			for _, d := range drivers("b", w) {
				w.kill(d)
			}
		}, is("b", Ejected, ZoneLost)},
		"members lost": {func(w *town) { silentTo(w, "a", "b", "c") }, is("b", Ejected, MembersLost)},
		"drivers lost": {func(w *town) {
			for _, d := range drivers("b", w) {
				w.kill(d)
			}
		}, is("b", Serving, DriversLost)},
		"isolated": {func(w *town) { silentTo(w, "a", "c") }, is("b", Ejected, Isolated)},
		"cut one way": {func(w *town) { silentTo(w, "a") }, func(p *Plan) bool {
			return p.partitioned("a", "b") && !p.partitioned("c", "b") && !p.partitioned("b", "a") && p.zone("b").State == Serving
		}},
		"slow": {func(w *town) {
			w.sees = func(f, of string) Observation {
				s := Observation{Zone: of, Members: 4, Reads: 100, LatencyRatio: 1}
				if of == "b" {
					s.LatencyRatio = 4
				}
				return s
			}
		}, func(p *Plan) bool { return is("b", Serving, Slow)(p) && p.zone("b").Capacity == degradedCapacity }},
		"one driver says that all is lost": {func(w *town) {
			w.lies = func(d *resident, all []Observation) {
				if d.i == 4 {
					for i := range all {
						all[i].Unreachable = all[i].Members
					}
				}
			}
		}, calm},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTown(1, nine...)
			if w.until(60000, func() bool { return w.all(calm) }) < 0 {
				w.dump(t)
				t.Fatal("no first plan")
			}
			x.fault(w)
			took := w.until(60000, func() bool { return w.all(x.want) })
			if w.run(5000); took < 0 || w.until(5000, func() bool { return w.all(x.want) }) < 0 {
				w.dump(t)
				t.Fatal("not so, or not for long")
			}
			t.Logf("%.0f ms", took)
			silentTo(w)
			w.lies = nil
			for _, d := range w.ds {
				if d.z == nil {
					w.start(d)
				}
			}
			if w.until(120000, func() bool { return w.all(calm) }) < 0 || len(w.broken) > 0 {
				w.dump(t)
				t.Fatal("not as before")
			}
		})
	}
}

// Any faults between drivers: no two plans of one epoch in force, none for longer than its lease beside a later one,
// and after the last fault all go by one plan.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(3, 7).Draw(r, "drivers")
		var zones []string
		for i := range n {
			zones = append(zones, string(rune('a'+i%3)))
		}
		w := newTown(rapid.Uint64().Draw(r, "seed"), zones...)
		w.keeps = rapid.Bool().Draw(r, "keeps")
		for _, d := range w.ds {
			w.start(d)
		}
		w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(r, "loss")
		if w.until(120000, func() bool { return w.all(func(*Plan) bool { return true }) }) < 0 {
			r.Fatal("no first plan")
		}
		down := map[string]bool{}
		w.sees = func(from, of string) Observation {
			s := Observation{Zone: of, Members: 4, Reads: 100}
			if down[of] || down[from+of] {
				s.Unreachable = 4
			}
			return s
		}
		for range rapid.IntRange(1, 6).Draw(r, "faults") {
			d := w.ds[rapid.IntRange(0, n-1).Draw(r, "at")]
			switch rapid.IntRange(0, 7).Draw(r, "fault") {
			case 0:
				w.kill(d)
			case 1:
				if d.z == nil {
					w.start(d)
				}
			case 2:
				d.frozen = w.Now + 20000*w.draw.Float64()
			case 3:
				side := rapid.Uint64().Draw(r, "sides")
				w.cut = func(a, b int) bool { return side>>a&1 != side>>b&1 }
			case 4:
				a, b := d.i, rapid.IntRange(0, n-1).Draw(r, "to")
				w.cut = func(x, y int) bool { return x == a && y == b }
			case 5:
				w.cut = nil
			case 6:
				down[d.zone] = !down[d.zone]
			case 7:
				to := w.ds[rapid.IntRange(0, n-1).Draw(r, "to")].zone
				down[d.zone+to] = !down[d.zone+to]
			}
			w.run(15000 * w.draw.Float64())
		}
		w.cut, w.loss = nil, 0
		clear(down)
		for _, d := range w.ds {
			if d.z == nil {
				w.start(d)
			}
		}
		took := w.until(400000, func() bool { return w.all(serving) })
		if took < 0 || len(w.broken) > 0 {
			for _, b := range w.broken {
				r.Log(b)
			}
			for _, d := range w.ds {
				r.Logf("%s %s orders %v lives %v", d.name, describe(d.z.plan), d.z.evacuations, d.z.fleet.Alive)
			}
			r.Fatal("after the last fault")
		}
	})
}
