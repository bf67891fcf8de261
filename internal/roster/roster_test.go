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
		all = append(all, Entry{ID: id, Address: "a:1", Phase: map[string]Phase{"": Up, "drains": Draining, "gone": Gone}[word]})
	}
	return all
}

// shows is the list in short: ids, those that drain with a minus.
func (r *Roster) shows() string {
	var s []string
	for _, e := range r.List() {
		s = append(s, e.ID+map[Phase]string{Draining: "-"}[e.Phase])
	}
	return strings.Join(s, " ")
}

func whole(rev int64, ids ...string) Update {
	return Update{Source: Registry, Epoch: "e", Revision: rev, Whole: true, Entries: up(ids...)}
}

func change(rev int64, ids ...string) Update {
	return Update{Source: Registry, Epoch: "e", Revision: rev, Since: rev - 1, Entries: up(ids...)}
}

// Each row is a history told by a registry and, at the end, what is shown and the last verdict.
func TestHistories(t *testing.T) {
	exact := func(u Update) Update { u.Exact = true; return u }
	epoch := func(name string, u Update) Update { u.Epoch = name; return u }
	mod := func(m int64, u Update) Update {
		for i := range u.Entries {
			u.Entries[i].Mod = m
		}
		return u
	}
	part := func(u Update) Update { u.More = true; return u }
	started := func(at float64, u Update) Update { u.Entries[0].Started = at; return u }
	bad := func(u Update, id string, p Phase) Update { u.Bad = []Bad{{id, "no address", p}}; return u }
	for name, x := range map[string]struct {
		told    []Update
		shown   string
		verdict Verdict
	}{
		"changes before a whole list":           {[]Update{change(5, "a")}, "", Gap},
		"a list and changes":                    {[]Update{whole(5, "a", "b"), change(6, "c"), change(7, "a=gone")}, "b c", Applied},
		"a drain":                               {[]Update{whole(5, "a", "b"), change(6, "b=drains")}, "a b-", Applied},
		"up again":                              {[]Update{whole(5, "a", "b"), change(6, "b=drains"), change(7, "b")}, "a b", Applied},
		"a duplicate":                           {[]Update{whole(5, "a"), change(6, "a=drains"), change(5, "a")}, "a-", Old},
		"put, gone and put in a break":          {[]Update{whole(5, "a"), change(6, "a"), change(7, "a=gone"), change(8, "a")}, "a", Applied},
		"a gap hides what is usable":            {[]Update{whole(5, "a"), change(9, "b")}, "a", Gap},
		"a gap hides no drain":                  {[]Update{whole(5, "a"), change(9, "a=drains", "b")}, "a-", Gap},
		"and the whole list fills it":           {[]Update{whole(5, "a"), change(9, "b"), whole(9, "a", "b")}, "a b", Applied},
		"a gap's drain against an older list":   {[]Update{whole(5, "a"), change(9, "a=drains"), whole(8, "a")}, "a-", Applied},
		"a lagging follower":                    {[]Update{whole(9, "a=drains"), whole(5, "a")}, "a-", Old},
		"revisions went back for certain":       {[]Update{whole(9, "a", "b=drains"), exact(mod(3, whole(5, "a", "b", "c")))}, "a b- c", Applied},
		"and it was put up since":               {[]Update{whole(9, "a", "b=drains"), exact(mod(3, whole(5, "a", "b"))), change(6, "b")}, "a b", Applied},
		"or has started since":                  {[]Update{whole(9, "a", "b=drains"), exact(started(1e6, whole(5, "b", "a")))}, "a b", Applied},
		"another registry":                      {[]Update{whole(9, "a=gone", "b"), epoch("f", mod(1, whole(50, "a", "b"))), epoch("f", mod(1, change(51, "a")))}, "b", Applied},
		"changes of another registry":           {[]Update{whole(9, "a"), epoch("f", change(10, "b"))}, "a", Gap},
		"a drain of another registry":           {[]Update{whole(9, "a"), epoch("f", change(10, "a=drains"))}, "a-", Gap},
		"a revision in parts":                   {[]Update{whole(5, "a"), part(change(6, "b")), change(6, "a=gone")}, "b", Applied},
		"half a revision":                       {[]Update{whole(5, "a"), part(change(6, "a=gone"))}, "a", Partial},
		"a list in parts":                       {[]Update{part(whole(5, "a")), whole(5, "b")}, "a b", Applied},
		"one bad entry":                         {[]Update{whole(5, "a", "b"), bad(change(6), "a", Up)}, "a b", Applied},
		"one bad entry of a list":               {[]Update{whole(5, "a", "b"), bad(whole(6, "b"), "a", Up)}, "a b", Applied},
		"a bad entry that drains":               {[]Update{whole(5, "a", "b"), bad(change(6), "a", Draining)}, "a- b", Applied},
		"a bad one never known":                 {[]Update{whole(5, "a"), bad(change(6), "x", Up)}, "a", Applied},
		"some are lost":                         {[]Update{whole(5, "a", "b", "c", "d"), whole(6, "a", "b")}, "a b", Applied},
		"most are lost":                         {[]Update{whole(5, "a", "b", "c", "d"), whole(6, "d=drains")}, "a b c d-", Held},
		"all are lost":                          {[]Update{whole(5, "a", "b", "c"), whole(6)}, "a b c", Held},
		"a drain beside a loss, told after":     {[]Update{whole(5, "a", "b", "c"), whole(6), change(7, "a=drains")}, "a- b c", Applied},
		"a few members, all lost":               {[]Update{whole(5, "a", "b"), whole(6)}, "", Applied},
		"all are told gone":                     {[]Update{whole(5, "a", "b", "c"), change(6, "a=gone", "b=gone", "c=gone")}, "", Applied},
		"most are lost, and it says so at once": {[]Update{whole(5, "a", "b", "c"), whole(6), whole(7)}, "a b c", Held},
	} {
		r := New(Rules{Lead: Registry, Confirm: 3000})
		var out Outcome
		for i, u := range x.told {
			out = r.Told(1000+float64(i), u)
		}
		if r.shows() != x.shown || out.Verdict != x.verdict {
			t.Errorf("%s: %s, %q; want %s, %q", name, out.Verdict, r.shows(), x.verdict, x.shown)
		}
	}
}

