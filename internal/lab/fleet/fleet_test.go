package fleet

// Several processes of the built program, and faults between them. Each test waits for what is to become so, with a limit
// that a machine under load keeps as well, and never takes a time for proof.

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/fleet/membership"
	"weirwind/internal/lab"
	"weirwind/internal/standin/links"
	"weirwind/internal/switchover"
)

var (
	program string
	flags   []string // of its build
)

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "wwbin")
	if err == nil {
		program, err = Build(folder, flags...)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

const patience = 90 * time.Second

var all = []int{0, 1, 2, 3, 4}

// start runs a fleet of five and waits until it is whole.
func start(t *testing.T, o Options) *Fleet {
	t.Helper()
	t.Parallel()
	f := places(t, o)
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "a whole fleet", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	return f
}

func places(t *testing.T, o Options) *Fleet {
	t.Helper()
	o.Program = program
	if o.Drivers == 0 {
		o.Drivers = 5
	}
	if o.Cluster == nil {
		c, err := lab.Start(lab.Options{ElectionTime: 300 * time.Millisecond, Members: 3})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Stop)
		o.Cluster = c
	}
	f, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, d := range f.Drivers {
				s, err := d.Status()
				text, _ := json.Marshal(s)
				if z, ok := d.zones(); ok {
					text, _ := json.Marshal(z)
					t.Logf("%s: %s", d.Name, text)
				}
				lines := slices.DeleteFunc(strings.Split(d.Log(), "\n"), func(l string) bool { return strings.Contains(l, "client_closed") })
				t.Logf("%s: %v %s\n%s", d.Name, err, text, strings.Join(lines[max(0, len(lines)-40):], "\n"))
			}
		}
		f.Close()
	})
	return f
}

func (f *Fleet) await(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !so(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not so after %v", what, patience)
		}
	}
}

// sees says whether all of these see a driver in a state.
func (f *Fleet) sees(of int, want membership.State, at ...int) bool {
	for _, i := range at {
		if v, ok := f.View(i, of); !ok || v.State != want {
			return false
		}
	}
	return true
}

func (f *Fleet) rosterIs(n int, at ...int) bool {
	for _, i := range at {
		if s, err := f.Drivers[i].Status(); err != nil || s.Roster == nil || len(s.Roster.Names) != n {
			return false
		}
	}
	return true
}

