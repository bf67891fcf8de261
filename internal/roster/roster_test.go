package roster

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func up(ids ...string) (all []Entry) {
	for _, id := range ids {
		id, word, _ := strings.Cut(id, "=")
		all = append(all, Entry{ID: id, Address: "a:1", Phase: map[string]Phase{"": PhaseUp, "drains": PhaseDraining, "gone": PhaseRemoved}[word]})
	}
	return all
}

// shows is the list in short: ids, those that drain with a minus.
func (r *Roster) shows() string {
	var s []string
	for _, e := range r.Members() {
		s = append(s, e.ID+map[Phase]string{PhaseDraining: "-"}[e.Phase])
	}
	return strings.Join(s, " ")
}

func whole(rev int64, ids ...string) Update {
	return Update{Source: SourceRegistry, Epoch: "e", Revision: rev, Snapshot: true, Entries: up(ids...)}
}

func change(rev int64, ids ...string) Update {
	return Update{Source: SourceRegistry, Epoch: "e", Revision: rev, PreviousRevision: rev - 1, Entries: up(ids...)}
}

// Each row is a history told by a registry and, at the end, what is shown and the last verdict.
func TestHistories(t *testing.T) {
	exact := func(u Update) Update { u.Linearizable = true; return u }
	epoch := func(name string, u Update) Update { u.Epoch = name; return u }
	mod := func(m int64, u Update) Update {
		for i := range u.Entries {
			u.Entries[i].ModRevision = m
		}
		return u
	}
	part := func(u Update) Update { u.Fragment = true; return u }
	started := func(at float64, u Update) Update { u.Entries[0].StartedAt = at; return u }
	bad := func(u Update, id string, p Phase) Update { u.Invalid = []InvalidEntry{{id, "no address", p}}; return u }
	for name, x := range map[string]struct {
		told    []Update
		shown   string
		verdict Verdict
	}{
		"changes before a whole list":           {[]Update{change(5, "a")}, "", VerdictGap},
		"a list and changes":                    {[]Update{whole(5, "a", "b"), change(6, "c"), change(7, "a=gone")}, "b c", VerdictApplied},
		"a drain":                               {[]Update{whole(5, "a", "b"), change(6, "b=drains")}, "a b-", VerdictApplied},
		"up again":                              {[]Update{whole(5, "a", "b"), change(6, "b=drains"), change(7, "b")}, "a b", VerdictApplied},
		"a duplicate":                           {[]Update{whole(5, "a"), change(6, "a=drains"), change(5, "a")}, "a-", VerdictStale},
		"put, gone and put in a break":          {[]Update{whole(5, "a"), change(6, "a"), change(7, "a=gone"), change(8, "a")}, "a", VerdictApplied},
		"a gap hides what is usable":            {[]Update{whole(5, "a"), change(9, "b")}, "a", VerdictGap},
		"a gap hides no drain":                  {[]Update{whole(5, "a"), change(9, "a=drains", "b")}, "a-", VerdictGap},
		"and the whole list fills it":           {[]Update{whole(5, "a"), change(9, "b"), whole(9, "a", "b")}, "a b", VerdictApplied},
		"a gap's drain against an older list":   {[]Update{whole(5, "a"), change(9, "a=drains"), whole(8, "a")}, "a-", VerdictApplied},
		"a lagging follower":                    {[]Update{whole(9, "a=drains"), whole(5, "a")}, "a-", VerdictStale},
		"revisions went back for certain":       {[]Update{whole(9, "a", "b=drains"), exact(mod(3, whole(5, "a", "b", "c")))}, "a b- c", VerdictApplied},
		"and it was put up since":               {[]Update{whole(9, "a", "b=drains"), exact(mod(3, whole(5, "a", "b"))), change(6, "b")}, "a b", VerdictApplied},
		"or has started since":                  {[]Update{whole(9, "a", "b=drains"), exact(started(1e6, whole(5, "b", "a")))}, "a b", VerdictApplied},
		"another registry":                      {[]Update{whole(9, "a=gone", "b"), epoch("f", mod(1, whole(50, "a", "b"))), epoch("f", mod(1, change(51, "a")))}, "b", VerdictApplied},
		"changes of another registry":           {[]Update{whole(9, "a"), epoch("f", change(10, "b"))}, "a", VerdictGap},
		"a drain of another registry":           {[]Update{whole(9, "a"), epoch("f", change(10, "a=drains"))}, "a-", VerdictGap},
		"a revision in parts":                   {[]Update{whole(5, "a"), part(change(6, "b")), change(6, "a=gone")}, "b", VerdictApplied},
		"half a revision":                       {[]Update{whole(5, "a"), part(change(6, "a=gone"))}, "a", VerdictFragment},
		"a list in parts":                       {[]Update{part(whole(5, "a")), whole(5, "b")}, "a b", VerdictApplied},
		"one bad entry":                         {[]Update{whole(5, "a", "b"), bad(change(6), "a", PhaseUp)}, "a b", VerdictApplied},
		"one bad entry of a list":               {[]Update{whole(5, "a", "b"), bad(whole(6, "b"), "a", PhaseUp)}, "a b", VerdictApplied},
		"a bad entry that drains":               {[]Update{whole(5, "a", "b"), bad(change(6), "a", PhaseDraining)}, "a- b", VerdictApplied},
		"a bad one never known":                 {[]Update{whole(5, "a"), bad(change(6), "x", PhaseUp)}, "a", VerdictApplied},
		"some are lost":                         {[]Update{whole(5, "a", "b", "c", "d"), whole(6, "a", "b")}, "a b", VerdictApplied},
		"most are lost":                         {[]Update{whole(5, "a", "b", "c", "d"), whole(6, "d=drains")}, "a b c d-", VerdictUnconfirmed},
		"all are lost":                          {[]Update{whole(5, "a", "b", "c"), whole(6)}, "a b c", VerdictUnconfirmed},
		"a drain beside a loss, told after":     {[]Update{whole(5, "a", "b", "c"), whole(6), change(7, "a=drains")}, "a- b c", VerdictApplied},
		"a few members, all lost":               {[]Update{whole(5, "a", "b"), whole(6)}, "", VerdictApplied},
		"all are told gone":                     {[]Update{whole(5, "a", "b", "c"), change(6, "a=gone", "b=gone", "c=gone")}, "", VerdictApplied},
		"most are lost, and it says so at once": {[]Update{whole(5, "a", "b", "c"), whole(6), whole(7)}, "a b c", VerdictUnconfirmed},
	} {
		r := New(Options{Preferred: SourceRegistry, ConfirmAfter: 3000})
		var out Outcome
		for i, u := range x.told {
			out = r.Apply(1000+float64(i), u)
		}
		if r.shows() != x.shown || out.Verdict != x.verdict {
			t.Errorf("%s: %s, %q; want %s, %q", name, out.Verdict, r.shows(), x.verdict, x.shown)
		}
	}
}

