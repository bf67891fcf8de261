package switchover

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

var config = Config{DefaultLease: 100, MaxHold: 250, ReleaseTimeout: 50, RoleQueryInterval: 30, Retention: 1000, MaxGroups: 4}

// driver is a tracker and what its outcomes have marked.
type driver struct {
	tracker *Tracker
	marks   map[string]bool
	seen    Notification
	holds   float64 // when the hold of the newest epoch was first marked
	broken  string
}

func newDriver(origin uint64) *driver {
	own := config
	own.Origin = origin
	return &driver{tracker: New(own), marks: map[string]bool{}}
}

func (d *driver) clone() *driver {
	x := newDriver(d.tracker.config.Origin)
	x.seen, x.holds = d.seen, d.holds
	for m := range d.marks {
		x.marks[m] = true
	}
	for g, c := range d.tracker.changes {
		y := *c
		x.tracker.changes[g] = &y
	}
	return x
}

// takes carries an outcome out and checks what must hold at any moment.
func (d *driver) takes(now float64, out Outcome) {
	for _, m := range out.Marks {
		if d.marks[m.Member] == m.Draining {
			d.broken = fmt.Sprintf("%v twice", m)
		}
		if m.Draining {
			d.marks[m.Member] = true
			d.holds = now
		} else {
			delete(d.marks, m.Member)
		}
	}
	var all []string
	for m := range d.marks {
		all = append(all, m)
	}
	slices.Sort(all)
	if marked := d.tracker.Draining(); !slices.Equal(all, marked) {
		d.broken = fmt.Sprintf("marks are %v, the tracker says %v", all, marked)
	}
	c := d.tracker.changes[1]
	if c == nil {
		return
	}
	if d.seen.newerThan(&c.latest) {
		d.broken = fmt.Sprintf("%+v behind %+v", c.latest, d.seen)
	}
	d.seen = c.latest
	// the longest pause between two ticks here
	if c.draining != "" && (c.latest.Stage == StageAborted || c.latest.Stage == StageAnnounced || c.expired ||
		!c.claimsPrimary && now-c.heldSince > config.MaxHold+config.ReleaseTimeout+2*config.RoleQueryInterval+120) {
		d.broken = fmt.Sprintf("marked: %+v at %v", *c, now)
	}
}