// A loss that is still told after the time to confirm it is believed; one that was not is forgotten.
func TestLossesAreConfirmed(t *testing.T) {
	r := New(Rules{Lead: Registry, Confirm: 3000})
	r.Told(0, whole(5, "a", "b", "c"))
	r.Told(1000, whole(6))
	if r.Told(3999, whole(7)); r.shows() != "a b c" {
		t.Error("believed too early")
	}
	if out := r.Told(4000, whole(8)); out.Verdict != Applied || r.shows() != "" || len(out.Changes) != 3 {
		t.Errorf("not believed: %+v, %q", out, r.shows())
	}
	r = New(Rules{Lead: Registry, Confirm: 3000})
	r.Told(0, whole(5, "a", "b", "c"))
	r.Told(1000, whole(6))
	r.Told(1500, whole(7, "a", "b", "c"))
	if out := r.Told(9000, whole(8)); out.Verdict != Held {
		t.Errorf("a loss of before was kept in mind: %s", out.Verdict)
	}
}

// Who leads: the preferred one, some time beyond its silence, then who speaks; and a drain told by one that is not
// heard any more binds against whoever takes over.
func TestLead(t *testing.T) {
	r := New(Rules{Lead: Registry, TakeOver: 10000})
	r.Told(0, Update{Source: Known, Revision: 3, Whole: true, Exact: true, Entries: up("k")})
	r.Told(10, Update{Source: Discovery, Revision: 40, Whole: true, Exact: true, Entries: up("a", "b")})
	if lead, _, _, _ := r.Standing(10); lead != Discovery || r.shows() != "a b" {
		t.Fatalf("%s leads: %q", lead, r.shows())
	}
	out := r.Told(20, whole(5, "a", "b", "c"))
	if r.shows() != "a b c" || len(out.Changes) != 1 || len(out.Notes) != 1 {
		t.Errorf("the registry does not take the lead: %+v", out)
	}
	r.Told(30, change(6, "b=drains"))
	r.Broke(Registry)
	r.Told(9000, Update{Source: Discovery, Revision: 41, Since: 40, Entries: up("d")})
	if r.shows() != "a b- c" {
		t.Errorf("taken over too early: %q", r.shows())
	}
	out = r.Tick(10031)
	if lead, _, age, _ := r.Standing(10031); lead != Discovery || age != 1031 || r.shows() != "a b- d" || len(out.Changes) != 2 {
		t.Errorf("%s leads: %q: %+v", lead, r.shows(), out)
	}
	r.Told(11000, Update{Source: Discovery, Revision: 42, Since: 41, Entries: up("b")}) // it may be behind the registry
	if r.shows() != "a b- d" {
		t.Errorf("a drain is undone by another source: %q", r.shows())
	}
	back := up("b")
	back[0].Started = 11500
	r.Told(12000, Update{Source: Discovery, Revision: 43, Since: 42, Entries: back})
	if r.shows() != "a b d" {
		t.Errorf("it has started since: %q", r.shows())
	}
	r.Broke(Discovery)
	if r.Tick(1e7); r.shows() != "a b d" {
		t.Errorf("with nobody heard the last one heard leads: %q", r.shows())
	}
	r.Told(1e7+1, whole(60, "a", "b"))
	if lead, _, _, _ := r.Standing(1e7 + 1); lead != Registry || r.shows() != "a b" {
		t.Errorf("%s leads: %q", lead, r.shows())
	}
}