// A loss that is still told after the time to confirm it is believed; one that was not is forgotten.
func TestLossesAreConfirmed(t *testing.T) {
	r := New(Options{Preferred: SourceRegistry, ConfirmAfter: 3000})
	r.Apply(0, whole(5, "a", "b", "c"))
	r.Apply(1000, whole(6))
	if r.Apply(3999, whole(7)); r.shows() != "a b c" {
		t.Error("believed too early")
	}
	if out := r.Apply(4000, whole(8)); out.Verdict != VerdictApplied || r.shows() != "" || len(out.Changes) != 3 {
		t.Errorf("not believed: %+v, %q", out, r.shows())
	}
	r = New(Options{Preferred: SourceRegistry, ConfirmAfter: 3000})
	r.Apply(0, whole(5, "a", "b", "c"))
	r.Apply(1000, whole(6))
	r.Apply(1500, whole(7, "a", "b", "c"))
	if out := r.Apply(9000, whole(8)); out.Verdict != VerdictUnconfirmed {
		t.Errorf("a loss of before was kept in mind: %s", out.Verdict)
	}
}

// Who leads: the preferred one, some time beyond its silence, then who speaks; and a drain told by one that is not
// heard any more binds against whoever takes over.
func TestLead(t *testing.T) {
	r := New(Options{Preferred: SourceRegistry, FailoverAfter: 10000})
	r.Apply(0, Update{Source: SourceKnown, Revision: 3, Snapshot: true, Linearizable: true, Entries: up("k")})
	r.Apply(10, Update{Source: SourceDiscovery, Revision: 40, Snapshot: true, Linearizable: true, Entries: up("a", "b")})
	if lead, _, _, _ := r.Leader(10); lead != SourceDiscovery || r.shows() != "a b" {
		t.Fatalf("%s leads: %q", lead, r.shows())
	}
	out := r.Apply(20, whole(5, "a", "b", "c"))
	if r.shows() != "a b c" || len(out.Changes) != 1 || len(out.Notes) != 1 {
		t.Errorf("the registry does not take the lead: %+v", out)
	}
	r.Apply(30, change(6, "b=drains"))
	r.SetDisconnected(SourceRegistry)
	r.Apply(9000, Update{Source: SourceDiscovery, Revision: 41, PreviousRevision: 40, Entries: up("d")})
	if r.shows() != "a b- c" {
		t.Errorf("taken over too early: %q", r.shows())
	}
	out = r.Tick(10031)
	if lead, _, age, _ := r.Leader(10031); lead != SourceDiscovery || age != 1031 || r.shows() != "a b- d" || len(out.Changes) != 2 {
		t.Errorf("%s leads: %q: %+v", lead, r.shows(), out)
	}
	r.Apply(11000, Update{Source: SourceDiscovery, Revision: 42, PreviousRevision: 41, Entries: up("b")}) // it may be behind the registry
	if r.shows() != "a b- d" {
		t.Errorf("a drain is undone by another source: %q", r.shows())
	}
	back := up("b")
	back[0].StartedAt = 11500
	r.Apply(12000, Update{Source: SourceDiscovery, Revision: 43, PreviousRevision: 42, Entries: back})
	if r.shows() != "a b d" {
		t.Errorf("it has started since: %q", r.shows())
	}
	r.SetDisconnected(SourceDiscovery)
	if r.Tick(1e7); r.shows() != "a b d" {
		t.Errorf("with nobody heard the last one heard leads: %q", r.shows())
	}
	r.Apply(1e7+1, whole(60, "a", "b"))
	if lead, _, _, _ := r.Leader(1e7 + 1); lead != SourceRegistry || r.shows() != "a b" {
		t.Errorf("%s leads: %q", lead, r.shows())
	}
}

