package registry

import (
	"context"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

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

// reader is a watcher and the roster that it tells, over some endpoints.
type reader struct {
	t      *testing.T
	mu     sync.Mutex
	roster *roster.Roster
	notes  []string
	losses []error
	never  map[string]bool // members that must not be seen usable from now on
	broke  string
	ups    map[string]int64 // by member: the newest revision told that has it up
	downs  map[string]int64 // and draining or gone
	stop   func()
	reread float64
	news   chan struct{}
}

func now() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func follow(t *testing.T, dialect string, rules roster.Options, servers ...*kv.Server) *reader {
	t.Helper()
	o := Options{Dialect: dialect, Prefix: prefix, WatchTimeout: 300 * time.Millisecond}
	for _, s := range servers {
		o.Endpoints = append(o.Endpoints, s.URL)
	}
	return followWith(t, o, rules, 0)
}

// followWith follows a registry; the whole list is read anew after reread milliseconds, 0 for as long as usual.
func followWith(t *testing.T, o Options, rules roster.Options, reread float64) *reader {
	t.Helper()
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	rules.Preferred = roster.SourceRegistry
	r := &reader{t: t, reread: reread, ups: map[string]int64{}, downs: map[string]int64{}, roster: roster.New(rules), never: map[string]bool{}, news: make(chan struct{}, 1)}
	w := &Watcher{Client: c, Scheduler: roster.NewScheduler(roster.SchedulerOptions{Endpoints: len(o.Endpoints), Drivers: 1, Seed: 1, ResyncInterval: r.reread}), Now: now,
		OnActivity: func() {}}
	w.Position = func() (int64, bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		_, revision, told := r.roster.Revision(roster.SourceRegistry)
		return revision, told
	}
	w.Apply = func(u roster.Update) (roster.Verdict, float64) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.note(u)
		out := r.roster.Apply(now(), u)
		r.notes = append(r.notes, out.Notes...)
		for _, e := range out.Changes {
			if e.Phase == roster.PhaseUp && (r.never[e.ID] || r.ups[e.ID] < r.downs[e.ID]) {
				r.broke = e.ID
			}
		}
		select {
		case r.news <- struct{}{}:
		default:
		}
		return out.Verdict, rules.ConfirmAfter
	}
	w.OnDisconnect = func(err error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.roster.SetDisconnected(roster.SourceRegistry)
		r.losses = append(r.losses, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { w.Run(ctx); close(done) }()
	r.stop = func() { stop(); <-done }
	t.Cleanup(r.stop)
	return r
}

// note remembers what was told, as it was told.
func (r *reader) note(u roster.Update) {
	named := map[string]bool{}
	for _, e := range u.Entries {
		named[e.ID] = true
		if e.Phase == roster.PhaseUp {
			r.ups[e.ID] = max(r.ups[e.ID], e.ModRevision)
		} else {
			r.downs[e.ID] = max(r.downs[e.ID], e.ModRevision)
		}
	}
	if _, known, _ := r.roster.Revision(roster.SourceRegistry); u.Snapshot && !u.Fragment && u.Revision >= known {
		for id := range r.ups {
			if !named[id] {
				r.downs[id] = max(r.downs[id], u.Revision)
			}
		}
	}
}

func (r *reader) list() string {
	var s []string
	for _, e := range r.roster.Members() {
		s = append(s, e.ID+map[roster.Phase]string{roster.PhaseDraining: "-"}[e.Phase])
	}
	return strings.Join(s, " ")
}

// shows waits until the list is as wanted.
func (r *reader) shows(want string) {
	r.t.Helper()
	limit := time.After(patience)
	for {
		r.mu.Lock()
		got, broke := r.list(), r.broke
		r.mu.Unlock()
		if broke != "" {
			r.t.Fatalf("%s was shown usable by something older", broke)
		}
		if got == want {
			return
		}
		select {
		case <-r.news:
		case <-time.After(10 * time.Millisecond):
		case <-limit:
			r.t.Fatalf("shows %q, want %q; notes %q, losses %v", got, want, r.notes, r.losses)
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

// What is written is seen; a break with a drain, a put, a removal and a put of one key inside it is caught up with,
// by resuming where history is kept and by a whole list where it is compacted.
func TestBreaksAndCompaction(t *testing.T) {
	both(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"), "elsewhere", "x")
		v := serve(t, s)
		r := follow(t, dialect, roster.Options{}, v)
		r.shows("a b")
		s.Put(prefix+"c", entry(3, "up"))
		r.shows("a b c")
		s.Put(prefix+"b", entry(2, "draining"))
		r.shows("a b- c")
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
			r.shows(want)
			s.Put(prefix+"a", entry(1, "up"))
			r.shows(strings.Replace(want, "a-", "a", 1))
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
	r.shows("a")
	v.Silent.Store(true)
	v.CloseConnections()
	for range 10 {
		s.Put(prefix+"b", entry(2, "up"))
	}
	s.Compact(s.Revision())
	s.Put(prefix+"a", entry(1, "draining"))
	v.Silent.Store(false)
	r.shows("a- b")
}

// A revision over many messages is applied as one, and not at all where it breaks off.
func TestFragments(t *testing.T) {
	s := kv.NewStore("c1")
	v := serve(t, s)
	v.Fragment.Store(1)
	s.Put(prefix+"a", entry(1, "up"))
	r := follow(t, "etcd", roster.Options{}, v)
	r.shows("a")
	seen := map[string]bool{}
	for i := range 10 {
		if i%2 == 0 {
			s.Put(prefix+"x", entry(1, "up"), prefix+"y", entry(2, "up"), prefix+"z", entry(3, "up"))
			r.shows("a x y z")
		} else {
			s.Put(prefix+"x", nil, prefix+"y", nil, prefix+"z", nil)
			r.shows("a")
		}
		r.mu.Lock()
		seen[r.list()] = true
		r.mu.Unlock()
	}
	if len(seen) != 2 {
		t.Errorf("halves were seen: %v", seen)
	}
}

// A watch that falls silent while its connection stands is left, and the drain told meanwhile is learned elsewhere.
func TestSilentWatch(t *testing.T) {
	both(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"))
		v, w := serve(t, s), serve(t, s)
		r := follow(t, dialect, roster.Options{}, v, w)
		r.shows("a b")
		v.Silent.Store(true)
		w.Silent.Store(true)
		s.Put(prefix+"a", entry(1, "draining"))
		time.Sleep(50 * time.Millisecond)
		w.Silent.Store(false)
		r.shows("a- b")
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
		r.shows("a- b")
		r.mu.Lock()
		r.never["a"] = true
		r.mu.Unlock()
		for _, x := range []*kv.Server{v, w, v} { // each lags in turn, behind a break of both
			x.Stale.Store(behind)
			v.CloseConnections()
			w.CloseConnections()
			s.Put(prefix+"c", nil)
			s.Put(prefix+"c", entry(3, "up"))
			r.shows("a- b c")
			s.Put(prefix+"c", nil)
			r.shows("a- b")
			x.Stale.Store(nil)
		}
	})
}

// A registry that has lost its data answers an empty list: held, and given up only when it still says so later.
// A drain told meanwhile counts at once.
func TestLostData(t *testing.T) {
	both(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"), prefix+"c", entry(3, "up"))
		v := serve(t, s)
		r := follow(t, dialect, roster.Options{ConfirmAfter: 400}, v)
		r.shows("a b c")
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
			if r.list() != "a b c" {
				t.Errorf("shows %q", r.list())
				held = true
			}
			r.mu.Unlock()
		}
		s.Restore(before, "c3")
		s.Put(prefix+"a", entry(1, "draining"))
		v.CloseConnections()
		r.shows("a- b c")
		s.Restore(empty, "c4")
		v.CloseConnections()
		r.shows("") // it goes on saying so
	})
}

// A backup from before a drain is put back, under another cluster's id: the drain binds until the member is put anew.
func TestRestoredBackup(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"))
	before := s.Snapshot()
	v := serve(t, s)
	r := follow(t, "etcd", roster.Options{}, v)
	s.Put(prefix+"a", entry(1, "draining"))
	r.shows("a- b")
	r.mu.Lock()
	r.never["a"] = true
	r.mu.Unlock()
	s.Restore(before, "c2")
	s.Put(prefix+"d", entry(4, "up"))
	v.CloseConnections()
	r.shows("a- b d")
	r.mu.Lock()
	delete(r.never, "a")
	r.mu.Unlock()
	s.Put(prefix+"a", entry(1, "up"))
	r.shows("a b d")
}

// A watch that passes over what happens without a word: the whole list, read anew from time to time, mends it.
func TestWatchThatPassesOver(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"), prefix+"b", entry(2, "up"))
	v := serve(t, s)
	r := followWith(t, Options{Dialect: "etcd", Prefix: prefix, Endpoints: []string{v.URL}, WatchTimeout: time.Second}, roster.Options{}, 300)
	r.shows("a b")
	v.SkipEvents.Store(true)
	s.Put(prefix+"a", entry(1, "draining"))
	r.shows("a- b")
	v.SkipEvents.Store(false)
	s.Put(prefix+"a", nil)
	r.shows("b")
	if n := len(r.losses); n > 0 {
		t.Errorf("%d losses", n)
	}
}

// A registry that is down: few calls, the list stays, and what was told meanwhile is learned when it is back.
func TestDownForLong(t *testing.T) {
	both(t, func(t *testing.T, dialect string) {
		s := kv.NewStore("c1")
		s.Put(prefix+"a", entry(1, "up"))
		v := serve(t, s)
		r := follow(t, dialect, roster.Options{}, v)
		r.shows("a")
		v.Down.Store(true)
		v.CloseConnections()
		time.Sleep(time.Second)
		r.mu.Lock()
		calls := len(r.losses)
		r.mu.Unlock()
		if calls == 0 || calls > 12 {
			t.Errorf("%d calls in a second at a registry that is down", calls)
		}
		r.shows("a")
		s.Put(prefix+"a", entry(1, "draining"))
		v.Down.Store(false)
		r.shows("a-")
	})
}

// Bad entries beside good ones, of every kind: the last good value stays, and what says draining counts.
func TestBadEntries(t *testing.T) {
	s := kv.NewStore("c1")
	for i, id := range []string{"a", "b", "c", "d"} {
		s.Put(prefix+id, entry(i+1, "up"))
	}
	r := follow(t, "etcd", roster.Options{}, serve(t, s))
	r.shows("a b c d")
	s.Put(prefix+"a", "{", prefix+"b", `{"phase":"draining","cell":"three"}`, prefix+"e", entry(5, "asleep"), prefix+"d", entry(4, "draining"))
	r.shows("a b- c d-")
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.notes) < 3 || !strings.Contains(strings.Join(r.notes, "\n"), `entry e: unknown phase "asleep"`) {
		t.Errorf("notes %q", r.notes)
	}
}

func TestParseEntry(t *testing.T) {
	for text, want := range map[string]string{
		`{"host_port":"h:1","cell":3,"phase":"up"}`:                                  "",
		`{"id":"m","host_port":"h:1","cell":0,"phase":"draining","access":"writer"}`: "",
		`{"id":"n","host_port":"h:1","cell":3,"phase":"up"}`:                         `it is of member "n"`,
		`{"host_port":"h","cell":3,"phase":"up"}`:                                    "missing port",
		`{"host_port":"h:1","phase":"up"}`:                                           "cell is missing",
		`{"host_port":"h:1","cell":3}`:                                               "unknown phase",
		`{"host_port":"h:1","cell":3,"phase":"up","access":"king"}`:                  "unknown access",
		`{"host_port":"h:1","cell":3,"phase":"up","up_since_ms":-1}`:                 "up_since_ms",
		`[]`:                                 "cannot unmarshal",
		`"` + strings.Repeat("x", mostEntry): "bytes are over",
	} {
		if e, why := ParseEntry("m", []byte(text)); want == "" && (why != "" || e.Address != "h:1") || !strings.Contains(why, want) {
			t.Errorf("%.60s: %+v, %q; want %q", text, e, why, want)
		}
	}
}

func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(entry(1, "up")))
	f.Fuzz(func(t *testing.T, text []byte) {
		if e, why := ParseEntry("m", text); e.ID != "m" || why == "" && e.Address == "" {
			t.Fatalf("%+v %q", e, why)
		}
	})
}

