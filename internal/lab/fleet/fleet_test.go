package fleet

// These tests run several processes of the built program with faults between them. Each test waits for conditions, with
// a timeout that is sufficient on a loaded machine, and does not rely on durations.

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
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/fleet/membership"
	"weirwind/internal/lab"
	"weirwind/internal/standin/links"
	"weirwind/internal/standin/loopback"
	"weirwind/internal/switchover"
)

var (
	program string
	flags   []string // additional flags of its build
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

const timeout = 90 * time.Second

// fleetsAtOnce is the maximum number of fleets, of five or six drivers, that run concurrently per processor of the
// machine, over all test processes. With four times as many, and other work, drivers got too little processor time to
// renew their leases.
const fleetsAtOnce = 2

var allDrivers = []int{0, 1, 2, 3, 4}

// startFleet starts a fleet of five drivers and waits until all see each other.
func startFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	t.Parallel()
	f := newFleet(t, o)
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "a complete fleet", func() bool { return f.HavePartitionStatus(membership.Complete, allDrivers...) })
	return f
}

// newFleet waits for a turn among all fleets of the machine and returns a fleet without running processes. The caller
// must have called t.Parallel before: a test that holds a turn and waits for sequential tests to end can deadlock with
// one that waits for a turn.
func newFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	turn, err := loopback.AcquireSlot(context.Background(), fleetsAtOnce*runtime.NumCPU())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(turn.Release)
	o.Program = program
	if o.Drivers == 0 {
		o.Drivers = 5
	}
	if o.Cluster == nil {
		cluster, err := lab.Start(lab.Options{ElectionTime: 300 * time.Millisecond, Members: 3})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(cluster.Stop)
		o.Cluster = cluster
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
				if z, ok := d.zonesStatus(); ok {
					text, _ := json.Marshal(z)
					t.Logf("%s: %s", d.Name, text)
				}
				lines := slices.DeleteFunc(
					strings.Split(d.Log(), "\n"),
					func(l string) bool { return strings.Contains(l, "client_closed") },
				)
				t.Logf("%s: %v %s\n%s", d.Name, err, text, strings.Join(lines[max(0, len(lines)-40):], "\n"))
			}
		}
		f.Close()
	})
	return f
}

func (f *Fleet) eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not after %v", description, timeout)
		}
	}
}

// sees reports whether all given observers see a driver in a state.
func (f *Fleet) sees(subject int, want membership.State, observers ...int) bool {
	for _, i := range observers {
		if v, ok := f.View(i, subject); !ok || v.State != want {
			return false
		}
	}
	return true
}

func (f *Fleet) haveRosterOf(n int, drivers ...int) bool {
	for _, i := range drivers {
		if s, err := f.Drivers[i].Status(); err != nil || s.Roster == nil || len(s.Roster.Names) != n {
			return false
		}
	}
	return true
}

// With persistent votes, a fleet whose drivers are all killed and restarted one by one keeps its identity: the first
// driver waits for the others instead of founding a new roster, and all can vote immediately. A corrupted folder is
// refused.
func TestVotesSurviveRestarts(t *testing.T) {
	f := startFleet(t, Options{Seed: 21, KeepVotes: true})
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
	f.eventually(t, "the first restarted driver is isolated", func() bool {
		return f.HavePartitionStatus(membership.Isolated, 0)
	})
	if _, err := f.Drivers[0].Control.NotifyHook(
		context.Background(),
		switchover.Notification{Group: 1, Stage: switchover.StageHeld},
	); err == nil ||
		!strings.Contains(err.Error(), "503") {
		t.Errorf("a hold requested at an isolated driver: %v", err)
	}
	if err := f.StartDrivers(1, 2); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "three of five", func() bool { return f.HavePartitionStatus(membership.Majority, 0, 1, 2) })
	s, err := f.Drivers[0].Status()
	if err != nil || s.Roster.Lineage != before.Roster.Lineage || !slices.Equal(s.Roster.Names, before.Roster.Names) {
		t.Fatalf("the roster differs: %+v %v, before %+v", s.Roster, err, before.Roster)
	}
	if err := f.Drivers[1].Control.Forget(context.Background(), control.ForgetRequest{Name: "n4"}); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "a roster agreed on by three restarted drivers", func() bool { return f.haveRosterOf(4, 0, 1, 2) })
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
	f.eventually(
		t,
		"a corrupted folder is refused",
		func() bool { return strings.Contains(f.Drivers[2].Log(), "move it away") },
	)
}