// Two drivers, three members, every order of words, exchanges, sights and pauses up to a length: states never go back,
// marks end, and drivers that have told each other everything agree.
func TestEveryOrder(t *testing.T) {
	type step struct {
		name string
		do   func(now *float64, a, b *driver)
	}
	hook := func(name string, second bool, n Notification) step {
		return step{name, func(now *float64, a, b *driver) {
			if second {
				a = b
			}
			_, out, _ := a.tracker.HandleHook(*now, n, "m1")
			a.takes(*now, out)
		}}
	}
	tell := func(now float64, from, to *driver) {
		for _, s := range from.tracker.Status(now) {
			out, err := to.tracker.HandleNotification(now, s.Notification)
			if err != nil {
				to.broken = err.Error()
			}
			to.takes(now, out)
		}
	}
	pause := func(ms float64) step {
		return step{fmt.Sprintf("pause %g", ms), func(now *float64, a, b *driver) {
			*now += ms
			for _, d := range []*driver{a, b} {
				d.takes(*now, d.tracker.Tick(*now))
			}
		}}
	}
	steps := []step{
		hook("a announces", false, Notification{Group: 1, Stage: StageAnnounced, To: "m2"}),
		hook("a holds", false, Notification{Group: 1, Stage: StageHeld}),
		hook("b holds to m3", true, Notification{Group: 1, Stage: StageHeld, From: "m2", To: "m3"}),
		hook("a releases", false, Notification{Group: 1, Stage: StageReleased}),
		hook("b releases", true, Notification{Group: 1, Stage: StageReleased}),
		hook("b aborts", true, Notification{Group: 1, Stage: StageAborted}),
		{"a tells b", func(now *float64, a, b *driver) { tell(*now, a, b) }},
		{"b tells a", func(now *float64, a, b *driver) { tell(*now, b, a) }},
		{"a sees m2", func(now *float64, a, b *driver) { a.takes(*now, a.tracker.ObservePrimary(*now, 1, "m2")) }},
		{"a hears m1 as replica", func(now *float64, a, b *driver) { a.takes(*now, a.tracker.ObserveRole(*now, "m1", false)) }},
		{"a hears m1 as primary", func(now *float64, a, b *driver) { a.takes(*now, a.tracker.ObserveRole(*now, "m1", true)) }},
		{"b forgets all", func(now *float64, a, b *driver) { *b = *newDriver(2) }}, // a driver that starts in the middle
		pause(60), pause(120),
	}
	depth := 5
	if testing.Short() {
		depth = 4
	}
	played := 0
	var walk func(now float64, a, b *driver, path []string)
	walk = func(now float64, a, b *driver, path []string) {
		played++
		if a.broken+b.broken != "" {
			t.Fatalf("%v: %s %s", path, a.broken, b.broken)
		}
		x, y, at := a.clone(), b.clone(), now
		tell(at, x, y)
		tell(at, y, x)
		if p, q := x.tracker.changes[1], y.tracker.changes[1]; (p == nil) != (q == nil) || p != nil &&
			(p.latest.Epoch != q.latest.Epoch || p.latest.Stage != q.latest.Stage || p.latest.Renewals != q.latest.Renewals ||
				p.latest.From != q.latest.From) {
			t.Fatalf("%v: told everything, they differ: %+v, %+v", path, p, q)
		}
		for range 4 { // nothing is held or marked for good
			at += config.MaxHold
			for _, d := range []*driver{x, y} {
				d.takes(at, d.tracker.Tick(at))
			}
		}
		at += config.Retention
		for _, d := range []*driver{x, y} {
			d.takes(at, d.tracker.Tick(at))
			if d.takes(at, d.tracker.Tick(at)); d.broken != "" || len(d.marks) > 0 || len(d.tracker.changes) > 0 || d.tracker.Active() {
				t.Fatalf("%v: at the end %q, marks %v, %v", path, d.broken, d.marks, d.tracker.Status(at))
			}
		}
		if len(path) == depth {
			return
		}
		for _, s := range steps {
			at, x, y := now, a.clone(), b.clone()
			s.do(&at, x, y)
			walk(at, x, y, append(path[:len(path):len(path)], s.name))
		}
	}
	walk(1000, newDriver(1), newDriver(2), nil)
	if played < 20000 {
		t.Errorf("only %d orders were played", played)
	}
}

func marks(out Outcome) string { return fmt.Sprint(out.Marks) }

