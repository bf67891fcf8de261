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

// What is written is seen; a break with a drain, a put, a removal and a put of one key inside it is caught up with,
// by resuming where history is kept and by a complete list where it is compacted.
func TestBreaksAndCompaction(t *testing.T) {
	both(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"), "elsewhere", "x")
		v := serve(t, s)
		r := follow(t, dialect, roster.Options{}, v)
		r.waitFor("a b")
		s.Put(prefix+"c", entry(3, "up"))
		r.waitFor("a b c")
		s.Put(prefix+"b", entry(2, "draining"))
		r.waitFor("a b- c")
		for round, compact := range []bool{false, true, false} {
			v.Down.Store(true)
			v.CloseConnections()
			s.Put(prefix+"c", nil)
			s.Put(prefix+"c", entry(30+round, "up"))
			s.Put(prefix+"a", entry(1, "draining"))
			if compact {
				s.Compact(s.Revision())
				s.Put(prefix+"e", entry(5, "up"))
			}
			v.Down.Store(false)
			want := map[bool]string{false: "a- b- c", true: "a- b- c e"}[round > 0]
			r.waitFor(want)
			s.Put(prefix+"a", entry(1, "up"))
			r.waitFor(strings.Replace(want, "a-", "a", 1))
		}
		if reads := v.FullReads.Load(); dialect == "etcd" && reads != 2 {
			t.Errorf("%d whole lists read, want one at the start and one behind compaction", reads)
		}
	})
}

// Compaction between the list and the watch.
func TestCompactionBehindTheList(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"))
	v := serve(t, s)
	r := follow(t, "etcd", roster.Options{}, v)
	r.waitFor("a")
	v.Silent.Store(true)
	v.CloseConnections()
	for range 10 {
		s.Put(prefix+"b", entry(2, "up"))
	}
	s.Compact(s.Revision())
	s.Put(prefix+"a", entry(1, "draining"))
	v.Silent.Store(false)
	r.waitFor("a- b")
}

// A revision over many messages is applied as one, and not at all where it breaks off.
func TestFragments(t *testing.T) {
	s := kv.NewStore("c1")
	v := serve(t, s)
	v.FragmentSize.Store(1)
	s.Put(prefix+"a", entry(1, "up"))
	r := follow(t, "etcd", roster.Options{}, v)
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
		t.Errorf("halves were seen: %v", seen)
	}
}

// A watch that falls silent while its connection is open is ended, and another endpoint delivers the drain.
func TestSilentWatch(t *testing.T) {
	both(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"))
		v, w := serve(t, s), serve(t, s)
		r := follow(t, dialect, roster.Options{}, v, w)
		r.waitFor("a b")
		v.Silent.Store(true)
		w.Silent.Store(true)
		s.Put(prefix+"a", entry(1, "draining"))
		time.Sleep(50 * time.Millisecond)
		w.Silent.Store(false)
		r.waitFor("a- b")
	})
}

// One endpoint is down, late or behind: another serves; a list that lags is not taken.
func TestEndpointsInTurn(t *testing.T) {
	both(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"))
		old := s.Snapshot()
		behind := kv.NewStore("c1")
		behind.Restore(old, "c1")
		v, w := serve(t, s), serve(t, s)
		r := follow(t, dialect, roster.Options{}, v, w)
		s.Put(prefix+"a", entry(1, "draining"))
		r.waitFor("a- b")
		r.mu.Lock()
		r.forbidden["a"] = true
		r.mu.Unlock()
		for _, x := range []*kv.Server{v, w, v} { // each lags in turn, behind a break of both
			x.Stale.Store(behind)
			v.CloseConnections()
			w.CloseConnections()
			s.Put(prefix+"c", nil)
			s.Put(prefix+"c", entry(3, "up"))
			r.waitFor("a- b c")
			s.Put(prefix+"c", nil)
			r.waitFor("a- b")
			x.Stale.Store(nil)
		}
	})
}

// A registry that has lost its data answers an empty list: held, and given up only when it still says so later.
// A drain counts at once meanwhile.
func TestLostData(t *testing.T) {
	both(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"), prefix+"c", entry(3, "up"))
		v := serve(t, s)
		r := follow(t, dialect, roster.Options{ConfirmAfter: 400}, v)
		r.waitFor("a b c")
		before := s.Snapshot()
		empty := kv.NewStore("c2")
		for range 10 {
			empty.Put("other", "x")
		}
		s.Restore(empty, "c2")
		v.CloseConnections()
		limit := time.Now().Add(patience)
		for held := false; !held && time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
			r.mu.Lock()
			held = len(r.notes) > 0
			if r.members() != "a b c" {
				t.Errorf("shows %q", r.members())
				held = true
			}
			r.mu.Unlock()
		}
		s.Restore(before, "c3")
		s.Put(prefix+"a", entry(1, "draining"))
		v.CloseConnections()
		r.waitFor("a- b c")
		s.Restore(empty, "c4")
		v.CloseConnections()
		r.waitFor("") // it goes on saying so
	})
}