func TestKilledDrivers(t *testing.T) {
	f := startFleet(t, Options{Seed: 1})
	f.Drivers[4].Kill()
	f.eventually(t, "one killed", func() bool {
		return f.sees(4, membership.Failed, 0, 1, 2, 3) && f.HavePartitionStatus(membership.Majority, 0, 1, 2, 3)
	})
	f.Drivers[3].Kill()
	f.Drivers[2].Kill()
	f.eventually(t, "the majority killed", func() bool { return f.HavePartitionStatus(membership.Minority, 0, 1) })
	f.Drivers[1].Kill()
	f.eventually(t, "all but one killed", func() bool { return f.HavePartitionStatus(membership.Isolated, 0) })
	if s, err := f.Drivers[0].Status(); err != nil || s.DriverCount != 10 || len(s.Roster.Names) != 5 {
		t.Errorf("failures must not shrink the roster or the count: %+v %v", s, err)
	}
	if _, err := f.Drivers[0].Control.NotifyHook(
		context.Background(),
		switchover.Notification{Group: 1, Stage: switchover.StageHeld},
	); err == nil ||
		!strings.Contains(err.Error(), "503") {
		t.Errorf("a hold requested at an isolated driver: %v", err)
	}
	for i := 1; i < 5; i++ {
		if err := f.Drivers[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.eventually(t, "all back", func() bool {
		return f.HavePartitionStatus(membership.Complete, allDrivers...) && f.haveRosterOf(5, allDrivers...)
	})
}

func TestStoppedAndNewDrivers(t *testing.T) {
	f := startFleet(t, Options{Seed: 2, ExtraDrivers: 1})
	f.Drivers[4].Stop()
	f.eventually(t, "one stopped", func() bool {
		return f.sees(4, membership.Left, 0, 1, 2, 3) && f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3) &&
			f.haveRosterOf(4, 0, 1, 2, 3)
	})
	if err := f.Drivers[5].Start(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "a new driver joined", func() bool {
		return f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 5) && f.haveRosterOf(5, 0, 1, 2, 3, 5)
	})
	f.Drivers[5].Kill()
	f.eventually(t, "the new driver failed", func() bool { return f.sees(5, membership.Failed, 0, 1, 2, 3) })
	f.eventually(t, "the failed driver is forgotten", func() bool {
		err := f.Drivers[0].Control.Forget(context.Background(), control.ForgetRequest{Name: "n5"})
		return err == nil && f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3) && f.haveRosterOf(4, 0, 1, 2, 3)
	})
	if err := f.Drivers[0].Control.Forget(
		context.Background(),
		control.ForgetRequest{Name: "n1"},
	); err == nil ||
		!strings.Contains(err.Error(), "lives") {
		t.Errorf("a live driver was forgotten: %v", err)
	}
}

func TestPausedDrivers(t *testing.T) {
	f := startFleet(t, Options{Seed: 3})
	f.Drivers[2].Freeze()
	f.eventually(
		t,
		"the frozen driver is suspected or failed",
		func() bool { return f.sees(2, membership.Suspect, 0) || f.sees(2, membership.Failed, 0) },
	)
	f.Drivers[2].Thaw()
	f.eventually(
		t,
		"complete after thawing a suspected driver",
		func() bool { return f.HavePartitionStatus(membership.Complete, allDrivers...) },
	)
	f.Drivers[2].Freeze()
	f.eventually(t, "the frozen driver failed", func() bool { return f.sees(2, membership.Failed, 0, 1, 3, 4) })
	f.Drivers[2].Thaw()
	f.eventually(
		t,
		"complete after thawing a failed driver",
		func() bool { return f.HavePartitionStatus(membership.Complete, allDrivers...) },
	)
	if log := f.Drivers[2].Log(); !strings.Contains(log, "reason=stood_still") ||
		strings.Contains(log, "reason=fellow_failed") {
		t.Errorf("the paused driver considers others failed:\n%s", log)
	}
}

