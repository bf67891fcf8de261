package registry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"weirwind/internal/roster"
	"weirwind/internal/standin/kv"
)

const (
	prefix   = "weirwind/members/"
	patience = 20 * time.Second
)

func entry(port int, phase string) string {
	return fmt.Sprintf(`{"host_port":"127.0.0.1:%d","locality":"a","cell":3,"phase":%q}`, port, phase)
}

// follower is a watcher with its roster, over some endpoints. mu guards what follows it.
type follower struct {
	t             *testing.T
	mu            sync.Mutex
	roster        *roster.Roster
	notes         []string
	disconnects   []error
	forbidden     map[string]bool // members that must not be seen usable from now on
	violation     string
	upRevisions   map[string]int64 // by member: the newest revision delivered that has it up
	downRevisions map[string]int64 // and draining or removed
	stop          func()
	changed       chan struct{}
}

func now() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func follow(t *testing.T, dialect string, rules roster.Options, servers ...*kv.Server) *follower {
	t.Helper()
	o := Options{Dialect: dialect, Prefix: prefix, WatchTimeout: 300 * time.Millisecond}
	for _, s := range servers {
		o.Endpoints = append(o.Endpoints, s.URL)
	}
	return followWith(t, o, rules, 0)
}

// followWith follows a registry until the test ends. resyncInterval is in milliseconds, 0 for the default.
func followWith(t *testing.T, o Options, rules roster.Options, resyncInterval float64) *follower {
	t.Helper()
	client, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	rules.Preferred = roster.SourceRegistry
	r := &follower{
		t:             t,
		roster:        roster.New(rules),
		forbidden:     map[string]bool{},
		upRevisions:   map[string]int64{},
		downRevisions: map[string]int64{},
		changed:       make(chan struct{}, 1),
	}
	w := &Watcher{Client: client, Now: now, OnActivity: func() {}}
	w.Scheduler = roster.NewScheduler(roster.SchedulerOptions{
		Endpoints:      len(o.Endpoints),
		Drivers:        1,
		Seed:           1,
		ResyncInterval: resyncInterval,
	})
	w.Position = func() (int64, bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		_, revision, known := r.roster.Revision(roster.SourceRegistry)
		return revision, known
	}
	w.Apply = func(u roster.Update) (roster.Verdict, float64) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.record(u)
		out := r.roster.Apply(now(), u)
		r.notes = append(r.notes, out.Notes...)
		for _, e := range out.Changes {
			if e.Phase == roster.PhaseUp && (r.forbidden[e.ID] || r.upRevisions[e.ID] < r.downRevisions[e.ID]) {
				r.violation = e.ID
			}
		}
		select {
		case r.changed <- struct{}{}:
		default:
		}
		return out.Verdict, rules.ConfirmAfter
	}
	w.OnDisconnect = func(err error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.roster.SetDisconnected(roster.SourceRegistry)
		r.disconnects = append(r.disconnects, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	r.stop = func() {
		stop()
		<-done
	}
	t.Cleanup(r.stop)
	return r
}

// record keeps the newest revision that was delivered for each phase of each member.
func (r *follower) record(u roster.Update) {
	named := map[string]bool{}
	for _, e := range u.Entries {
		named[e.ID] = true
		if e.Phase == roster.PhaseUp {
			r.upRevisions[e.ID] = max(r.upRevisions[e.ID], e.ModRevision)
		} else {
			r.downRevisions[e.ID] = max(r.downRevisions[e.ID], e.ModRevision)
		}
	}
	if _, known, _ := r.roster.Revision(roster.SourceRegistry); u.Snapshot && !u.Fragment && u.Revision >= known {
		for id := range r.upRevisions {
			if !named[id] {
				r.downRevisions[id] = max(r.downRevisions[id], u.Revision)
			}
		}
	}
}

func (r *follower) members() string {
	var s []string
	for _, e := range r.roster.Members() {
		s = append(s, e.ID+map[roster.Phase]string{roster.PhaseDraining: "-"}[e.Phase])
	}
	return strings.Join(s, " ")
}

// waitFor waits until the members are as wanted; a hyphen marks one that drains.
func (r *follower) waitFor(want string) {
	r.t.Helper()
	limit := time.After(patience)
	for {
		r.mu.Lock()
		got, broke := r.members(), r.violation
		r.mu.Unlock()
		if broke != "" {
			r.t.Fatalf("%s was shown usable by something older", broke)
		}
		if got == want {
			return
		}
		select {
		case <-r.changed:
		case <-time.After(10 * time.Millisecond):
		case <-limit:
			r.t.Fatalf("shows %q, want %q; notes %q, losses %v", got, want, r.notes, r.disconnects)
		}
	}
}

func serve(t *testing.T, s *kv.Store) *kv.Server {
	v := kv.Serve(s)
	t.Cleanup(func() { v.CloseConnections(); v.Close() })
	return v
}

func both(t *testing.T, test func(t *testing.T, dialect string)) {
	for _, dialect := range []string{"etcd", "consul"} {
		t.Run(dialect, func(t *testing.T) { t.Parallel(); test(t, dialect) })
	}
}