// Credentials come from a file, and a token that has expired is asked for anew; wrong ones are no reason to hurry.
func TestCredentials(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"))
	v := serve(t, s)
	secret, file := "right", filepath.Join(t.TempDir(), "secret")
	v.Password.Store(&secret)
	os.WriteFile(file, []byte("driver:right\n"), 0o600)
	r := followWith(t, Options{Dialect: "etcd", Prefix: prefix, WatchTimeout: time.Second, Endpoints: []string{v.URL}, CredentialsFile: file}, roster.Options{}, 0)
	r.shows("a")
	v.ExpireTokens()
	v.CloseConnections()
	s.Put(prefix+"b", entry(2, "up"))
	r.shows("a b")
	os.WriteFile(file, []byte("driver:wrong"), 0o600)
	v.ExpireTokens()
	v.CloseConnections()
	time.Sleep(300 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.losses); n > 4 || ResultOf(r.losses[n-1]) != roster.CallRejected {
		t.Errorf("%d losses, the last %v", n, r.losses[n-1])
	}
}

// A service's instances by their health.
func TestConsulService(t *testing.T) {
	s := kv.NewStore("")
	instance := func(id, status, cell string) string {
		b, _ := json.Marshal(map[string]any{"Node": map[string]any{"Address": "127.0.0.1"}, "Service": map[string]any{"ID": id, "Port": 7001,
			"Meta": map[string]string{"cell": cell, "locality": "a"}}, "Checks": []any{map[string]string{"Status": status}}})
		return string(b)
	}
	s.Put("db/a", instance("a", "passing", "3"), "db/b", instance("b", "critical", "3"), "db/c", instance("c", "passing", "x"))
	v := serve(t, s)
	r := followWith(t, Options{Dialect: "consul", Service: "db", WatchTimeout: time.Second, Endpoints: []string{v.URL}}, roster.Options{}, 0)
	r.shows("a b-")
	s.Put("db/a", instance("a", "critical", "3"), "db/b", instance("b", "passing", "3"))
	r.shows("a- b")
}