// A drain that an earlier run was told holds until the source that leads says otherwise.
func TestKeptDrain(t *testing.T) {
	r := New(Options{Preferred: SourceRegistry, FailoverAfter: 10000})
	r.Apply(0, Update{Source: SourceKnown, Revision: 41, Snapshot: true, Linearizable: true, Entries: up("a", "b=drains")})
	r.Apply(1, Update{Source: SourceDiscovery, Revision: 41, Snapshot: true, Linearizable: true, Entries: up("a", "b")})
	if r.shows() != "a b-" {
		t.Errorf("undone by discovery: %q", r.shows())
	}
	if r.Apply(2, whole(9, "a", "b")); r.shows() != "a b" {
		t.Errorf("the registry says otherwise: %q", r.shows())
	}
}

// The platform's discovery alone, as it always was: an older revision among changes wants a whole list, which is
// taken whatever its revision.
func TestDiscoveryAlone(t *testing.T) {
	r := New(Options{Preferred: SourceDiscovery})
	tell := func(rev int64, full bool, ids ...string) Outcome {
		return r.Apply(float64(rev), Update{Source: SourceDiscovery, Revision: rev, Snapshot: full, Linearizable: true, Entries: up(ids...)})
	}
	tell(41, true, "a", "b", "c", "d")
	tell(42, false, "b=drains")
	if out := tell(7, false, "e"); out.Verdict != VerdictGap || r.shows() != "a b- c d" {
		t.Errorf("%s: %q", out.Verdict, r.shows())
	}
	if out := tell(7, true, "b"); out.Verdict != VerdictApplied || r.shows() != "b" {
		t.Errorf("%s: %q", out.Verdict, r.shows())
	}
}

