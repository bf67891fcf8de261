package registry

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"weirwind/internal/roster"
	"weirwind/internal/standin/kv"
)

// Writes are delivered. After an interruption, during which one key was deleted and put and another drained, the watch
// resumes if the history is kept, and reads a complete list if it is compacted.
func TestReconnectAndCompaction(t *testing.T) {
	forBothDialects(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"), "elsewhere", "x")
		server := serve(t, s)
		r := follow(t, dialect, roster.Options{}, server)
		r.waitFor("a b")
		s.Put(prefix+"c", entry(3, "up"))
		r.waitFor("a b c")
		s.Put(prefix+"b", entry(2, "draining"))
		r.waitFor("a b- c")
		for round, compact := range []bool{false, true, false} {
			server.Down.Store(true)
			server.CloseConnections()
			s.Put(prefix+"c", nil)
			s.Put(prefix+"c", entry(30+round, "up"))
			s.Put(prefix+"a", entry(1, "draining"))
			if compact {
				s.Compact(s.Revision())
				s.Put(prefix+"e", entry(5, "up"))
			}
			server.Down.Store(false)
			want := map[bool]string{false: "a- b- c", true: "a- b- c e"}[round > 0]
			r.waitFor(want)
			s.Put(prefix+"a", entry(1, "up"))
			r.waitFor(strings.Replace(want, "a-", "a", 1))
		}
		if reads := server.FullReads.Load(); dialect == "etcd" && reads != 2 {
			t.Errorf("%d complete lists read, want one at the start and one after compaction", reads)
		}
	})
}

// Compaction occurs between the list and the watch.
func TestCompactionAfterList(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"))
	server := serve(t, s)
	r := follow(t, "etcd", roster.Options{}, server)
	r.waitFor("a")
	server.Silent.Store(true)
	server.CloseConnections()
	for range 10 {
		s.Put(prefix+"b", entry(2, "up"))
	}
	s.Compact(s.Revision())
	s.Put(prefix+"a", entry(1, "draining"))
	server.Silent.Store(false)
	r.waitFor("a- b")
}

// A revision in several messages is applied as a whole, and not at all if it is incomplete.
func TestFragments(t *testing.T) {
	s := kv.NewStore("c1")
	server := serve(t, s)
	server.FragmentSize.Store(1)
	s.Put(prefix+"a", entry(1, "up"))
	r := follow(t, "etcd", roster.Options{}, server)
	r.waitFor("a")
	seen := map[string]bool{}
	for i := range 10 {
		if i%2 == 0 {
			s.Put(prefix+"x", entry(1, "up"), prefix+"y", entry(2, "up"), prefix+"z", entry(3, "up"))
			r.waitFor("a x y z")
		} else {
			s.Put(prefix+"x", nil, prefix+"y", nil, prefix+"z", nil)
			r.waitFor("a")
		}
		r.mu.Lock()
		seen[r.members()] = true
		r.mu.Unlock()
	}
	if len(seen) != 2 {
		t.Errorf("incomplete revisions were seen: %v", seen)
	}
}

// A watch without messages on an open connection is ended, and another endpoint delivers the drain.
func TestSilentWatch(t *testing.T) {
	forBothDialects(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"))
		first, second := serve(t, s), serve(t, s)
		r := follow(t, dialect, roster.Options{}, first, second)
		r.waitFor("a b")
		first.Silent.Store(true)
		second.Silent.Store(true)
		s.Put(prefix+"a", entry(1, "draining"))
		time.Sleep(50 * time.Millisecond)
		second.Silent.Store(false)
		r.waitFor("a- b")
	})
}

// If one endpoint is down, slow or behind, another serves; a lagging list is rejected.
func TestEndpointFailover(t *testing.T) {
	forBothDialects(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"))
		old := s.Snapshot()
		behind := kv.NewStore("c1")
		behind.Restore(old, "c1")
		first, second := serve(t, s), serve(t, s)
		r := follow(t, dialect, roster.Options{}, first, second)
		s.Put(prefix+"a", entry(1, "draining"))
		r.waitFor("a- b")
		r.mu.Lock()
		r.forbidden["a"] = true
		r.mu.Unlock()
		for _, lagging := range []*kv.Server{first, second, first} { // each lags in turn, after an interruption of both
			lagging.Stale.Store(behind)
			first.CloseConnections()
			second.CloseConnections()
			s.Put(prefix+"c", nil)
			s.Put(prefix+"c", entry(3, "up"))
			r.waitFor("a- b c")
			s.Put(prefix+"c", nil)
			r.waitFor("a- b")
			lagging.Stale.Store(nil)
		}
	})
}