// A drain that an earlier run was told holds until the source that leads says otherwise.
func TestKeptDrain(t *testing.T) {
	r := New(Rules{Lead: Registry, TakeOver: 10000})
	r.Told(0, Update{Source: Known, Revision: 41, Whole: true, Exact: true, Entries: up("a", "b=drains")})
	r.Told(1, Update{Source: Discovery, Revision: 41, Whole: true, Exact: true, Entries: up("a", "b")})
	if r.shows() != "a b-" {
		t.Errorf("undone by discovery: %q", r.shows())
	}
	if r.Told(2, whole(9, "a", "b")); r.shows() != "a b" {
		t.Errorf("the registry says otherwise: %q", r.shows())
	}
}

// The platform's discovery alone, as it always was: an older revision among changes wants a whole list, which is
// taken whatever its revision.
func TestDiscoveryAlone(t *testing.T) {
	r := New(Rules{Lead: Discovery})
	tell := func(rev int64, full bool, ids ...string) Outcome {
		return r.Told(float64(rev), Update{Source: Discovery, Revision: rev, Whole: full, Exact: true, Entries: up(ids...)})
	}
	tell(41, true, "a", "b", "c", "d")
	tell(42, false, "b=drains")
	if out := tell(7, false, "e"); out.Verdict != Gap || r.shows() != "a b- c d" {
		t.Errorf("%s: %q", out.Verdict, r.shows())
	}
	if out := tell(7, true, "b"); out.Verdict != Applied || r.shows() != "b" {
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
		r := New(Rules{Lead: Registry})
		told := map[string]int64{} // by member: the revision of the newest word told that it drains or is gone
		list := func(rev int64) Update {
			u := Update{Source: Registry, Epoch: "e", Revision: rev, Whole: true}
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
				if named[e.ID] = true; e.Phase != Up {
					told[e.ID] = max(told[e.ID], e.Mod)
				}
			}
			if u.Whole {
				for _, id := range ids {
					if _, had := r.views[Registry].entries[id]; had && !named[id] && u.Revision >= r.views[Registry].revision {
						told[id] = max(told[id], u.Revision)
					}
				}
			}
		}
		now := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now++
			head := int64(len(states) - 1)
			_, known, _ := r.Revision(Registry)
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2: // a write
				next := map[string]Entry{}
				for id, e := range states[head] {
					next[id] = e
				}
				e := Entry{ID: rapid.SampledFrom(ids).Draw(t, "id"), Address: "x:1", Mod: head + 1,
					Phase: rapid.SampledFrom([]Phase{Up, Draining, Gone}).Draw(t, "phase")}
				if next[e.ID] = e; e.Phase == Gone {
					delete(next, e.ID)
				}
				states = append(states, next)
				history = append(history, event{head + 1, e})
			case 3: // the watch goes on, all in order
				for _, h := range history {
					if h.rev > known {
						u := Update{Source: Registry, Epoch: "e", Revision: h.rev, Since: h.rev - 1, Entries: []Entry{h.e}}
						note(u)
						r.Told(now, u)
					}
				}
			case 4: // it resumes into a gap, or tells something twice
				if len(history) > 0 {
					h := rapid.SampledFrom(history).Draw(t, "event")
					u := Update{Source: Registry, Epoch: "e", Revision: h.rev, Since: h.rev - 1, Entries: []Entry{h.e}}
					if h.rev > known {
						note(u)
					}
					r.Told(now, u)
				}
			case 5: // a read, of a follower that may lag
				u := list(rapid.Int64Range(0, head).Draw(t, "at"))
				note(u)
				r.Told(now, u)
			case 6:
				r.Broke(Registry)
			}
			for _, e := range r.List() {
				if e.Phase == Up && r.views[Registry].entries[e.ID].Mod < told[e.ID] {
					t.Fatalf("%s is usable by revision %d, and was told not to be at %d", e.ID, r.views[Registry].entries[e.ID].Mod, told[e.ID])
				}
			}
		}
		head := int64(len(states) - 1)
		u := list(head)
		u.Exact = true
		r.Told(now+1, u)
		var want, got []string
		for _, e := range u.Entries {
			want = append(want, fmt.Sprint(e.ID, e.Phase))
		}
		for _, e := range r.List() {
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
		r, held := New(Rules{Lead: Registry, TakeOver: 50, Confirm: 30}), map[string]Entry{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			u := Update{Source: rapid.SampledFrom([]Source{Known, Discovery, Registry}).Draw(t, "source"), Revision: rapid.Int64Range(1, 30).Draw(t, "rev"),
				Whole: rapid.Bool().Draw(t, "whole"), Exact: rapid.Bool().Draw(t, "exact"), More: rapid.IntRange(0, 4).Draw(t, "more") == 0}
			for _, id := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 0, 6, rapid.ID[string]).Draw(t, "ids") {
				u.Entries = append(u.Entries, Entry{ID: id, Phase: rapid.SampledFrom([]Phase{Up, Up, Draining, Gone}).Draw(t, "phase")})
			}
			now := float64(step * 20)
			out := r.Told(now, u)
			if rapid.Bool().Draw(t, "breaks") {
				r.Broke(u.Source)
			}
			for _, e := range append(out.Changes, r.Tick(now+10).Changes...) {
				if held[e.ID] = e; e.Phase == Gone {
					delete(held, e.ID)
				}
			}
			list := r.List()
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
	c := NewCourse(CourseRules{Endpoints: 3, Fellows: 500, Seed: 7})
	if call := c.Next(0, false); call.Kind != Read || call.After != 0 {
		t.Fatalf("begins with %+v", call)
	}
	c.Ended(0, Read, Answered, true)
	if call := c.Next(41, true); call.Kind != Follow || call.Revision != 42 || call.After != 0 {
		t.Fatalf("goes on with %+v", call)
	}
	c.Ended(100, Follow, Broken, true) // a blip: the watch resumes, elsewhere, soon
	call := c.Next(50, true)
	if call.Kind != Follow || call.Revision != 51 || call.After > pauseLeast || call.Endpoint == NewCourse(CourseRules{Endpoints: 3, Seed: 7}).endpoint {
		t.Fatalf("resumes with %+v", call)
	}
	c.Ended(200, Follow, Compacted, true)
	if call = c.Next(50, true); call.Kind != Read || call.After > 500/readsASecond*1000 {
		t.Fatalf("behind compaction: %+v", call)
	}
	c.Ended(300, Read, Lagging, true)
	if call = c.Next(50, true); call.Kind != Read || !call.Exact {
		t.Fatalf("behind a lagging read: %+v", call)
	}
	c.Ended(400, Read, Refused, false)
	if call = c.Next(50, true); call.After < refusedPause/2 {
		t.Fatalf("refused: %+v", call)
	}
	at, calls := 1000.0, 0 // down for an hour: few calls, and never a storm
	for at < 3600e3 {
		call = c.Next(50, true)
		at += call.After + 1
		c.Ended(at, call.Kind, Broken, false)
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
		c := NewCourse(CourseRules{Endpoints: 3, Fellows: 1000, Seed: seed})
		c.Next(0, false)
		c.Ended(0, Read, Answered, true)
		at, kind := 0.0, Follow
		c.Ended(0, Follow, Broken, true)
		for {
			call := c.Next(41, true)
			at, kind = at+call.After, call.Kind
			if at < 20000 { // still down
				c.Ended(at, kind, Broken, false)
				continue
			}
			if kind == Follow {
				c.Ended(at, kind, Compacted, false)
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