func TestPartitions(t *testing.T) {
	f := startFleet(t, Options{Seed: 4, ExtraDrivers: 2})
	f.Links.Partition(0, 0, 1, 1, 1, 0, 0)
	f.eventually(t, "two against three", func() bool {
		return f.HavePartitionStatus(membership.Minority, 0, 1) && f.HavePartitionStatus(membership.Majority, 2, 3, 4)
	})
	for _, i := range []int{5, 6} {
		if err := f.Drivers[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.eventually(t, "new drivers join the minority", func() bool {
		return f.HavePartitionStatus(membership.Minority, 0, 1, 5, 6) && f.haveRosterOf(5, 0, 1, 2, 3, 4, 5, 6)
	})
	f.Drivers[4].Kill() // the views of both sides change before they merge
	f.eventually(t, "the former majority has lost a driver", func() bool {
		return f.HavePartitionStatus(membership.Undetermined, 2, 3) || f.HavePartitionStatus(membership.Minority, 2, 3)
	})
	f.Links.Heal()
	f.eventually(t, "two changed views merge", func() bool {
		return f.HavePartitionStatus(membership.Majority, 0, 1, 2, 3, 5, 6) && f.haveRosterOf(7, 0, 1, 2, 3, 5, 6) &&
			f.sees(4, membership.Failed, 0, 1, 2, 3, 5, 6)
	})
	f.Links.Partition(0, 1, 1, 1, 1, 1, 1)
	f.eventually(t, "one against the rest", func() bool {
		return f.HavePartitionStatus(membership.Isolated, 0) && f.HavePartitionStatus(membership.Majority, 1, 2, 3, 5, 6)
	})
	f.Links.Heal()
	if err := f.Drivers[4].Start(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "all seven drivers are complete", func() bool {
		return f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 4, 5, 6)
	})
	for _, d := range f.Drivers {
		d.checkCompare(t)
	}
}

func TestBlockedDirectionAndRing(t *testing.T) {
	f := startFleet(t, Options{Seed: 5})
	f.Links.Set(0, 1, links.Link{Blocked: true})
	f.eventually(t, "the blocked direction is reported", func() bool {
		v, ok := f.View(3, 1)
		own, known := f.View(1, 0)
		back, heard := f.View(0, 1)
		return ok && slices.Contains(v.Unreachable, "n0") && known && !own.Reachable && own.State == membership.Alive &&
			heard &&
			back.Reachable
	})
	f.eventually(
		t,
		"no driver fails due to the blocked direction",
		func() bool { return f.HavePartitionStatus(membership.Complete, allDrivers...) },
	)
	f.Links.Heal()
	f.eventually(t, "healed", func() bool { own, ok := f.View(1, 0); return ok && own.Reachable })
	f.Links.SetAll(func(a, b int) (w links.Link) {
		w.Blocked = (a+1)%5 != b && (b+1)%5 != a
		return w
	})
	f.eventually(t, "complete over a ring of links", func() bool {
		far, ok := f.View(0, 2)
		near, known := f.View(0, 1)
		return ok && known && !far.Reachable && near.Reachable && f.HavePartitionStatus(membership.Complete, allDrivers...)
	})
	f.Links.Heal()
	f.eventually(t, "all links are back", func() bool {
		far, ok := f.View(0, 2)
		return ok && far.Reachable && f.HavePartitionStatus(membership.Complete, allDrivers...)
	})
}

func TestLossDuplicatesAndReordering(t *testing.T) {
	f := startFleet(t, Options{Seed: 6})
	f.Links.SetAll(func(a, b int) (w links.Link) {
		w.Loss, w.Duplicate, w.Delay, w.Jitter = 0.3, 0.3, 2*time.Millisecond, 30*time.Millisecond
		return w
	})
	f.Drivers[3].Kill()
	f.eventually(t, "a failure is detected despite packet loss", func() bool {
		return f.sees(3, membership.Failed, 0, 1, 2, 4)
	})
	if err := f.Drivers[3].Start(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "a restart is detected despite packet loss", func() bool {
		return f.HavePartitionStatus(membership.Complete, allDrivers...)
	})
	f.Links.Heal()
	f.eventually(t, "complete after the heal", func() bool {
		return f.HavePartitionStatus(membership.Complete, allDrivers...)
	})
}

func TestRestarts(t *testing.T) {
	f := startFleet(t, Options{Seed: 7})
	for _, d := range f.Drivers {
		d.Kill()
		if err := d.Start(); err != nil {
			t.Fatal(err)
		}
		f.eventually(t, "one by one", func() bool { return f.HavePartitionStatus(membership.Complete, allDrivers...) })
	}
	for _, d := range f.Drivers {
		d.Kill()
	}
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "all at once", func() bool {
		return f.HavePartitionStatus(membership.Complete, allDrivers...) && f.haveRosterOf(5, allDrivers...)
	})
}