// A registry that lost its data returns an empty list, which applies only when a later list confirms it. Drains apply
// at once in the meantime.
func TestLostData(t *testing.T) {
	forBothDialects(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"), prefix+"c", entry(3, "up"))
		server := serve(t, s)
		r := follow(t, dialect, roster.Options{ConfirmAfter: 400}, server)
		r.waitFor("a b c")
		before := s.Snapshot()
		empty := kv.NewStore("c2")
		for range 10 {
			empty.Put("other", "x")
		}
		s.Restore(empty, "c2")
		server.CloseConnections()
		limit := time.Now().Add(testTimeout)
		for reported := false; !reported && time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
			r.mu.Lock()
			reported = len(r.notes) > 0
			if r.members() != "a b c" {
				t.Errorf("members %q", r.members())
				reported = true
			}
			r.mu.Unlock()
		}
		s.Restore(before, "c3")
		s.Put(prefix+"a", entry(1, "draining"))
		server.CloseConnections()
		r.waitFor("a- b c")
		s.Restore(empty, "c4")
		server.CloseConnections()
		r.waitFor("") // later lists confirm it
	})
}

// A backup from before a drain is restored, with another cluster ID: the drain holds until the member is put again.
func TestRestoredBackup(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"))
	before := s.Snapshot()
	server := serve(t, s)
	r := follow(t, "etcd", roster.Options{}, server)
	s.Put(prefix+"a", entry(1, "draining"))
	r.waitFor("a- b")
	r.mu.Lock()
	r.forbidden["a"] = true
	r.mu.Unlock()
	s.Restore(before, "c2")
	s.Put(prefix+"d", entry(4, "up"))
	server.CloseConnections()
	r.waitFor("a- b d")
	r.mu.Lock()
	delete(r.forbidden, "a")
	r.mu.Unlock()
	s.Put(prefix+"a", entry(1, "up"))
	r.waitFor("a b d")
}

// Events that a watch omits are corrected by the complete list, which is read periodically.
func TestWatchThatOmitsEvents(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"))
	server := serve(t, s)
	options := Options{Dialect: "etcd", Prefix: prefix, Endpoints: []string{server.URL}, WatchTimeout: time.Second}
	r := followWith(t, options, roster.Options{}, 300)
	r.waitFor("a b")
	server.SkipEvents.Store(true)
	s.Put(prefix+"a", entry(1, "draining"))
	r.waitFor("a- b")
	server.SkipEvents.Store(false)
	s.Put(prefix+"a", nil)
	r.waitFor("b")
	if n := len(r.disconnects); n > 0 {
		t.Errorf("%d disconnects", n)
	}
}

// While a registry is down it gets few calls and the members stay; afterwards the changes are read.
func TestLongOutage(t *testing.T) {
	forBothDialects(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"))
		server := serve(t, s)
		r := follow(t, dialect, roster.Options{}, server)
		r.waitFor("a")
		server.Down.Store(true)
		server.CloseConnections()
		time.Sleep(time.Second)
		r.mu.Lock()
		calls := len(r.disconnects)
		r.mu.Unlock()
		if calls == 0 || calls > 12 {
			t.Errorf("%d calls in a second at a registry that is down", calls)
		}
		r.waitFor("a")
		s.Put(prefix+"a", entry(1, "draining"))
		server.Down.Store(false)
		r.waitFor("a-")
	})
}

// Both dialects are compared with the store, with random writes, interruptions, lag and compactions. In the end both
// must be equal, and a member that was draining or removed must never become usable by older information.
func TestMatchesStore(t *testing.T) {
	for _, dialect := range []string{"etcd", "consul"} {
		rapid.Check(t, func(rt *rapid.T) {
			s := kv.NewStore("c1")
			first, second := kv.Serve(s), kv.Serve(s)
			r := follow(t, dialect, roster.Options{}, first, second)
			defer func() { r.stop(); first.CloseConnections(); first.Close(); second.CloseConnections(); second.Close() }()
			ids := []string{"a", "b", "c", "d", "e", "f"}
			phases := map[string]string{}
			for range rapid.IntRange(50, 150).Draw(rt, "steps") {
				id := rapid.SampledFrom(ids).Draw(rt, "id")
				switch rapid.IntRange(0, 11).Draw(rt, "what") {
				case 0:
					first.CloseConnections()
					second.CloseConnections()
				case 1:
					first.Down.Store(!first.Down.Load())
				case 2:
					s.Compact(s.Revision() - 1)
				case 3:
					second.DelayMs.Store(int64(rapid.IntRange(0, 20).Draw(rt, "late")))
				case 4:
					s.Put(prefix+id, nil)
					delete(phases, id)
				case 5:
					time.Sleep(time.Duration(rapid.IntRange(0, 20).Draw(rt, "pause")) * time.Millisecond)
				case 6: // the first server lags for a while
					if first.Stale.Load() == nil {
						first.Stale.Store(s.Snapshot())
					} else {
						first.Stale.Store(nil)
					}
					first.CloseConnections()
				default:
					phases[id] = rapid.SampledFrom([]string{"up", "draining"}).Draw(rt, "phase")
					s.Put(prefix+id, entry(rapid.IntRange(1, 9).Draw(rt, "port"), phases[id]))
				}
			}
			first.Stale.Store(nil)
			first.Down.Store(false)
			first.CloseConnections()
			var want []string
			for id, p := range phases {
				want = append(want, id+map[string]string{"draining": "-"}[p])
			}
			slices.Sort(want)
			r.waitFor(strings.Join(want, " "))
		})
	}
}