// A model of a registry told through breaks, compaction, lagging followers, duplicates and parts: once all is
// told both are equal, and at no moment is a member usable by something older than what told that it is not.
func TestAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type event struct {
			rev int64
			e   Entry
		}
		var history []event
		states := []map[string]Entry{{}} // by revision
		ids := []string{"a", "b", "c", "d", "e"}
		r := New(Options{Preferred: SourceRegistry})
		told := map[string]int64{} // by member: the revision of the newest word told that it drains or is gone
		list := func(rev int64) Update {
			u := Update{Source: SourceRegistry, Epoch: "e", Revision: rev, Snapshot: true}
			for _, id := range ids {
				if e, ok := states[rev][id]; ok {
					u.Entries = append(u.Entries, e)
				}
			}
			return u
		}
		note := func(u Update) {
			named := map[string]bool{}
			for _, e := range u.Entries {
				if named[e.ID] = true; e.Phase != PhaseUp {
					told[e.ID] = max(told[e.ID], e.ModRevision)
				}
			}
			if u.Snapshot {
				for _, id := range ids {
					if _, had := r.views[SourceRegistry].entries[id]; had && !named[id] && u.Revision >= r.views[SourceRegistry].revision {
						told[id] = max(told[id], u.Revision)
					}
				}
			}
		}
		now := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now++
			head := int64(len(states) - 1)
			_, known, _ := r.Revision(SourceRegistry)
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2: // a write
				next := map[string]Entry{}
				for id, e := range states[head] {
					next[id] = e
				}
				e := Entry{ID: rapid.SampledFrom(ids).Draw(t, "id"), Address: "x:1", ModRevision: head + 1,
					Phase: rapid.SampledFrom([]Phase{PhaseUp, PhaseDraining, PhaseRemoved}).Draw(t, "phase")}
				if next[e.ID] = e; e.Phase == PhaseRemoved {
					delete(next, e.ID)
				}
				states = append(states, next)
				history = append(history, event{head + 1, e})
			case 3: // the watch goes on, all in order
				for _, h := range history {
					if h.rev > known {
						u := Update{Source: SourceRegistry, Epoch: "e", Revision: h.rev, PreviousRevision: h.rev - 1, Entries: []Entry{h.e}}
						note(u)
						r.Apply(now, u)
					}
				}
			case 4: // it resumes into a gap, or tells something twice
				if len(history) > 0 {
					h := rapid.SampledFrom(history).Draw(t, "event")
					u := Update{Source: SourceRegistry, Epoch: "e", Revision: h.rev, PreviousRevision: h.rev - 1, Entries: []Entry{h.e}}
					if h.rev > known {
						note(u)
					}
					r.Apply(now, u)
				}
			case 5: // a read, of a follower that may lag
				u := list(rapid.Int64Range(0, head).Draw(t, "at"))
				note(u)
				r.Apply(now, u)
			case 6:
				r.SetDisconnected(SourceRegistry)
			}
			for _, e := range r.Members() {
				if e.Phase == PhaseUp && r.views[SourceRegistry].entries[e.ID].ModRevision < told[e.ID] {
					t.Fatalf("%s is usable by revision %d, and was told not to be at %d", e.ID, r.views[SourceRegistry].entries[e.ID].ModRevision, told[e.ID])
				}
			}
		}
		head := int64(len(states) - 1)
		u := list(head)
		u.Linearizable = true
		r.Apply(now+1, u)
		var want, got []string
		for _, e := range u.Entries {
			want = append(want, fmt.Sprint(e.ID, e.Phase))
		}
		for _, e := range r.Members() {
			got = append(got, fmt.Sprint(e.ID, e.Phase))
		}
		if slices.Sort(want); !slices.Equal(want, got) {
			t.Fatalf("shown %v, the registry has %v", got, want)
		}
	})
}