func TestDuplicateNameAndDeadSeeds(t *testing.T) {
	t.Parallel()
	f := newFleet(t, Options{Seed: 8, ExtraDrivers: 1, Seeds: func(i int) []int {
		if i == 4 {
			return []int{5} // not running
		}
		return []int{0, 4}
	}})
	if err := f.Drivers[4].Start(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "undetermined with dead seeds", func() bool {
		return f.HavePartitionStatus(membership.Undetermined, 4)
	})
	if err := f.StartDrivers(0, 1, 2, 3); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "discovered by other drivers", func() bool {
		return f.HavePartitionStatus(membership.Complete, allDrivers...)
	})
	f.Drivers[5].Name = "n4"
	if err := f.Drivers[5].Start(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "a duplicate name is rejected", func() bool {
		s, err := f.Drivers[5].Status()
		return err == nil && s.Partition == membership.Undetermined && s.Reason == "name_taken" &&
			f.HavePartitionStatus(membership.Complete, allDrivers...)
	})
	v, _ := f.View(0, 4)
	if v.Address != f.Links.AdvertisedAddr(4) {
		t.Errorf("the second driver took over the name: %+v", v)
	}
	f.Drivers[4].Kill()
	f.eventually(
		t,
		"the second driver gets the name after the first one's end",
		func() bool { return f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 5) },
	)
}

func TestForeignDrivers(t *testing.T) {
	t.Parallel()
	f := newFleet(t, Options{Seed: 9, ExtraDrivers: 1, Secret: func(i int) string {
		if i == 5 {
			return "another secret"
		}
		return "a secret of drivers"
	}})
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "a complete fleet", func() bool { return f.HavePartitionStatus(membership.Complete, allDrivers...) })
	if err := f.Drivers[5].Start(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "a driver with another secret does not join", func() bool {
		return f.HavePartitionStatus(membership.Undetermined, 5)
	})
	// Garbage at the sockets neither makes a driver fail nor adds one.
	udp, err := net.Dial("udp", f.Links.ListenAddr(0))
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	for i := range 2000 {
		udp.Write([]byte(strings.Repeat("\xa1\x01\x82", i%600)))
	}
	for range 40 { // more connections than are served concurrently
		c, err := net.Dial("tcp", f.Links.ListenAddr(0))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte("\x00\x1f\xff\xff garbage that never ends"))
	}
	f.Drivers[3].Kill()
	f.eventually(t, "one failed", func() bool { return f.sees(3, membership.Failed, 0, 1, 2, 4) })
	for range 20 {
		if f.Links.Replay() == 0 { // the replayed datagrams include ones of the killed driver
			t.Fatal("nothing to replay")
		}
	}
	f.eventually(t, "replayed datagrams change nothing", func() bool {
		return f.sees(3, membership.Failed, 0, 1, 2, 4) && f.HavePartitionStatus(membership.Majority, 0, 1, 2, 4)
	})
	s, err := f.Drivers[0].Status()
	if err != nil || len(s.Drivers) != 4 {
		t.Errorf("%+v %v", s, err)
	}
}

var writes = lab.OpKind{Name: "write", Share: 1, Write: true, Timeout: 4 * time.Second}

// runUnderLoad runs an action while the given drivers are under load, and audits the load.
func (f *Fleet) runUnderLoad(t *testing.T, action func(), targets ...int) lab.Result {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	l := lab.Load{
		Rate:     60,
		Duration: time.Hour,
		Mix:      []lab.OpKind{writes, lab.DefaultMix[0], lab.DefaultMix[1]},
		Groups:   1,
		Seed:     5,
		Slack:    20 * time.Second,
	}
	for _, i := range targets {
		l.Targets = append(l.Targets, f.Drivers[i].Address)
	}
	results := make(chan lab.Result)
	go func() { results <- l.Run(ctx, nil) }()
	action()
	stop()
	r := <-results
	for _, violations := range f.options.Cluster.Audit(r) {
		t.Error(violations)
	}
	if r.Kinds["write"].Outcomes[lab.Acked] == 0 {
		t.Error("no write was acked")
	}
	return r
}