// 10,000 members change in one second, and the lists are equal in the end.
func TestTenThousandMembers(t *testing.T) {
	s := kv.NewStore("c1")
	var pairs []any
	for i := range 10000 {
		pairs = append(pairs, fmt.Sprintf("%sm%05d", prefix, i), entry(i%60000+1, "up"))
	}
	s.Put(pairs...)
	v := serve(t, s)
	r := follow(t, "etcd", roster.Options{}, v)
	count := func(p roster.Phase) (n int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, e := range r.roster.Members() {
			if e.Phase == p {
				n++
			}
		}
		return n
	}
	await := func(want int, p roster.Phase) time.Duration {
		began := time.Now()
		for count(p) != want {
			if time.Since(began) > patience {
				t.Fatalf("%d members in phase %d, want %d", count(p), p, want)
			}
			time.Sleep(5 * time.Millisecond)
		}
		return time.Since(began)
	}
	t.Logf("10,000 members read in %v", await(10000, roster.PhaseUp))
	for i := 0; i < 10000; i += 100 {
		var batch []any
		for j := i; j < i+100; j++ {
			batch = append(batch, pairs[2*j], entry(j%60000+1, "draining"))
		}
		s.Put(batch...)
	}
	t.Logf("10,000 drains in 100 revisions learned in %v", await(10000, roster.PhaseDraining))
}

