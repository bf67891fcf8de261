package switchover

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

var config = Config{DefaultLease: 100, MaxHold: 250, ReleaseTimeout: 50, RoleQueryInterval: 30, Retention: 1000, MaxGroups: 4}

// driver is a tracker with the marks that its outcomes have set.
type driver struct {
	tracker  *Tracker
	marks    map[string]bool
	latest   Notification
	markedAt float64 // when a member was last marked
	failure  string  // the last violated invariant; "": none
}

func newDriver(origin uint64) *driver {
	own := config
	own.Origin = origin
	return &driver{tracker: New(own), marks: map[string]bool{}}
}

func (d *driver) clone() *driver {
	copied := newDriver(d.tracker.config.Origin)
	copied.latest, copied.markedAt = d.latest, d.markedAt
	for m := range d.marks {
		copied.marks[m] = true
	}
	for g, c := range d.tracker.changes {
		changeCopy := *c
		copied.tracker.changes[g] = &changeCopy
	}
	return copied
}

// apply applies an outcome and checks the invariants.
func (d *driver) apply(now float64, out Outcome) {
	for _, m := range out.Marks {
		if d.marks[m.Member] == m.Draining {
			d.failure = fmt.Sprintf("mark %v is repeated", m)
		}
		if m.Draining {
			d.marks[m.Member] = true
			d.markedAt = now
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
		d.failure = fmt.Sprintf("marks are %v, the tracker says %v", all, marked)
	}
	c := d.tracker.changes[1]
	if c == nil {
		return
	}
	if d.latest.newerThan(&c.latest) {
		d.failure = fmt.Sprintf("state went back to %+v from %+v", c.latest, d.latest)
	}
	d.latest = c.latest
	// 120 is the longest time between two ticks in this test
	if c.draining != "" && (c.latest.Stage == StageAborted || c.latest.Stage == StageAnnounced || c.expired ||
		!c.claimsPrimary && now-c.heldSince > config.MaxHold+config.ReleaseTimeout+2*config.RoleQueryInterval+120) {
		d.failure = fmt.Sprintf("still marked at %v: %+v", now, *c)
	}
}

// Explores every sequence, up to a length, of hooks, exchanged notifications, observations and delays at two drivers:
// states never go back, marks end, and drivers that have exchanged all notifications agree.
func TestEveryShortEventSequence(t *testing.T) {
	type step struct {
		name string
		do   func(now *float64, a, b *driver)
	}
	hook := func(name string, onB bool, n Notification) step {
		return step{name, func(now *float64, a, b *driver) {
			if onB {
				a = b
			}
			_, out, _ := a.tracker.HandleHook(*now, n, "m1")
			a.apply(*now, out)
		}}
	}
	notify := func(now float64, from, to *driver) {
		for _, s := range from.tracker.Status(now) {
			out, err := to.tracker.HandleNotification(now, s.Notification)
			if err != nil {
				to.failure = err.Error()
			}
			to.apply(now, out)
		}
	}
	advance := func(ms float64) step {
		return step{fmt.Sprintf("%g ms pass", ms), func(now *float64, a, b *driver) {
			*now += ms
			for _, d := range []*driver{a, b} {
				d.apply(*now, d.tracker.Tick(*now))
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
		{"a notifies b", func(now *float64, a, b *driver) { notify(*now, a, b) }},
		{"b notifies a", func(now *float64, a, b *driver) { notify(*now, b, a) }},
		{"a observes m2 as primary", func(now *float64, a, b *driver) { a.apply(*now, a.tracker.ObservePrimary(*now, 1, "m2")) }},
		{"m1 replies to a that it is a replica", func(now *float64, a, b *driver) { a.apply(*now, a.tracker.ObserveRole(*now, "m1", false)) }},
		{"m1 replies to a that it is primary", func(now *float64, a, b *driver) { a.apply(*now, a.tracker.ObserveRole(*now, "m1", true)) }},
		{"b restarts", func(now *float64, a, b *driver) { *b = *newDriver(2) }},
		advance(60), advance(120),
	}
	depth := 5
	if testing.Short() {
		depth = 4
	}
	visited := 0
	var explore func(now float64, a, b *driver, path []string)
	explore = func(now float64, a, b *driver, path []string) {
		visited++
		if a.failure+b.failure != "" {
			t.Fatalf("%v: %s %s", path, a.failure, b.failure)
		}
		aCopy, bCopy, at := a.clone(), b.clone(), now
		notify(at, aCopy, bCopy)
		notify(at, bCopy, aCopy)
		if p, q := aCopy.tracker.changes[1], bCopy.tracker.changes[1]; (p == nil) != (q == nil) || p != nil &&
			(p.latest.Epoch != q.latest.Epoch || p.latest.Stage != q.latest.Stage || p.latest.Renewals != q.latest.Renewals ||
				p.latest.From != q.latest.From) {
			t.Fatalf("%v: drivers differ after exchanging all notifications: %+v, %+v", path, p, q)
		}
		for range 4 { // every hold and mark ends
			at += config.MaxHold
			for _, d := range []*driver{aCopy, bCopy} {
				d.apply(at, d.tracker.Tick(at))
			}
		}
		at += config.Retention
		for _, d := range []*driver{aCopy, bCopy} {
			d.apply(at, d.tracker.Tick(at))
			if d.apply(at, d.tracker.Tick(at)); d.failure != "" || len(d.marks) > 0 || len(d.tracker.changes) > 0 || d.tracker.Active() {
				t.Fatalf("%v: at the end %q, marks %v, %v", path, d.failure, d.marks, d.tracker.Status(at))
			}
		}
		if len(path) == depth {
			return
		}
		for _, s := range steps {
			at, aCopy, bCopy := now, a.clone(), b.clone()
			s.do(&at, aCopy, bCopy)
			explore(at, aCopy, bCopy, append(path[:len(path):len(path)], s.name))
		}
	}
	explore(1000, newDriver(1), newDriver(2), nil)
	if visited < 20000 {
		t.Errorf("only %d sequences were explored", visited)
	}
}

func marks(out Outcome) string { return fmt.Sprint(out.Marks) }

// A planned change by hooks: the old primary is marked by the hold and stays marked after the release until it replies
// that it is a replica. Duplicates have no effect, and omitted fields are filled in.
func TestPlannedChange(t *testing.T) {
	tracker := New(config)
	const first = 5000 * maxOrigins
	notification, out, err := tracker.HandleHook(5000, Notification{Group: 1, Stage: StageAnnounced, To: "m2"}, "m1")
	if err != nil || notification.Epoch != first || notification.From != "m1" || marks(out) != "[]" || !slices.Equal(out.QueryRoles, []string{"m2"}) {
		t.Fatal(notification, out, err)
	}
	notification, out, err = tracker.HandleHook(5010, Notification{Group: 1, Stage: StageHeld}, "")
	if err != nil || notification.Epoch != first || notification.From != "m1" || notification.To != "m2" || notification.Lease != 100 || marks(out) != "[{m1 true}]" {
		t.Fatal(notification, out, err)
	}
	if out, err = tracker.HandleNotification(5011, notification); err != nil || out.LogText != "" || len(out.Marks) > 0 {
		t.Error("a duplicate has an effect:", out, err)
	}
	if out = tracker.ObservePrimary(5020, 1, "m1"); len(out.Marks) > 0 {
		t.Error("observing the old primary ends the change:", out)
	}
	notification, out, err = tracker.HandleHook(5030, Notification{Group: 1, Stage: StageReleased}, "")
	if err != nil || marks(out) != "[]" || !slices.Equal(out.QueryRoles, []string{"m2"}) {
		t.Fatal(notification, out, err)
	}
	if out = tracker.ObservePrimary(5040, 1, "m2"); len(out.Marks) > 0 || !slices.Equal(out.QueryRoles, []string{"m1"}) {
		t.Error(out)
	}
	if out = tracker.ObservePrimary(5041, 1, "m2"); len(out.QueryRoles) > 0 {
		t.Error("the old primary is queried again at once:", out)
	}
	if out = tracker.ObserveRole(5042, "m1", false); marks(out) != "[{m1 false}]" || tracker.Active() {
		t.Error(out)
	}
	if _, out, err = tracker.HandleHook(5050, Notification{Group: 1, Stage: StageReleased}, ""); err != nil || out.LogText != "" {
		t.Error("a repeated release has an effect:", out, err)
	}
	for stage, want := range map[Stage]error{StageAborted: ErrChangeFinished} {
		if _, _, err := tracker.HandleHook(5050, Notification{Group: 1, Stage: stage}, ""); !errors.Is(err, want) {
			t.Error(stage, err)
		}
	}
	if _, _, err = tracker.HandleHook(5050, Notification{Group: 1, Epoch: first, Stage: StageHeld}, "m2"); !errors.Is(err, ErrChangeFinished) {
		t.Error(err)
	}
	// a switch back is a new change, which notifications of the older one don't affect
	notification, out, err = tracker.HandleHook(5060, Notification{Group: 1, Stage: StageHeld}, "m2")
	if err != nil || notification.Epoch <= first || notification.From != "m2" || marks(out) != "[{m2 true}]" {
		t.Fatal(notification, out, err)
	}
	if out, err = tracker.HandleNotification(5061, Notification{Group: 1, Epoch: first, Stage: StageAborted, From: "m1"}); err != nil || out.LogText != "" {
		t.Error("a notification of an older change has an effect:", out, err)
	}
	if _, _, err = tracker.HandleHook(5062, Notification{Group: 1, Epoch: first, Stage: StageAborted}, ""); !errors.Is(err, ErrStale) {
		t.Error(err)
	}
}

// A deposed primary that keeps claiming the role beside the new primary stays marked as long as it does so, and this is
// logged once.
func TestOldPrimaryThatStaysPrimaryRemainsDraining(t *testing.T) {
	tracker := New(config)
	tracker.HandleHook(1000, Notification{Group: 1, Stage: StageHeld, From: "m1"}, "")
	tracker.HandleHook(1010, Notification{Group: 1, Stage: StageReleased}, "")
	tracker.ObservePrimary(1020, 1, "m2")
	logged := 0
	for now := 1021.0; now < 3000; now += 10 {
		out := tracker.ObserveRole(now, "m1", true)
		if out.LogText != "" {
			logged++
		}
		if tick := tracker.Tick(now); len(out.Marks)+len(tick.Marks) > 0 {
			t.Fatalf("at %v: %+v %+v", now, out, tick)
		}
	}
	if s := tracker.Status(3000)[0]; logged != 1 || !s.TwoPrimaries || s.Draining != "m1" {
		t.Errorf("logged %d times; %+v", logged, s)
	}
	tracker.Tick(3030)
	if out := tracker.Tick(3100); marks(out) != "[{m1 false}]" { // it no longer replies
		t.Error(out)
	}
}

// Holds are leases: they expire, can be renewed up to MaxHold, and can't be renewed after they have expired.
func TestHoldLeasesExpireAndAreRenewedUpToMaxHold(t *testing.T) {
	tracker := New(config)
	hold := func(now, lease float64) (Notification, Outcome, error) {
		return tracker.HandleHook(now, Notification{Group: 1, Stage: StageHeld, Lease: lease}, "m1")
	}
	if w, _, err := hold(1000, 0); err != nil || w.Lease != 100 {
		t.Fatal(w, err)
	}
	if w, out, err := hold(1090, 0); err != nil || w.Renewals != 2 || w.Lease != 100 || len(out.Marks) > 0 {
		t.Fatal(w, out, err)
	}
	if w, _, err := hold(1180, 900); err != nil || w.Lease != 70 { // limited by MaxHold
		t.Fatal(w, err)
	}
	if out := tracker.Tick(1249); len(out.Marks) > 0 {
		t.Error("the hold expired early:", out)
	}
	if out := tracker.Tick(1250); marks(out) != "[{m1 false}]" || !slices.Equal(out.QueryRoles, []string{"m1"}) {
		t.Error(out)
	}
	if _, _, err := tracker.HandleHook(1251, Notification{Group: 1, Epoch: tracker.changes[1].latest.Epoch, Stage: StageHeld}, ""); !errors.Is(err,
		ErrLeaseExpired) {
		t.Error(err)
	}
	// a hold from a peer lasts for the remaining time of its lease only
	peer := New(config)
	peer.HandleNotification(2000, Notification{Group: 2, Epoch: 7, Stage: StageHeld, From: "x", Renewals: 1, Lease: 5, HoldAge: 95})
	if out := peer.Tick(2006); marks(out) != "[{x false}]" {
		t.Error(out)
	}
	if out, err := peer.HandleNotification(2010, Notification{Group: 3, Epoch: 7, Stage: StageHeld, From: "y", Renewals: 1, Lease: 0,
		HoldAge: 95}); err != nil || len(out.Marks) > 0 {
		t.Error("an expired hold from a peer marks a member:", out, err)
	}
}

// After a release without a new primary the old one is unmarked after ReleaseTimeout.
func TestReleaseTimesOutWithoutANewPrimary(t *testing.T) {
	tracker := New(config)
	tracker.HandleHook(1000, Notification{Group: 1, Stage: StageHeld, From: "m1"}, "")
	tracker.HandleHook(1010, Notification{Group: 1, Stage: StageReleased}, "")
	if out := tracker.Tick(1059); len(out.Marks) > 0 {
		t.Error(out)
	}
	if out := tracker.Tick(1060); marks(out) != "[{m1 false}]" {
		t.Error(out)
	}
}

func TestInvalidNotificationsAreRejected(t *testing.T) {
	tracker := New(config)
	for i, c := range []struct {
		notification Notification
		want         error
	}{
		{Notification{Group: 1}, ErrInvalid}, {Notification{Group: 1, Stage: 9}, ErrInvalid}, {Notification{Group: 1, Stage: StageHeld, Lease: -1}, ErrInvalid},
		{Notification{Group: 1, Stage: StageReleased}, ErrNoChange}, {Notification{Group: 1, Stage: StageHeld}, ErrUnknownPrimary},
		{Notification{Group: 1, Stage: StageHeld, From: "a", To: "a"}, ErrInvalid},
	} {
		if _, out, err := tracker.HandleHook(1000, c.notification, ""); !errors.Is(err, c.want) || len(out.Marks) > 0 {
			t.Errorf("%d: %v %v", i, err, out)
		}
	}
	if len(tracker.changes) > 0 {
		t.Error("invalid notifications are kept")
	}
	for g := range int64(6) {
		_, err := tracker.HandleNotification(1000, Notification{Group: g, Epoch: 1, Stage: StageAnnounced})
		if (err != nil) != (g >= 4) {
			t.Error(g, err)
		}
	}
	var s Stage
	if s.UnmarshalText([]byte("held")) != nil || s != StageHeld || s.UnmarshalText([]byte("hold")) == nil {
		t.Error(s)
	}
}

// If holds of two groups expire in one tick, both are logged.
func TestTickLogsEveryExpiredHold(t *testing.T) {
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