func changeStatus(d *Driver) switchover.ChangeStatus {
	s, err := d.Control.Status(context.Background())
	if err != nil || len(s) == 0 {
		return switchover.ChangeStatus{}
	}
	return s[0]
}

// changesFulfil reports whether the status of group 1's switchover fulfils a condition at every driver.
func (f *Fleet) changesFulfil(condition func(switchover.ChangeStatus) bool) bool {
	return !slices.ContainsFunc(f.Drivers, func(d *Driver) bool { return !condition(changeStatus(d)) })
}

// A hold begins at the majority side of a partition while the minority can't learn of it, and is released at the
// minority side; both sides get writes.
func TestHoldAndReleaseAcrossPartition(t *testing.T) {
	f := startFleet(t, Options{Seed: 10})
	cluster := f.options.Cluster
	f.runUnderLoad(t, func() {
		f.Links.Partition(0, 0, 1, 1, 1)
		f.eventually(t, "two parts", func() bool {
			return f.HavePartitionStatus(membership.Minority, 0, 1) && f.HavePartitionStatus(membership.Majority, 2, 3, 4)
		})
		old := cluster.Primary(1)
		hold := switchover.Notification{Group: 1, Stage: switchover.StageHeld, From: old, Lease: 20000}
		if _, err := f.Drivers[1].Control.NotifyHook(
			context.Background(),
			hold,
		); err == nil ||
			!strings.Contains(err.Error(), "larger part") {
			t.Errorf("a hold requested at the minority: %v", err)
		}
		hold, err := f.Drivers[2].Control.NotifyHook(context.Background(), hold)
		if err != nil {
			t.Error(err)
			return
		}
		f.eventually(t, "held at the majority", func() bool {
			return changeStatus(f.Drivers[3]).Stage == switchover.StageHeld &&
				changeStatus(f.Drivers[4]).Stage == switchover.StageHeld
		})
		if s := changeStatus(f.Drivers[0]); s.Stage != switchover.StageNone {
			t.Errorf("the hold crossed the partition: %+v", s)
		}
		cluster.Inject("demote", old)
		f.eventually(t, "a new primary", func() bool { p := cluster.Primary(1); return p != "" && p != old })
		if _, err := f.Drivers[0].Control.NotifyHook(
			context.Background(),
			switchover.Notification{
				Group: 1, Stage: switchover.StageReleased, Epoch: hold.Epoch, From: old, To: cluster.Primary(1)},
		); err != nil {
			t.Error(err)
		}
		f.Links.Heal()
		f.eventually(t, "released everywhere", func() bool {
			return f.changesFulfil(func(s switchover.ChangeStatus) bool {
				return s.Stage == switchover.StageReleased && s.Finished
			})
		})
	}, allDrivers...)
}

// The primary changes, with and without notice, while the fleet is partitioned and both sides get writes.
func TestPrimaryChangesInBothPartitions(t *testing.T) {
	f := startFleet(t, Options{Seed: 11})
	cluster := f.options.Cluster
	f.runUnderLoad(t, func() {
		f.Links.Partition(0, 0, 1, 1, 1)
		f.eventually(t, "two parts", func() bool {
			return f.HavePartitionStatus(membership.Minority, 0, 1) && f.HavePartitionStatus(membership.Majority, 2, 3, 4)
		})
		old := cluster.Primary(1)
		cluster.Inject("kill", old)
		f.eventually(t, "a new primary", func() bool { p := cluster.Primary(1); return p != "" && p != old })
		cluster.Inject("heal", old)
		if _, err := cluster.Switchover(context.Background(), f.Drivers[4].Control, 1); err != nil {
			t.Error(err)
		}
		f.Links.Heal()
		f.eventually(t, "complete again", func() bool { return f.HavePartitionStatus(membership.Complete, allDrivers...) })
		if _, err := cluster.Switchover(context.Background(), f.Drivers[0].Control, 1); err != nil {
			t.Error(err)
		}
		f.eventually(t, "all know the release", func() bool {
			return f.changesFulfil(func(s switchover.ChangeStatus) bool {
				return s.Stage == switchover.StageReleased && s.Epoch == changeStatus(f.Drivers[0]).Epoch
			})
		})
	}, allDrivers...)
}

