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
	prefix      = "weirwind/members/"
	testTimeout = 20 * time.Second
)

func entry(port int, phase string) string {
	return fmt.Sprintf(`{"host_port":"127.0.0.1:%d","locality":"a","cell":3,"phase":%q}`, port, phase)
}

// follower runs a watcher with its roster over some endpoints. mu guards the fields below it.
type follower struct {
	t             *testing.T
	mu            sync.Mutex
	roster        *roster.Roster
	notes         []string
	disconnects   []error
	forbidden     map[string]bool // members that must not become usable
	violation     string
	upRevisions   map[string]int64 // by member: the newest revision delivered that has it up
	downRevisions map[string]int64 // the newest that has it draining or removed
	stop          func()
	changed       chan struct{}
}

func now() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func follow(t *testing.T, dialect string, rosterOptions roster.Options, servers ...*kv.Server) *follower {
	t.Helper()
	options := Options{Dialect: dialect, Prefix: prefix, WatchTimeout: 300 * time.Millisecond}
	for _, s := range servers {
		options.Endpoints = append(options.Endpoints, s.URL)
	}
	return followWith(t, options, rosterOptions, 0)
}

// followWith follows a registry until the test ends. resyncInterval is in milliseconds, 0 for the default.
func followWith(t *testing.T, options Options, rosterOptions roster.Options, resyncInterval float64) *follower {
	t.Helper()
	client, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	rosterOptions.Preferred = roster.SourceRegistry
	r := &follower{
		t:             t,
		roster:        roster.New(rosterOptions),
		forbidden:     map[string]bool{},
		upRevisions:   map[string]int64{},
		downRevisions: map[string]int64{},
		changed:       make(chan struct{}, 1),
	}
	watcher := &Watcher{Client: client, Now: now, OnActivity: func() {}}
	watcher.Scheduler = roster.NewScheduler(roster.SchedulerOptions{
		Endpoints:      len(options.Endpoints),
		Drivers:        1,
		Seed:           1,
		ResyncInterval: resyncInterval,
	})
	watcher.Position = func() (int64, bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		_, revision, known := r.roster.Revision(roster.SourceRegistry)
		return revision, known
	}
	watcher.Apply = func(u roster.Update) (roster.Verdict, float64) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.record(u)
		outcome := r.roster.Apply(now(), u)
		r.notes = append(r.notes, outcome.Notes...)
		for _, e := range outcome.Changes {
			if e.Phase == roster.PhaseUp && (r.forbidden[e.ID] || r.upRevisions[e.ID] < r.downRevisions[e.ID]) {
				r.violation = e.ID
			}
		}
		select {
		case r.changed <- struct{}{}:
		default:
		}
		return outcome.Verdict, rosterOptions.ConfirmAfter
	}
	watcher.OnDisconnect = func(err error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.roster.SetDisconnected(roster.SourceRegistry)
		r.disconnects = append(r.disconnects, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx)
	}()
	r.stop = func() {
		stop()
		<-done
	}
	t.Cleanup(r.stop)
	return r
}

// record stores the newest delivered revision for each phase of each member.
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
	timeout := time.After(testTimeout)
	for {
		r.mu.Lock()
		got, violation := r.members(), r.violation
		r.mu.Unlock()
		if violation != "" {
			r.t.Fatalf("%s became usable by older information", violation)
		}
		if got == want {
			return
		}
		select {
		case <-r.changed:
		case <-time.After(10 * time.Millisecond):
		case <-timeout:
			r.t.Fatalf("members %q, want %q; notes %q, disconnects %v", got, want, r.notes, r.disconnects)
		}
	}
}

func serve(t *testing.T, s *kv.Store) *kv.Server {
	server := kv.Serve(s)
	t.Cleanup(func() { server.CloseConnections(); server.Close() })
	return server
}

func forBothDialects(t *testing.T, test func(t *testing.T, dialect string)) {
	for _, dialect := range []string{"etcd", "consul"} {
		t.Run(dialect, func(t *testing.T) { t.Parallel(); test(t, dialect) })
	}
}