// With a folder a fleet that is killed as a whole, and whose machines come back one by one, is the same fleet: its first
// driver waits for the rest and founds nothing, and all vote at once. A folder that has lost what it held is refused.
func TestVotesOutliveProcesses(t *testing.T) {
	f := start(t, Options{Seed: 21, KeepVotes: true})
	before, err := f.Drivers[0].Status()
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range f.Drivers {
		d.Kill()
	}
	if err := f.StartDrivers(0); err != nil {
		t.Fatal(err)
	}
	f.await(t, "the first one back is alone", func() bool { return f.HavePartitionStatus(membership.Isolated, 0) })
	if _, err := f.Drivers[0].Control.NotifyHook(context.Background(), switchover.Notification{Group: 1, Stage: switchover.StageHeld}); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("a hold begun alone: %v", err)
	}
	if err := f.StartDrivers(1, 2); err != nil {
		t.Fatal(err)
	}
	f.await(t, "three of five", func() bool { return f.HavePartitionStatus(membership.Majority, 0, 1, 2) })
	s, err := f.Drivers[0].Status()
	if err != nil || s.Roster.Lineage != before.Roster.Lineage || !slices.Equal(s.Roster.Names, before.Roster.Names) {
		t.Fatalf("another fleet: %+v %v, before %+v", s.Roster, err, before.Roster)
	}
	if err := f.Drivers[1].Control.Forget(context.Background(), control.ForgetRequest{Name: "n4"}); err != nil {
		t.Fatal(err)
	}
	f.await(t, "a roster agreed on by three that were all killed", func() bool { return f.rosterIs(4, 0, 1, 2) })
	f.Drivers[2].Kill()
	logs, err := filepath.Glob(filepath.Join(f.Drivers[2].file("votes"), "*"))
	if err != nil || len(logs) == 0 {
		t.Fatal(logs, err)
	}
	for _, l := range logs {
		if b, err := os.ReadFile(l); err == nil && len(b) > 40 {
			b[len(b)/2] ^= 0xff
			if err := os.WriteFile(l, b, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := f.StartDrivers(2); err != nil {
		t.Fatal(err)
	}
	f.await(t, "a spoilt folder is refused", func() bool { return strings.Contains(f.Drivers[2].Log(), "move it away") })
}

func TestKills(t *testing.T) {
	f := start(t, Options{Seed: 1})
	f.Drivers[4].Kill()
	f.await(t, "one killed", func() bool {
		return f.sees(4, membership.Failed, 0, 1, 2, 3) && f.HavePartitionStatus(membership.Majority, 0, 1, 2, 3)
	})
	f.Drivers[3].Kill()
	f.Drivers[2].Kill()
	f.await(t, "the majority killed", func() bool { return f.HavePartitionStatus(membership.Minority, 0, 1) })
	f.Drivers[1].Kill()
	f.await(t, "all but one killed", func() bool { return f.HavePartitionStatus(membership.Isolated, 0) })
	if s, err := f.Drivers[0].Status(); err != nil || s.Count != 10 || len(s.Roster.Names) != 5 {
		t.Errorf("a loss may not shrink what is counted: %+v %v", s, err)
	}
	if _, err := f.Drivers[0].Control.NotifyHook(context.Background(), switchover.Notification{Group: 1, Stage: switchover.StageHeld}); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("a hold begun alone: %v", err)
	}
	for i := 1; i < 5; i++ {
		if err := f.Drivers[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.await(t, "all back", func() bool { return f.HavePartitionStatus(membership.Complete, all...) && f.rosterIs(5, all...) })
}

func TestStopsAndGrowth(t *testing.T) {
	f := start(t, Options{Seed: 2, Spare: 1})
	f.Drivers[4].Stop()
	f.await(t, "one stopped", func() bool {
		return f.sees(4, membership.Left, 0, 1, 2, 3) && f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3) && f.rosterIs(4, 0, 1, 2, 3)
	})
	if err := f.Drivers[5].Start(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "another one", func() bool {
		return f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 5) && f.rosterIs(5, 0, 1, 2, 3, 5)
	})
	f.Drivers[5].Kill()
	f.await(t, "and it fails", func() bool { return f.sees(5, membership.Failed, 0, 1, 2, 3) })
	f.await(t, "and is forgotten", func() bool {
		err := f.Drivers[0].Control.Forget(context.Background(), control.ForgetRequest{Name: "n5"})
		return err == nil && f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3) && f.rosterIs(4, 0, 1, 2, 3)
	})
	if err := f.Drivers[0].Control.Forget(context.Background(), control.ForgetRequest{Name: "n1"}); err == nil || !strings.Contains(err.Error(), "lives") {
		t.Errorf("one that lives was forgotten: %v", err)
	}
}