// The driver that the hook notified dies while it holds writes: the others keep the hold and its lease, and release it.
func TestDriverDiesWhileItHoldsWrites(t *testing.T) {
	f := startFleet(t, Options{Seed: 12})
	cluster := f.options.Cluster
	f.runUnderLoad(t, func() {
		old := cluster.Primary(1)
		hold, err := f.Drivers[4].Control.NotifyHook(
			context.Background(),
			switchover.Notification{Group: 1, Stage: switchover.StageHeld, From: old, Lease: 20000},
		)
		if err != nil {
			t.Error(err)
			return
		}
		f.eventually(t, "held by all", func() bool {
			return f.changesFulfil(func(s switchover.ChangeStatus) bool { return s.Stage == switchover.StageHeld })
		})
		f.Drivers[4].Kill()
		cluster.Inject("demote", old)
		f.eventually(t, "a new primary", func() bool { p := cluster.Primary(1); return p != "" && p != old })
		if err := f.Drivers[4].Start(); err != nil {
			t.Error(err)
			return
		}
		f.eventually(
			t,
			"the restarted driver knows of the hold",
			func() bool { return changeStatus(f.Drivers[4]).Epoch == hold.Epoch },
		)
		if _, err := f.Drivers[1].Control.NotifyHook(
			context.Background(),
			switchover.Notification{Group: 1, Stage: switchover.StageReleased, To: cluster.Primary(1)},
		); err != nil {
			t.Error(err)
		}
		f.eventually(t, "released by all", func() bool {
			return f.changesFulfil(func(s switchover.ChangeStatus) bool { return s.Stage == switchover.StageReleased })
		})
	}, 0, 1, 2, 3)
}