// What the changes say is what the list shows.
func TestChangesGiveTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, held := New(Options{Preferred: SourceRegistry, FailoverAfter: 50, ConfirmAfter: 30}), map[string]Entry{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			u := Update{Source: rapid.SampledFrom([]Source{SourceKnown, SourceDiscovery, SourceRegistry}).Draw(t, "source"), Revision: rapid.Int64Range(1, 30).Draw(t, "rev"),
				Snapshot: rapid.Bool().Draw(t, "whole"), Linearizable: rapid.Bool().Draw(t, "exact"), Fragment: rapid.IntRange(0, 4).Draw(t, "more") == 0}
			for _, id := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 0, 6, rapid.ID[string]).Draw(t, "ids") {
				u.Entries = append(u.Entries, Entry{ID: id, Phase: rapid.SampledFrom([]Phase{PhaseUp, PhaseUp, PhaseDraining, PhaseRemoved}).Draw(t, "phase")})
			}
			now := float64(step * 20)
			out := r.Apply(now, u)
			if rapid.Bool().Draw(t, "breaks") {
				r.SetDisconnected(u.Source)
			}
			for _, e := range append(out.Changes, r.Tick(now+10).Changes...) {
				if held[e.ID] = e; e.Phase == PhaseRemoved {
					delete(held, e.ID)
				}
			}
			list := r.Members()
			if len(list) != len(held) {
				t.Fatalf("shown %+v, told %+v", list, held)
			}
			for _, e := range list {
				if held[e.ID] != e {
					t.Fatalf("shown %+v, told %+v", e, held[e.ID])
				}
			}
		}
	})
}

func TestCourse(t *testing.T) {
	c := NewScheduler(SchedulerOptions{Endpoints: 3, Drivers: 500, Seed: 7})
	if call := c.Next(0, false); call.Kind != CallRead || call.Delay != 0 {
		t.Fatalf("begins with %+v", call)
	}
	c.CallEnded(0, CallRead, CallSucceeded, true)
	if call := c.Next(41, true); call.Kind != CallWatch || call.Revision != 42 || call.Delay != 0 {
		t.Fatalf("goes on with %+v", call)
	}
	c.CallEnded(100, CallWatch, CallBroken, true) // a blip: the watch resumes, elsewhere, soon
	call := c.Next(50, true)
	if call.Kind != CallWatch || call.Revision != 51 || call.Delay > minBackoff || call.Endpoint == NewScheduler(SchedulerOptions{Endpoints: 3, Seed: 7}).endpoint {
		t.Fatalf("resumes with %+v", call)
	}
	c.CallEnded(200, CallWatch, CallCompacted, true)
	if call = c.Next(50, true); call.Kind != CallRead || call.Delay > 500/fleetReadRate*1000 {
		t.Fatalf("behind compaction: %+v", call)
	}
	c.CallEnded(300, CallRead, CallStale, true)
	if call = c.Next(50, true); call.Kind != CallRead || !call.Linearizable {
		t.Fatalf("behind a lagging read: %+v", call)
	}
	c.CallEnded(400, CallRead, CallRejected, false)
	if call = c.Next(50, true); call.Delay < rejectedDelay/2 {
		t.Fatalf("refused: %+v", call)
	}
	at, calls := 1000.0, 0 // down for an hour: few calls, and never a storm
	for at < 3600e3 {
		call = c.Next(50, true)
		at += call.Delay + 1
		c.CallEnded(at, call.Kind, CallBroken, false)
		calls++
	}
	if calls > 3600 || calls < 300 {
		t.Errorf("%d calls in an hour without an answer", calls)
	}
}

// 1000 drivers lose the registry at once, and it is back after a while having lost its history: their whole reads
// are spread out.
func TestThousandCoursesComeBack(t *testing.T) {
	perSecond := map[int]int{}
	for seed := range uint64(1000) {
		c := NewScheduler(SchedulerOptions{Endpoints: 3, Drivers: 1000, Seed: seed})
		c.Next(0, false)
		c.CallEnded(0, CallRead, CallSucceeded, true)
		at, kind := 0.0, CallWatch
		c.CallEnded(0, CallWatch, CallBroken, true)
		for {
			call := c.Next(41, true)
			at, kind = at+call.Delay, call.Kind
			if at < 20000 { // still down
				c.CallEnded(at, kind, CallBroken, false)
				continue
			}
			if kind == CallWatch {
				c.CallEnded(at, kind, CallCompacted, false)
				continue
			}
			perSecond[int(at/1000)]++
			break
		}
	}
	peak := 0
	for _, n := range perSecond {
		peak = max(peak, n)
	}
	t.Logf("reads a second at the peak: %d, in %d seconds", peak, len(perSecond))
	if peak > 150 {
		t.Errorf("%d whole reads in a second", peak)
	}
}