// A planned change as hooks tell it: the old primary is marked with the hold and stays so behind the release until
// another is seen; repeats do nothing; what is left out is filled in.
func TestPlannedChange(t *testing.T) {
	b := New(config)
	const first = 5000 * maxOrigins
	w, out, err := b.HandleHook(5000, Notification{Group: 1, Stage: StageAnnounced, To: "m2"}, "m1")
	if err != nil || w.Epoch != first || w.From != "m1" || marks(out) != "[]" || !slices.Equal(out.QueryRoles, []string{"m2"}) {
		t.Fatal(w, out, err)
	}
	w, out, err = b.HandleHook(5010, Notification{Group: 1, Stage: StageHeld}, "")
	if err != nil || w.Epoch != first || w.From != "m1" || w.To != "m2" || w.Lease != 100 || marks(out) != "[{m1 true}]" {
		t.Fatal(w, out, err)
	}
	if out, err = b.HandleNotification(5011, w); err != nil || out.LogText != "" || len(out.Marks) > 0 {
		t.Error("a repeat does something:", out, err)
	}
	if out = b.ObservePrimary(5020, 1, "m1"); len(out.Marks) > 0 {
		t.Error("the old one ends the change:", out)
	}
	w, out, err = b.HandleHook(5030, Notification{Group: 1, Stage: StageReleased}, "")
	if err != nil || marks(out) != "[]" || !slices.Equal(out.QueryRoles, []string{"m2"}) {
		t.Fatal(w, out, err)
	}
	if out = b.ObservePrimary(5040, 1, "m2"); len(out.Marks) > 0 || !slices.Equal(out.QueryRoles, []string{"m1"}) {
		t.Error(out)
	}
	if out = b.ObservePrimary(5041, 1, "m2"); len(out.QueryRoles) > 0 {
		t.Error("asked twice:", out)
	}
	if out = b.ObserveRole(5042, "m1", false); marks(out) != "[{m1 false}]" || b.Active() {
		t.Error(out)
	}
	if _, out, err = b.HandleHook(5050, Notification{Group: 1, Stage: StageReleased}, ""); err != nil || out.LogText != "" {
		t.Error("a repeated release:", out, err)
	}
	for stage, want := range map[Stage]error{StageAborted: ErrChangeFinished} {
		if _, _, err := b.HandleHook(5050, Notification{Group: 1, Stage: stage}, ""); !errors.Is(err, want) {
			t.Error(stage, err)
		}
	}
	if _, _, err = b.HandleHook(5050, Notification{Group: 1, Epoch: first, Stage: StageHeld}, "m2"); !errors.Is(err, ErrChangeFinished) {
		t.Error(err)
	}
	// a switch back is a change of its own, and the older one's words do nothing to it
	w, out, err = b.HandleHook(5060, Notification{Group: 1, Stage: StageHeld}, "m2")
	if err != nil || w.Epoch <= first || w.From != "m2" || marks(out) != "[{m2 true}]" {
		t.Fatal(w, out, err)
	}
	if out, err = b.HandleNotification(5061, Notification{Group: 1, Epoch: first, Stage: StageAborted, From: "m1"}); err != nil || out.LogText != "" {
		t.Error("an older word does something:", out, err)
	}
	if _, _, err = b.HandleHook(5062, Notification{Group: 1, Epoch: first, Stage: StageAborted}, ""); !errors.Is(err, ErrStale) {
		t.Error(err)
	}
}

// A deposed primary that goes on as one beside the new one gets nothing, for as long as it says so, and is told of
// once.
func TestTwoPrimaries(t *testing.T) {
	b := New(config)
	b.HandleHook(1000, Notification{Group: 1, Stage: StageHeld, From: "m1"}, "")
	b.HandleHook(1010, Notification{Group: 1, Stage: StageReleased}, "")
	b.ObservePrimary(1020, 1, "m2")
	notes := 0
	for now := 1021.0; now < 3000; now += 10 {
		out := b.ObserveRole(now, "m1", true)
		if out.LogText != "" {
			notes++
		}
		if tick := b.Tick(now); len(out.Marks)+len(tick.Marks) > 0 {
			t.Fatalf("at %v: %+v %+v", now, out, tick)
		}
	}
	if s := b.Status(3000)[0]; notes != 1 || !s.TwoPrimaries || s.Draining != "m1" {
		t.Errorf("%d notes, %+v", notes, s)
	}
	b.Tick(3030)
	if out := b.Tick(3100); marks(out) != "[{m1 false}]" { // it says nothing any more
		t.Error(out)
	}
}