// A backup from before a drain is restored, under another cluster's ID: the drain stays until the member is put anew.
func TestRestoredBackup(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"))
	before := s.Snapshot()
	v := serve(t, s)
	r := follow(t, "etcd", roster.Options{}, v)
	s.Put(prefix+"a", entry(1, "draining"))
	r.waitFor("a- b")
	r.mu.Lock()
	r.forbidden["a"] = true
	r.mu.Unlock()
	s.Restore(before, "c2")
	s.Put(prefix+"d", entry(4, "up"))
	v.CloseConnections()
	r.waitFor("a- b d")
	r.mu.Lock()
	delete(r.forbidden, "a")
	r.mu.Unlock()
	s.Put(prefix+"a", entry(1, "up"))
	r.waitFor("a b d")
}

// A watch that omits events silently is repaired by the complete list, which is read from time to time.
func TestWatchThatPassesOver(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"))
	v := serve(t, s)
	o := Options{Dialect: "etcd", Prefix: prefix, Endpoints: []string{v.URL}, WatchTimeout: time.Second}
	r := followWith(t, o, roster.Options{}, 300)
	r.waitFor("a b")
	v.SkipEvents.Store(true)
	s.Put(prefix+"a", entry(1, "draining"))
	r.waitFor("a- b")
	v.SkipEvents.Store(false)
	s.Put(prefix+"a", nil)
	r.waitFor("b")
	if n := len(r.disconnects); n > 0 {
		t.Errorf("%d losses", n)
	}
}

// A registry that is down: few calls, the members stay, and what has changed is learned when it is back.
func TestDownForLong(t *testing.T) {
	both(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"))
		v := serve(t, s)
		r := follow(t, dialect, roster.Options{}, v)
		r.waitFor("a")
		v.Down.Store(true)
		v.CloseConnections()
		time.Sleep(time.Second)
		r.mu.Lock()
		calls := len(r.disconnects)
		r.mu.Unlock()
		if calls == 0 || calls > 12 {
			t.Errorf("%d calls in a second at a registry that is down", calls)
		}
		r.waitFor("a")
		s.Put(prefix+"a", entry(1, "draining"))
		v.Down.Store(false)
		r.waitFor("a-")
	})
}

// Both dialects against the store itself, with random writes, breaks, lags and compactions: once quiet all are
// equal, and a member that was draining or removed is never shown usable by something older.
func TestAgainstTheStore(t *testing.T) {
	for _, dialect := range []string{"etcd", "consul"} {
		rapid.Check(t, func(rt *rapid.T) {
			s := kv.NewStore("c1")
			v, w := kv.Serve(s), kv.Serve(s)
			r := follow(t, dialect, roster.Options{}, v, w)
			defer func() { r.stop(); v.CloseConnections(); v.Close(); w.CloseConnections(); w.Close() }()
			ids := []string{"a", "b", "c", "d", "e", "f"}
			phases := map[string]string{}
			for range rapid.IntRange(50, 150).Draw(rt, "steps") {
				id := rapid.SampledFrom(ids).Draw(rt, "id")
				switch rapid.IntRange(0, 11).Draw(rt, "what") {
				case 0:
					v.CloseConnections()
					w.CloseConnections()
				case 1:
					v.Down.Store(!v.Down.Load())
				case 2:
					s.Compact(s.Revision() - 1)
				case 3:
					w.DelayMs.Store(int64(rapid.IntRange(0, 20).Draw(rt, "late")))
				case 4:
					s.Put(prefix+id, nil)
					delete(phases, id)
				case 5:
					time.Sleep(time.Duration(rapid.IntRange(0, 20).Draw(rt, "pause")) * time.Millisecond)
				case 6: // both keep behind for a while
					if v.Stale.Load() == nil {
						v.Stale.Store(s.Snapshot())
					} else {
						v.Stale.Store(nil)
					}
					v.CloseConnections()
				default:
					phases[id] = rapid.SampledFrom([]string{"up", "draining"}).Draw(rt, "phase")
					s.Put(prefix+id, entry(rapid.IntRange(1, 9).Draw(rt, "port"), phases[id]))
				}
			}
			v.Stale.Store(nil)
			v.Down.Store(false)
			v.CloseConnections()
			var want []string
			for id, p := range phases {
				want = append(want, id+map[string]string{"draining": "-"}[p])
			}
			slices.Sort(want)
			r.waitFor(strings.Join(want, " "))
		})
	}
}