// Both dialects against the store itself, with random writes, breaks, lags and compactions: once quiet all are
// equal, and a member told draining or gone is never shown usable by something older.
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
			r.shows(strings.Join(want, " "))
		})
	}
}

// BenchmarkRead: a full read of 10,000 members into a roster: go test -run '^$' -bench Read ./internal/registry
func BenchmarkRead(b *testing.B) {
	for _, dialect := range []string{"etcd", "consul"} {
		b.Run(dialect, func(b *testing.B) {
			s := kv.NewStore("c1")
			var pairs []any
			for i := range 10000 {
				pairs = append(pairs, fmt.Sprintf("%sm%05d", prefix, i), entry(i%60000+1, "up"))
			}
			s.Put(pairs...)
			v := kv.Serve(s)
			defer v.Close()
			c, err := New(Options{Dialect: dialect, Prefix: prefix, Endpoints: []string{v.URL}, WatchTimeout: time.Second})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				r := roster.New(roster.Options{Preferred: roster.SourceRegistry})
				if err := c.List(context.Background(), 0, true, func(u roster.Update) { r.Apply(now(), u) }); err != nil || len(r.Members()) != 10000 {
					b.Fatal(err, len(r.Members()))
				}
			}
		})
	}
}

// TLS: an endpoint whose certificate the named file signs is followed, any other is not.
func TestTLS(t *testing.T) {
	s := kv.NewStore("c1")
	s.Put(prefix+"a", entry(1, "up"))
	v := kv.ServeTLS(s)
	t.Cleanup(func() { v.CloseConnections(); v.Close() })
	file := filepath.Join(t.TempDir(), "ca.pem")
	os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: v.Certificate().Raw}), 0o600)
	o := Options{Dialect: "etcd", Prefix: prefix, Endpoints: []string{v.URL}, WatchTimeout: time.Second, CAFile: file}
	followWith(t, o, roster.Options{}, 0).shows("a")
	o.CAFile = ""
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.List(context.Background(), 0, true, func(roster.Update) {}); err == nil || ResultOf(err) != roster.CallBroken {
		t.Errorf("a certificate that nobody signs: %v", err)
	}
	o.CAFile = filepath.Join(t.TempDir(), "none")
	if _, err := New(o); err == nil {
		t.Error("no file of certificates")
	}
	os.WriteFile(file, []byte("none"), 0o600)
	if o.CAFile = file; err == nil {
		if _, err := New(o); err == nil {
			t.Error("a file without a certificate")
		}
	}
}