func TestFrozen(t *testing.T) {
	f := start(t, Options{Seed: 3})
	f.Drivers[2].Freeze()
	f.await(t, "it is missed", func() bool { return f.sees(2, membership.Suspect, 0) || f.sees(2, membership.Failed, 0) })
	f.Drivers[2].Thaw()
	f.await(t, "thawed as it is missed", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	f.Drivers[2].Freeze()
	f.await(t, "it failed", func() bool { return f.sees(2, membership.Failed, 0, 1, 3, 4) })
	f.Drivers[2].Thaw()
	f.await(t, "thawed when it had failed", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	if log := f.Drivers[2].Log(); !strings.Contains(log, "reason=stood_still") || strings.Contains(log, "reason=fellow_failed") {
		t.Errorf("the one that stood still blames others:\n%s", log)
	}
}

func TestParts(t *testing.T) {
	f := start(t, Options{Seed: 4, Spare: 2})
	f.Links.Partition(0, 0, 1, 1, 1, 0, 0)
	f.await(t, "two against three", func() bool {
		return f.HavePartitionStatus(membership.Minority, 0, 1) && f.HavePartitionStatus(membership.Majority, 2, 3, 4)
	})
	for _, i := range []int{5, 6} {
		if err := f.Drivers[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.await(t, "newcomers of the smaller part", func() bool {
		return f.HavePartitionStatus(membership.Minority, 0, 1, 5, 6) && f.rosterIs(5, 0, 1, 2, 3, 4, 5, 6)
	})
	f.Drivers[4].Kill() // both views change, then they meet
	f.await(t, "three of five less one", func() bool {
		return f.HavePartitionStatus(membership.Undetermined, 2, 3) || f.HavePartitionStatus(membership.Minority, 2, 3)
	})
	f.Links.Heal()
	f.await(t, "two changed views meet", func() bool {
		return f.HavePartitionStatus(membership.Majority, 0, 1, 2, 3, 5, 6) && f.rosterIs(7, 0, 1, 2, 3, 5, 6) && f.sees(4, membership.Failed, 0, 1, 2, 3, 5, 6)
	})
	f.Links.Partition(0, 1, 1, 1, 1, 1, 1)
	f.await(t, "one against the rest", func() bool {
		return f.HavePartitionStatus(membership.Isolated, 0) && f.HavePartitionStatus(membership.Majority, 1, 2, 3, 5, 6)
	})
	f.Links.Heal()
	if err := f.Drivers[4].Start(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "all there", func() bool { return f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 4, 5, 6) })
	for _, d := range f.Drivers {
		d.views(t)
	}
}

func TestOneDirectionAndRing(t *testing.T) {
	f := start(t, Options{Seed: 5})
	f.Links.Set(0, 1, links.Link{Blocked: true})
	f.await(t, "who does not hear whom", func() bool {
		v, ok := f.View(3, 1)
		own, known := f.View(1, 0)
		back, heard := f.View(0, 1)
		return ok && slices.Contains(v.Unreachable, "n0") && known && !own.Reachable && own.State == membership.Alive && heard && back.Reachable
	})
	f.await(t, "nobody is lost by it", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	f.Links.Heal()
	f.await(t, "healed", func() bool { own, ok := f.View(1, 0); return ok && own.Reachable })
	f.Links.SetAll(func(a, b int) (w links.Link) {
		w.Blocked = (a+1)%5 != b && (b+1)%5 != a
		return w
	})
	f.await(t, "a ring", func() bool {
		far, ok := f.View(0, 2)
		near, known := f.View(0, 1)
		return ok && known && !far.Reachable && near.Reachable && f.HavePartitionStatus(membership.Complete, all...)
	})
	f.Links.Heal()
	f.await(t, "the ring is gone", func() bool {
		far, ok := f.View(0, 2)
		return ok && far.Reachable && f.HavePartitionStatus(membership.Complete, all...)
	})
}

func TestLossDoublesAndDisorder(t *testing.T) {
	f := start(t, Options{Seed: 6})
	f.Links.SetAll(func(a, b int) (w links.Link) {
		w.Loss, w.Duplicate, w.Delay, w.Jitter = 0.3, 0.3, 2*time.Millisecond, 30*time.Millisecond
		return w
	})
	f.Drivers[3].Kill()
	f.await(t, "a loss is found all the same", func() bool { return f.sees(3, membership.Failed, 0, 1, 2, 4) })
	if err := f.Drivers[3].Start(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "and a return", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	f.Links.Heal()
	f.await(t, "calm again", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
}

func TestRestarts(t *testing.T) {
	f := start(t, Options{Seed: 7})
	for _, d := range f.Drivers {
		d.Kill()
		if err := d.Start(); err != nil {
			t.Fatal(err)
		}
		f.await(t, "one by one", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	}
	for _, d := range f.Drivers {
		d.Kill()
	}
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "all at once", func() bool { return f.HavePartitionStatus(membership.Complete, all...) && f.rosterIs(5, all...) })
}

func TestNameTwiceAndDeadSeeds(t *testing.T) {
	f := places(t, Options{Seed: 8, Spare: 1, Seeds: func(i int) []int {
		if i == 4 {
			return []int{5} // nobody is there
		}
		return []int{0, 4}
	}})
	t.Parallel()
	if err := f.Drivers[4].Start(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "seeds that are dead", func() bool { return f.HavePartitionStatus(membership.Undetermined, 4) })
	if err := f.StartDrivers(0, 1, 2, 3); err != nil {
		t.Fatal(err)
	}
	f.await(t, "found by others", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	f.Drivers[5].Name = "n4"
	if err := f.Drivers[5].Start(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "a name used twice", func() bool {
		s, err := f.Drivers[5].Status()
		return err == nil && s.Partition == membership.Undetermined && s.Reason == "name_taken" && f.HavePartitionStatus(membership.Complete, all...)
	})
	v, _ := f.View(0, 4)
	if v.Address != f.Links.AdvertisedAddr(4) {
		t.Errorf("the second one took the name: %+v", v)
	}
	f.Drivers[4].Kill()
	f.await(t, "the second one gets it", func() bool { return f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 5) })
}

func TestStrangers(t *testing.T) {
	f := places(t, Options{Seed: 9, Spare: 1, Secret: func(i int) string {
		if i == 5 {
			return "another secret"
		}
		return "a secret of drivers"
	}})
	t.Parallel()
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "a whole fleet", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	if err := f.Drivers[5].Start(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "a stranger", func() bool { return f.HavePartitionStatus(membership.Undetermined, 5) })
	// whatever comes at the sockets, nobody is lost by it, and nobody is made up
	udp, err := net.Dial("udp", f.Links.ListenAddr(0))
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	for i := range 2000 {
		udp.Write([]byte(strings.Repeat("\xa1\x01\x82", i%600)))
	}
	for range 40 { // more than are served at a time
		c, err := net.Dial("tcp", f.Links.ListenAddr(0))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte("\x00\x1f\xff\xff garbage that never ends"))
	}
	f.Drivers[3].Kill()
	f.await(t, "one failed", func() bool { return f.sees(3, membership.Failed, 0, 1, 2, 4) })
	for range 20 {
		if f.Links.Replay() == 0 { // among it signs of life
			t.Fatal("nothing to replay")
		}
	}
	f.await(t, "old word changes nothing", func() bool {
		return f.sees(3, membership.Failed, 0, 1, 2, 4) && f.HavePartitionStatus(membership.Majority, 0, 1, 2, 4)
	})
	s, err := f.Drivers[0].Status()
	if err != nil || len(s.Drivers) != 4 {
		t.Errorf("%+v %v", s, err)
	}
}

var writes = lab.OpKind{Name: "write", Share: 1, Write: true, Timeout: 4 * time.Second}

// under plays a load at these drivers while something is done, and audits it.
func (f *Fleet) under(t *testing.T, what func(), targets ...int) lab.Result {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	l := lab.Load{Rate: 60, Duration: time.Hour, Mix: []lab.OpKind{writes, lab.DefaultMix[0], lab.DefaultMix[1]}, Groups: 1, Seed: 5, Slack: 20 * time.Second}
	for _, i := range targets {
		l.Targets = append(l.Targets, f.Drivers[i].Address)
	}
	got := make(chan lab.Result)
	go func() { got <- l.Run(ctx, nil) }()
	what()
	stop()
	r := <-got
	for _, broken := range f.options.Cluster.Audit(r) {
		t.Error(broken)
	}
	if r.Kinds["write"].Outcomes[lab.Acked] == 0 {
		t.Error("no write was acked")
	}
	return r
}

func stage(d *Driver) switchover.ChangeStatus {
	s, err := d.Control.Status(context.Background())
	if err != nil || len(s) == 0 {
		return switchover.ChangeStatus{}
	}
	return s[0]
}

// stages says whether the change of group 1 is so at every driver.
func (f *Fleet) stages(so func(switchover.ChangeStatus) bool) bool {
	return !slices.ContainsFunc(f.Drivers, func(d *Driver) bool { return !so(stage(d)) })
}

// A hold begun with the larger part while the smaller can't hear of it, released at the smaller; writes come to both.
func TestHoldAndReleaseOnTwoSides(t *testing.T) {
	f := start(t, Options{Seed: 10})
	c := f.options.Cluster
	f.under(t, func() {
		f.Links.Partition(0, 0, 1, 1, 1)
		f.await(t, "two parts", func() bool {
			return f.HavePartitionStatus(membership.Minority, 0, 1) && f.HavePartitionStatus(membership.Majority, 2, 3, 4)
		})
		old := c.Primary(1)
		word := switchover.Notification{Group: 1, Stage: switchover.StageHeld, From: old, Lease: 20000}
		if _, err := f.Drivers[1].Control.NotifyHook(context.Background(), word); err == nil || !strings.Contains(err.Error(), "larger part") {
			t.Errorf("a hold begun with the smaller part: %v", err)
		}
		word, err := f.Drivers[2].Control.NotifyHook(context.Background(), word)
		if err != nil {
			t.Error(err)
			return
		}
		f.await(t, "held with the larger part", func() bool {
			return stage(f.Drivers[3]).Stage == switchover.StageHeld && stage(f.Drivers[4]).Stage == switchover.StageHeld
		})
		if s := stage(f.Drivers[0]); s.Stage != switchover.StageNone {
			t.Errorf("it passed the cut: %+v", s)
		}
		c.Inject("demote", old)
		f.await(t, "a new primary", func() bool { p := c.Primary(1); return p != "" && p != old })
		if _, err := f.Drivers[0].Control.NotifyHook(context.Background(), switchover.Notification{Group: 1, Stage: switchover.StageReleased, Epoch: word.Epoch, From: old, To: c.Primary(1)}); err != nil {
			t.Error(err)
		}
		f.Links.Heal()
		f.await(t, "released everywhere", func() bool {
			return f.stages(func(s switchover.ChangeStatus) bool { return s.Stage == switchover.StageReleased && s.Finished })
		})
	}, all...)
}

// The primary changes, with and without a word, while the fleet is in two and both parts take writes.
func TestPrimaryChangesInTwoParts(t *testing.T) {
	f := start(t, Options{Seed: 11})
	c := f.options.Cluster
	f.under(t, func() {
		f.Links.Partition(0, 0, 1, 1, 1)
		f.await(t, "two parts", func() bool {
			return f.HavePartitionStatus(membership.Minority, 0, 1) && f.HavePartitionStatus(membership.Majority, 2, 3, 4)
		})
		old := c.Primary(1)
		c.Inject("kill", old)
		f.await(t, "a new primary", func() bool { p := c.Primary(1); return p != "" && p != old })
		c.Inject("heal", old)
		if _, err := c.Switchover(context.Background(), f.Drivers[4].Control, 1); err != nil {
			t.Error(err)
		}
		f.Links.Heal()
		f.await(t, "whole again", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
		if _, err := c.Switchover(context.Background(), f.Drivers[0].Control, 1); err != nil {
			t.Error(err)
		}
		f.await(t, "all know", func() bool {
			return f.stages(func(s switchover.ChangeStatus) bool {
				return s.Stage == switchover.StageReleased && s.Epoch == stage(f.Drivers[0]).Epoch
			})
		})
	}, all...)
}

// A driver dies while it holds, the one that the hook called: the others keep the hold and its lease, and release it.
func TestDriverDiesWhileItHolds(t *testing.T) {
	f := start(t, Options{Seed: 12})
	c := f.options.Cluster
	f.under(t, func() {
		old := c.Primary(1)
		word, err := f.Drivers[4].Control.NotifyHook(context.Background(), switchover.Notification{Group: 1, Stage: switchover.StageHeld, From: old, Lease: 20000})
		if err != nil {
			t.Error(err)
			return
		}
		f.await(t, "held by all", func() bool {
			return f.stages(func(s switchover.ChangeStatus) bool { return s.Stage == switchover.StageHeld })
		})
		f.Drivers[4].Kill()
		c.Inject("demote", old)
		f.await(t, "a new primary", func() bool { p := c.Primary(1); return p != "" && p != old })
		if err := f.Drivers[4].Start(); err != nil {
			t.Error(err)
			return
		}
		f.await(t, "the killed one, started again, knows of the hold", func() bool { return stage(f.Drivers[4]).Epoch == word.Epoch })
		if _, err := f.Drivers[1].Control.NotifyHook(context.Background(), switchover.Notification{Group: 1, Stage: switchover.StageReleased, To: c.Primary(1)}); err != nil {
			t.Error(err)
		}
		f.await(t, "released by all", func() bool {
			return f.stages(func(s switchover.ChangeStatus) bool { return s.Stage == switchover.StageReleased })
		})
	}, 0, 1, 2, 3)
}

// A drain that only the smaller part's list tells binds all that hear of it after the heal, through another cut as well, and
// until a list as new says that the member is up.
func TestDrainToldToTheSmallerPart(t *testing.T) {
	c, err := lab.Start(lab.Options{ElectionTime: 300 * time.Millisecond, Members: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	old := c.MemberList()
	late := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { // a discovery that stands still
		if r.FormValue("since") != "" {
			select {
			case <-r.Context().Done():
			case <-time.After(500 * time.Millisecond):
			}
		}
		w.Write(old)
	}))
	defer late.Close()
	f := start(t, Options{Seed: 13, Cluster: c, Discovery: func(i int) string {
		if i < 2 {
			return c.Discovery()
		}
		return late.Listener.Addr().String()
	}})
	f.Links.Partition(0, 0, 1, 1, 1)
	f.await(t, "two parts", func() bool {
		return f.HavePartitionStatus(membership.Minority, 0, 1) && f.HavePartitionStatus(membership.Majority, 2, 3, 4)
	})
	drained := c.Replica(1)
	c.Inject("drain", drained)
	said := func(what string, of ...int) bool {
		for _, i := range of {
			if log := f.Drivers[i].Log(); strings.LastIndex(log, "member="+drained+" draining="+what) <= strings.LastIndex(log, "member="+drained+" draining="+map[string]string{"true": "false", "false": "true"}[what]) {
				return false
			}
		}
		return true
	}
	f.await(t, "told to the smaller part", func() bool {
		return strings.Contains(f.Drivers[0].Log(), drained+"=draining") && strings.Contains(f.Drivers[1].Log(), drained+"=draining")
	})
	f.Links.Heal()
	f.await(t, "heard of by the others", func() bool { return said("true", 2, 3, 4) })
	quiet := func(what string) {
		t.Helper()
		time.Sleep(2 * lab.DrainGrace) // what was sent before may still arrive
		before := c.Arrivals(drained)
		reads := lab.Load{Targets: []string{f.Drivers[2].Address, f.Drivers[3].Address, f.Drivers[4].Address}, Rate: 200, Duration: 2 * time.Second,
			Mix: []lab.OpKind{lab.DefaultMix[1]}, Groups: 1, Seed: 3, Slack: 20 * time.Second}
		reads.Run(context.Background(), nil)
		if after := c.Arrivals(drained); after != before {
			t.Errorf("%s: %d ops came to a drained member", what, after-before)
		}
	}
	quiet("after the heal")
	f.Links.Partition(0, 0, 1, 1, 1)
	f.await(t, "two parts again", func() bool { return f.HavePartitionStatus(membership.Majority, 2, 3, 4) })
	f.Drivers[0].Kill()
	f.Drivers[1].Kill()
	quiet("those that told it are gone")
	f.Links.Heal()
	for _, i := range []int{0, 1} {
		if err := f.Drivers[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.await(t, "whole", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	quiet("after another heal")
	c.Inject("undrain", drained)
	f.await(t, "up again by a newer list", func() bool { return said("false", 2, 3, 4) })
}

// views checks what the commands print of a driver.
func (d *Driver) views(t *testing.T) {
	t.Helper()
	all, err := d.Control.Compare(context.Background())
	if err != nil || len(all) < 6 {
		t.Errorf("compare at %s: %d views, %v", d.Name, len(all), err)
	}
	for _, c := range all {
		if c.Status == nil {
			t.Errorf("%s gives %s no view: %s", c.Name, d.Name, c.Error)
		}
	}
}

// command runs the program's command at a driver's socket.
func (f *Fleet) command(i int, args ...string) (out string, code int) {
	cmd := exec.Command(program, append(append([]string{"membership"}, args...), "--socket", f.Drivers[i].socket)...)
	text, err := cmd.CombinedOutput()
	if err != nil {
		code = cmd.ProcessState.ExitCode()
	}
	return string(text), code
}

func TestCommands(t *testing.T) {
	f := start(t, Options{Seed: 14})
	text, code := f.command(0, "status", "--json")
	var s struct {
		Self, Standing string
		Drivers        []struct {
			Name, State string
			Heard       *bool
		}
	}
	if err := json.Unmarshal([]byte(text), &s); err != nil || code != 0 || s.Self != "n0" || s.Standing != "whole" || len(s.Drivers) != 4 ||
		s.Drivers[0].Name != "n1" || s.Drivers[0].State != "alive" || s.Drivers[0].Heard == nil || !*s.Drivers[0].Heard {
		t.Errorf("%d %v %s", code, err, text)
	}
	f.await(t, "all views alike", func() bool { text, code = f.command(2, "compare"); return code == 0 })
	if strings.Count(text, "standing=whole") != 5 {
		t.Error(text)
	}
	if text, code = f.command(1, "watch", "--times", "2", "--every", "10ms"); code != 0 || strings.Count(text, "name=") != 4 {
		t.Error(code, text)
	}
	f.Links.Partition(0, 0, 1, 1, 1)
	f.await(t, "two parts", func() bool {
		return f.HavePartitionStatus(membership.Minority, 0, 1) && f.HavePartitionStatus(membership.Majority, 2, 3, 4)
	})
	if text, code = f.command(0, "compare"); code != 1 || !strings.Contains(text, "gives no view") {
		t.Error(code, text)
	}
	if text, code = f.command(0, "forget", "n4"); code != 1 || !strings.Contains(text, "larger part") {
		t.Error(code, text)
	}
	if text, code = f.command(0, "forget", "nobody"); code != 1 || !strings.Contains(text, "no driver of this name") {
		t.Error(code, text)
	}
	f.Links.Heal()
	f.await(t, "whole", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	if text, code = f.command(4, "leave"); code != 0 {
		t.Error(text)
	}
	f.await(t, "it left", func() bool {
		return f.sees(4, membership.Left, 0, 1, 2, 3) && f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3)
	})
	// SIGHUP takes other seeds and another period, without a restart
	f.options.Period = 150 * time.Millisecond
	if err := f.Drivers[1].writeFiles(); err != nil {
		t.Fatal(err)
	}
	f.Drivers[1].Signal(syscall.SIGHUP)
	f.await(t, "reloaded", func() bool { return strings.Contains(f.Drivers[1].Log(), "event=reloaded") })
	f.await(t, "and goes on", func() bool { return f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3) })
}

// The count of drivers reaches the module, and falls only where the rest may take the share over.
func TestCountOfDrivers(t *testing.T) {
	f := start(t, Options{Seed: 15, TakeoverAfter: time.Second})
	f.await(t, "told at the start", func() bool { return strings.Contains(f.Drivers[0].Log(), "event=drivers count=5") })
	f.Drivers[4].Kill()
	f.Drivers[3].Kill()
	f.await(t, "three of five", func() bool { return f.HavePartitionStatus(membership.Majority, 0, 1, 2) })
	f.await(t, "they take over what those two must have given up: 2*3*5/8", func() bool {
		for _, i := range []int{0, 1, 2} {
			if s, err := f.Drivers[i].Status(); err != nil || s.Count != 4 {
				return false
			}
		}
		return true
	})
}