// A drain that only the minority's list contains is obeyed by all drivers that learn of it after the heal, also during
// another partition, until a newer list has the member up.
func TestDrainAnnouncedToTheMinority(t *testing.T) {
	cluster, err := lab.Start(lab.Options{ElectionTime: 300 * time.Millisecond, Members: 4})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Stop()
	old := cluster.MemberList()
	staleDiscovery := httptest.NewServer(
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { // discovery that returns an outdated list
			if r.FormValue("since") != "" {
				select {
				case <-r.Context().Done():
				case <-time.After(500 * time.Millisecond):
				}
			}
			w.Write(old)
		}),
	)
	defer staleDiscovery.Close()
	f := startFleet(t, Options{Seed: 13, Cluster: cluster, Discovery: func(i int) string {
		if i < 2 {
			return cluster.Discovery()
		}
		return staleDiscovery.Listener.Addr().String()
	}})
	f.Links.Partition(0, 0, 1, 1, 1)
	f.eventually(t, "two parts", func() bool {
		return f.HavePartitionStatus(membership.Minority, 0, 1) && f.HavePartitionStatus(membership.Majority, 2, 3, 4)
	})
	drained := cluster.Replica(1)
	cluster.Inject("drain", drained)
	reported := func(draining string, drivers ...int) bool {
		for _, i := range drivers {
			if log := f.Drivers[i].Log(); strings.LastIndex(
				log,
				"member="+drained+" draining="+draining,
			) <= strings.LastIndex(
				log,
				"member="+drained+" draining="+map[string]string{"true": "false", "false": "true"}[draining],
			) {
				return false
			}
		}
		return true
	}
	f.eventually(t, "announced to the minority", func() bool {
		return strings.Contains(f.Drivers[0].Log(), drained+"=draining") &&
			strings.Contains(f.Drivers[1].Log(), drained+"=draining")
	})
	f.Links.Heal()
	f.eventually(t, "known to the others", func() bool { return reported("true", 2, 3, 4) })
	expectNoArrivals := func(what string) {
		t.Helper()
		time.Sleep(2 * lab.DrainGrace) // ops that were sent before may still arrive
		before := cluster.Arrivals(drained)
		reads := lab.Load{
			Targets:  []string{f.Drivers[2].Address, f.Drivers[3].Address, f.Drivers[4].Address},
			Rate:     200,
			Duration: 2 * time.Second,
			Mix:      []lab.OpKind{lab.DefaultMix[1]},
			Groups:   1,
			Seed:     3,
			Slack:    20 * time.Second,
		}
		reads.Run(context.Background(), nil)
		if after := cluster.Arrivals(drained); after != before {
			t.Errorf("%s: %d ops arrived at a drained member", what, after-before)
		}
	}
	expectNoArrivals("after the heal")
	f.Links.Partition(0, 0, 1, 1, 1)
	f.eventually(t, "two parts again", func() bool { return f.HavePartitionStatus(membership.Majority, 2, 3, 4) })
	f.Drivers[0].Kill()
	f.Drivers[1].Kill()
	expectNoArrivals("the drivers that announced it are gone")
	f.Links.Heal()
	for _, i := range []int{0, 1} {
		if err := f.Drivers[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.eventually(t, "complete", func() bool { return f.HavePartitionStatus(membership.Complete, allDrivers...) })
	expectNoArrivals("after another heal")
	cluster.Inject("undrain", drained)
	f.eventually(t, "up again by a newer list", func() bool { return reported("false", 2, 3, 4) })
}

// checkCompare checks that the driver can compare the views of all drivers.
func (d *Driver) checkCompare(t *testing.T) {
	t.Helper()
	all, err := d.Control.Compare(context.Background())
	if err != nil || len(all) < 6 {
		t.Errorf("compare at %s: %d views, %v", d.Name, len(all), err)
	}
	for _, c := range all {
		if c.Status == nil {
			t.Errorf("%s returns no view to %s: %s", c.Name, d.Name, c.Error)
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
	f := startFleet(t, Options{Seed: 14})
	text, code := f.command(0, "status", "--json")
	var s struct {
		Self, Standing string
		Drivers        []struct {
			Name, State string
			Heard       *bool
		}
	}
	if err := json.Unmarshal(
		[]byte(text),
		&s,
	); err != nil || code != 0 || s.Self != "n0" || s.Standing != "whole" || len(s.Drivers) != 4 ||
		s.Drivers[0].Name != "n1" || s.Drivers[0].State != "alive" || s.Drivers[0].Heard == nil ||
		!*s.Drivers[0].Heard {
		t.Errorf("%d %v %s", code, err, text)
	}
	f.eventually(t, "all views alike", func() bool { text, code = f.command(2, "compare"); return code == 0 })
	if strings.Count(text, "standing=whole") != 5 {
		t.Error(text)
	}
	if text, code = f.command(
		1,
		"watch",
		"--times",
		"2",
		"--every",
		"10ms",
	); code != 0 ||
		strings.Count(text, "name=") != 4 {
		t.Error(code, text)
	}
	f.Links.Partition(0, 0, 1, 1, 1)
	f.eventually(t, "two parts", func() bool {
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
	f.eventually(t, "complete", func() bool { return f.HavePartitionStatus(membership.Complete, allDrivers...) })
	if text, code = f.command(4, "leave"); code != 0 {
		t.Error(text)
	}
	f.eventually(t, "it left", func() bool {
		return f.sees(4, membership.Left, 0, 1, 2, 3) && f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3)
	})
	// SIGHUP reloads the seeds and the period without a restart.
	f.options.Period = 150 * time.Millisecond
	if err := f.Drivers[1].writeFiles(); err != nil {
		t.Fatal(err)
	}
	f.Drivers[1].Signal(syscall.SIGHUP)
	f.eventually(t, "reloaded", func() bool { return strings.Contains(f.Drivers[1].Log(), "event=reloaded") })
	f.eventually(t, "complete after the reload", func() bool {
		return f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3)
	})
}

// The number of drivers is passed to the module, and decreases only when the others may take over the failed drivers'
// shares.
func TestDriverCountAfterTakeover(t *testing.T) {
	f := startFleet(t, Options{Seed: 15, TakeoverAfter: time.Second})
	f.eventually(
		t,
		"known at the start",
		func() bool { return strings.Contains(f.Drivers[0].Log(), "event=drivers count=5") },
	)
	f.Drivers[4].Kill()
	f.Drivers[3].Kill()
	f.eventually(t, "three of five", func() bool { return f.HavePartitionStatus(membership.Majority, 0, 1, 2) })
	f.eventually(t, "the count decreases to 4, for 2*3*5/8", func() bool {
		for _, i := range []int{0, 1, 2} {
			if s, err := f.Drivers[i].Status(); err != nil || s.DriverCount != 4 {
				return false
			}
		}
		return true
	})
}