// Holds are leases: they lapse, can be renewed up to a limit, and can't be had back.
func TestLeases(t *testing.T) {
	b := New(config)
	hold := func(now, lease float64) (Notification, Outcome, error) {
		return b.HandleHook(now, Notification{Group: 1, Stage: StageHeld, Lease: lease}, "m1")
	}
	if w, _, err := hold(1000, 0); err != nil || w.Lease != 100 {
		t.Fatal(w, err)
	}
	if w, out, err := hold(1090, 0); err != nil || w.Renewals != 2 || w.Lease != 100 || len(out.Marks) > 0 {
		t.Fatal(w, out, err)
	}
	if w, _, err := hold(1180, 900); err != nil || w.Lease != 70 { // 250 in all
		t.Fatal(w, err)
	}
	if out := b.Tick(1249); len(out.Marks) > 0 {
		t.Error("lapsed early:", out)
	}
	if out := b.Tick(1250); marks(out) != "[{m1 false}]" || !slices.Equal(out.QueryRoles, []string{"m1"}) {
		t.Error(out)
	}
	if _, _, err := b.HandleHook(1251, Notification{Group: 1, Epoch: b.changes[1].latest.Epoch, Stage: StageHeld}, ""); !errors.Is(err,
		ErrLeaseExpired) {
		t.Error(err)
	}
	// a hold that a fellow tells when its lease is nearly over is held for what is left of it alone
	c := New(config)
	c.HandleNotification(2000, Notification{Group: 2, Epoch: 7, Stage: StageHeld, From: "x", Renewals: 1, Lease: 5, HoldAge: 95})
	if out := c.Tick(2006); marks(out) != "[{x false}]" {
		t.Error(out)
	}
	if out, err := c.HandleNotification(2010, Notification{Group: 3, Epoch: 7, Stage: StageHeld, From: "y", Renewals: 1, Lease: 0,
		HoldAge: 95}); err != nil || len(out.Marks) > 0 {
		t.Error("a hold that is over holds:", out, err)
	}
}

// Behind a release that nobody follows the old primary is let go after a while.
func TestOpeningEnds(t *testing.T) {
	b := New(config)
	b.HandleHook(1000, Notification{Group: 1, Stage: StageHeld, From: "m1"}, "")
	b.HandleHook(1010, Notification{Group: 1, Stage: StageReleased}, "")
	if out := b.Tick(1059); len(out.Marks) > 0 {
		t.Error(out)
	}
	if out := b.Tick(1060); marks(out) != "[{m1 false}]" {
		t.Error(out)
	}
}

func TestWordsThatMakeNoSense(t *testing.T) {
	b := New(config)
	for i, c := range []struct {
		notification Notification
		want         error
	}{
		{Notification{Group: 1}, ErrInvalid}, {Notification{Group: 1, Stage: 9}, ErrInvalid}, {Notification{Group: 1, Stage: StageHeld, Lease: -1}, ErrInvalid},
		{Notification{Group: 1, Stage: StageReleased}, ErrNoChange}, {Notification{Group: 1, Stage: StageHeld}, ErrUnknownPrimary},
		{Notification{Group: 1, Stage: StageHeld, From: "a", To: "a"}, ErrInvalid},
	} {
		if _, out, err := b.HandleHook(1000, c.notification, ""); !errors.Is(err, c.want) || len(out.Marks) > 0 {
			t.Errorf("%d: %v %v", i, err, out)
		}
	}
	if len(b.changes) > 0 {
		t.Error("words that make no sense are kept")
	}
	for g := range int64(6) {
		_, err := b.HandleNotification(1000, Notification{Group: g, Epoch: 1, Stage: StageAnnounced})
		if (err != nil) != (g >= 4) {
			t.Error(g, err)
		}
	}
	var s Stage
	if s.UnmarshalText([]byte("held")) != nil || s != StageHeld || s.UnmarshalText([]byte("hold")) == nil {
		t.Error(s)
	}
}

// Where several groups change at once, a line of each is logged.
func TestLinesOfSeveralGroups(t *testing.T) {
	tracker := New(Config{MaxGroups: 4, DefaultLease: 1000, MaxHold: 5000, RoleQueryInterval: 100, Retention: 5000})
	for group := range int64(2) {
		n := Notification{Group: group + 1, Epoch: 1, Stage: StageHeld, From: "a", Lease: 1000}
		if _, err := tracker.HandleNotification(0, n); err != nil {
			t.Fatal(err)
		}
	}
	out := tracker.Tick(1e9)
	for _, want := range []string{"group 1: ", "group 2: "} {
		if !strings.Contains(out.LogText, want) {
			t.Errorf("%q lacks %q", out.LogText, want)
		}
	}
}
