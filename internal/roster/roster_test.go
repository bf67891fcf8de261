package roster

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var phaseByName = map[string]Phase{"": PhaseUp, "draining": PhaseDraining, "removed": PhaseRemoved}

// entries returns members that are up, or have the phase given as id=phase.
func entries(ids ...string) (all []Entry) {
	for _, id := range ids {
		id, phase, _ := strings.Cut(id, "=")
		all = append(all, Entry{ID: id, Address: "a:1", Phase: phaseByName[phase]})
	}
	return all
}

// summary returns the ids of the published members, with a minus for those that drain.
func (r *Roster) summary() string {
	var s []string
	for _, e := range r.Members() {
		s = append(s, e.ID+map[Phase]string{PhaseDraining: "-"}[e.Phase])
	}
	return strings.Join(s, " ")
}

func snapshot(rev int64, ids ...string) Update {
	return Update{Source: SourceRegistry, Epoch: "e", Revision: rev, Snapshot: true, Entries: entries(ids...)}
}

// snapshotOf returns a snapshot of a source that has no epochs.
func snapshotOf(s Source, rev int64, ids ...string) Update {
	return Update{Source: s, Revision: rev, Snapshot: true, Linearizable: true, Entries: entries(ids...)}
}

func changes(rev int64, ids ...string) Update {
	return Update{Source: SourceRegistry, Epoch: "e", Revision: rev, PreviousRevision: rev - 1, Entries: entries(ids...)}
}

// Each case is a history of updates of a registry, with the published membership and the last verdict at its end.
func TestHistories(t *testing.T) {
	linearizable := func(u Update) Update { u.Linearizable = true; return u }
	epoch := func(name string, u Update) Update { u.Epoch = name; return u }
	modifiedAt := func(m int64, u Update) Update {
		for i := range u.Entries {
			u.Entries[i].ModRevision = m
		}
		return u
	}
	fragment := func(u Update) Update { u.Fragment = true; return u }
	started := func(at float64, u Update) Update { u.Entries[0].StartedAt = at; return u }
	withInvalid := func(u Update, id string, p Phase) Update {
		u.Invalid = []InvalidEntry{{id, "no address", p}}
		return u
	}
	for name, c := range map[string]struct {
		updates []Update
		want    string
		verdict Verdict
	}{
		"changes before any snapshot": {
			[]Update{changes(5, "a")},
			"", VerdictGap},
		"a snapshot and changes": {
			[]Update{snapshot(5, "a", "b"), changes(6, "c"), changes(7, "a=removed")},
			"b c", VerdictApplied},
		"a drain": {
			[]Update{snapshot(5, "a", "b"), changes(6, "b=draining")},
			"a b-", VerdictApplied},
		"up again": {
			[]Update{snapshot(5, "a", "b"), changes(6, "b=draining"), changes(7, "b")},
			"a b", VerdictApplied},
		"a duplicate": {
			[]Update{snapshot(5, "a"), changes(6, "a=draining"), changes(5, "a")},
			"a-", VerdictStale},
		"put, removed and put again": {
			[]Update{snapshot(5, "a"), changes(6, "a"), changes(7, "a=removed"), changes(8, "a")},
			"a", VerdictApplied},
		"a gap hides a member that is up": {
			[]Update{snapshot(5, "a"), changes(9, "b")},
			"a", VerdictGap},
		"a gap hides no drain": {
			[]Update{snapshot(5, "a"), changes(9, "a=draining", "b")},
			"a-", VerdictGap},
		"a snapshot fills a gap": {
			[]Update{snapshot(5, "a"), changes(9, "b"), snapshot(9, "a", "b")},
			"a b", VerdictApplied},
		"a drain behind a gap against an older snapshot": {
			[]Update{snapshot(5, "a"), changes(9, "a=draining"), snapshot(8, "a")},
			"a-", VerdictApplied},
		"a lagging follower": {
			[]Update{snapshot(9, "a=draining"), snapshot(5, "a")},
			"a-", VerdictStale},
		"revisions went back in a linearizable snapshot": {
			[]Update{snapshot(9, "a", "b=draining"), linearizable(modifiedAt(3, snapshot(5, "a", "b", "c")))},
			"a b- c", VerdictApplied},
		"revisions went back, and the member was put since": {
			[]Update{snapshot(9, "a", "b=draining"), linearizable(modifiedAt(3, snapshot(5, "a", "b"))), changes(6, "b")},
			"a b", VerdictApplied},
		"revisions went back, and the member started since": {
			[]Update{snapshot(9, "a", "b=draining"), linearizable(started(1e6, snapshot(5, "b", "a")))},
			"a b", VerdictApplied},
		"another epoch": {
			[]Update{
				snapshot(9, "a=removed", "b"),
				epoch("f", modifiedAt(1, snapshot(50, "a", "b"))),
				epoch("f", modifiedAt(1, changes(51, "a"))),
			},
			"b", VerdictApplied},
		"changes of another epoch": {
			[]Update{snapshot(9, "a"), epoch("f", changes(10, "b"))},
			"a", VerdictGap},
		"a drain of another epoch": {
			[]Update{snapshot(9, "a"), epoch("f", changes(10, "a=draining"))},
			"a-", VerdictGap},
		"a revision in fragments": {
			[]Update{snapshot(5, "a"), fragment(changes(6, "b")), changes(6, "a=removed")},
			"b", VerdictApplied},
		"half a revision": {
			[]Update{snapshot(5, "a"), fragment(changes(6, "a=removed"))},
			"a", VerdictFragment},
		"a snapshot in fragments": {
			[]Update{fragment(snapshot(5, "a")), snapshot(5, "b")},
			"a b", VerdictApplied},
		"an invalid entry": {
			[]Update{snapshot(5, "a", "b"), withInvalid(changes(6), "a", PhaseUp)},
			"a b", VerdictApplied},
		"an invalid entry of a snapshot": {
			[]Update{snapshot(5, "a", "b"), withInvalid(snapshot(6, "b"), "a", PhaseUp)},
			"a b", VerdictApplied},
		"an invalid entry that drains": {
			[]Update{snapshot(5, "a", "b"), withInvalid(changes(6), "a", PhaseDraining)},
			"a- b", VerdictApplied},
		"an invalid entry of an unknown member": {
			[]Update{snapshot(5, "a"), withInvalid(changes(6), "x", PhaseUp)},
			"a", VerdictApplied},
		"some are lost": {
			[]Update{snapshot(5, "a", "b", "c", "d"), snapshot(6, "a", "b")},
			"a b", VerdictApplied},
		"most are lost": {
			[]Update{snapshot(5, "a", "b", "c", "d"), snapshot(6, "d=draining")},
			"a b c d-", VerdictUnconfirmed},
		"all are lost": {
			[]Update{snapshot(5, "a", "b", "c"), snapshot(6)},
			"a b c", VerdictUnconfirmed},
		"a drain after an unconfirmed loss": {
			[]Update{snapshot(5, "a", "b", "c"), snapshot(6), changes(7, "a=draining")},
			"a- b c", VerdictApplied},
		"a few members, all lost": {
			[]Update{snapshot(5, "a", "b"), snapshot(6)},
			"", VerdictApplied},
		"all are removed one by one": {
			[]Update{snapshot(5, "a", "b", "c"), changes(6, "a=removed", "b=removed", "c=removed")},
			"", VerdictApplied},
		"most are lost, and the next snapshot comes at once": {
			[]Update{snapshot(5, "a", "b", "c"), snapshot(6), snapshot(7)},
			"a b c", VerdictUnconfirmed},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(Options{Preferred: SourceRegistry, ConfirmAfter: 3000})
			var out Outcome
			for i, u := range c.updates {
				out = r.Apply(1000+float64(i), u)
			}
			if r.summary() != c.want || out.Verdict != c.verdict {
				t.Errorf("%s, %q; want %s, %q", out.Verdict, r.summary(), c.verdict, c.want)
			}
		})
	}
}

// A loss of members is applied if a later snapshot confirms it, and dropped if a later snapshot has the members again.
func TestLossesMustBeConfirmed(t *testing.T) {
	r := New(Options{Preferred: SourceRegistry, ConfirmAfter: 3000})
	r.Apply(0, snapshot(5, "a", "b", "c"))
	r.Apply(1000, snapshot(6))
	if r.Apply(3999, snapshot(7)); r.summary() != "a b c" {
		t.Error("confirmed too early")
	}
	if out := r.Apply(4000, snapshot(8)); out.Verdict != VerdictApplied || r.summary() != "" || len(out.Changes) != 3 {
		t.Errorf("not confirmed: %+v, %q", out, r.summary())
	}
	r = New(Options{Preferred: SourceRegistry, ConfirmAfter: 3000})
	r.Apply(0, snapshot(5, "a", "b", "c"))
	r.Apply(1000, snapshot(6))
	r.Apply(1500, snapshot(7, "a", "b", "c"))
	if out := r.Apply(9000, snapshot(8)); out.Verdict != VerdictUnconfirmed {
		t.Errorf("a loss that was not confirmed still counts: %s", out.Verdict)
	}
}

// The preferred source leads, also for some time after it disconnected; after that a connected one. A drain from a
// disconnected source stays in force whichever source leads.
func TestLeaderElection(t *testing.T) {
	r := New(Options{Preferred: SourceRegistry, FailoverAfter: 10000})
	r.Apply(0, snapshotOf(SourceKnown, 3, "k"))
	r.Apply(10, snapshotOf(SourceDiscovery, 40, "a", "b"))
	if leader, _, _, _ := r.Leader(10); leader != SourceDiscovery || r.summary() != "a b" {
		t.Fatalf("%s leads: %q", leader, r.summary())
	}
	out := r.Apply(20, snapshot(5, "a", "b", "c"))
	if r.summary() != "a b c" || len(out.Changes) != 1 || len(out.Notes) != 1 {
		t.Errorf("the registry does not lead: %+v", out)
	}
	r.Apply(30, changes(6, "b=draining"))
	r.SetDisconnected(SourceRegistry)
	r.Apply(9000, Update{Source: SourceDiscovery, Revision: 41, PreviousRevision: 40, Entries: entries("d")})
	if r.summary() != "a b- c" {
		t.Errorf("failed over too early: %q", r.summary())
	}
	out = r.Tick(10031)
	leader, _, age, _ := r.Leader(10031)
	if leader != SourceDiscovery || age != 1031 || r.summary() != "a b- d" || len(out.Changes) != 2 {
		t.Errorf("%s leads: %q: %+v", leader, r.summary(), out)
	}
	// Discovery may be behind the registry.
	r.Apply(11000, Update{Source: SourceDiscovery, Revision: 42, PreviousRevision: 41, Entries: entries("b")})
	if r.summary() != "a b- d" {
		t.Errorf("another source lifted a drain: %q", r.summary())
	}
	restarted := entries("b")
	restarted[0].StartedAt = 11500
	r.Apply(12000, Update{Source: SourceDiscovery, Revision: 43, PreviousRevision: 42, Entries: restarted})
	if r.summary() != "a b d" {
		t.Errorf("a restarted member still drains: %q", r.summary())
	}
	r.SetDisconnected(SourceDiscovery)
	if r.Tick(1e7); r.summary() != "a b d" {
		t.Errorf("without a connected source, the last one does not lead: %q", r.summary())
	}
	r.Apply(1e7+1, snapshot(60, "a", "b"))
	if leader, _, _, _ := r.Leader(1e7 + 1); leader != SourceRegistry || r.summary() != "a b" {
		t.Errorf("%s leads: %q", leader, r.summary())
	}
}

// A drain known from an earlier run stays in force until the preferred source lists the member as up.
func TestDrainOfEarlierRun(t *testing.T) {
	r := New(Options{Preferred: SourceRegistry, FailoverAfter: 10000})
	r.Apply(0, snapshotOf(SourceKnown, 41, "a", "b=draining"))
	r.Apply(1, snapshotOf(SourceDiscovery, 41, "a", "b"))
	if r.summary() != "a b-" {
		t.Errorf("discovery lifted the drain: %q", r.summary())
	}
	if r.Apply(2, snapshot(9, "a", "b")); r.summary() != "a b" {
		t.Errorf("the registry did not lift the drain: %q", r.summary())
	}
}

// Without a registry, changes of an older revision need a snapshot, which is applied whatever its revision.
func TestDiscoveryWithoutRegistry(t *testing.T) {
	r := New(Options{Preferred: SourceDiscovery})
	apply := func(rev int64, full bool, ids ...string) Outcome {
		u := snapshotOf(SourceDiscovery, rev, ids...)
		u.Snapshot = full
		return r.Apply(float64(rev), u)
	}
	apply(41, true, "a", "b", "c", "d")
	apply(42, false, "b=draining")
	if out := apply(7, false, "e"); out.Verdict != VerdictGap || r.summary() != "a b- c d" {
		t.Errorf("%s: %q", out.Verdict, r.summary())
	}
	if out := apply(7, true, "b"); out.Verdict != VerdictApplied || r.summary() != "b" {
		t.Errorf("%s: %q", out.Verdict, r.summary())
	}
}

// modelEvent is a write to the modelled registry.
type modelEvent struct {
	rev   int64
	entry Entry
}

func (h modelEvent) update() Update {
	return Update{Source: SourceRegistry, Epoch: "e", Revision: h.rev, PreviousRevision: h.rev - 1, Entries: []Entry{h.entry}}
}

// A model of a registry is read through disconnections, gaps, lagging followers and duplicates. After a final snapshot
// both must be equal, and no information older than a member's drain or removal may make the member usable.
func TestMatchesRegistryModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []modelEvent
		states := []map[string]Entry{{}} // by revision
		ids := []string{"a", "b", "c", "d", "e"}
		r := New(Options{Preferred: SourceRegistry})
		restrictedAt := map[string]int64{} // by member: the newest revision that drains or removes it
		snapshotAt := func(rev int64) Update {
			u := Update{Source: SourceRegistry, Epoch: "e", Revision: rev, Snapshot: true}
			for _, id := range ids {
				if e, ok := states[rev][id]; ok {
					u.Entries = append(u.Entries, e)
				}
			}
			return u
		}
		observe := func(u Update) {
			named := map[string]bool{}
			for _, e := range u.Entries {
				if named[e.ID] = true; e.Phase != PhaseUp {
					restrictedAt[e.ID] = max(restrictedAt[e.ID], e.ModRevision)
				}
			}
			if u.Snapshot {
				for _, id := range ids {
					v := &r.views[SourceRegistry]
					if _, had := v.entries[id]; had && !named[id] && u.Revision >= v.revision {
						restrictedAt[id] = max(restrictedAt[id], u.Revision)
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
				history = append(history, modelEvent{head + 1, e})
			case 3: // the watch continues, in order
				for _, h := range history {
					if h.rev > known {
						u := h.update()
						observe(u)
						r.Apply(now, u)
					}
				}
			case 4: // the watch resumes after a gap, or repeats an event
				if len(history) > 0 {
					h := rapid.SampledFrom(history).Draw(t, "event")
					u := h.update()
					if h.rev > known {
						observe(u)
					}
					r.Apply(now, u)
				}
			case 5: // a read of a follower that may lag
				u := snapshotAt(rapid.Int64Range(0, head).Draw(t, "at"))
				observe(u)
				r.Apply(now, u)
			case 6:
				r.SetDisconnected(SourceRegistry)
			}
			for _, e := range r.Members() {
				mod := r.views[SourceRegistry].entries[e.ID].ModRevision
				if e.Phase == PhaseUp && mod < restrictedAt[e.ID] {
					t.Fatalf("%s is usable by revision %d, but was restricted at %d", e.ID, mod, restrictedAt[e.ID])
				}
			}
		}
		head := int64(len(states) - 1)
		u := snapshotAt(head)
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
			t.Fatalf("members %v, the registry has %v", got, want)
		}
	})
}

// The returned changes must add up to the published membership.
func TestChangesAddUpToMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Options{Preferred: SourceRegistry, FailoverAfter: 50, ConfirmAfter: 30})
		members := map[string]Entry{}
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"})
		phases := rapid.SampledFrom([]Phase{PhaseUp, PhaseUp, PhaseDraining, PhaseRemoved})
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			u := Update{
				Source:       rapid.SampledFrom([]Source{SourceKnown, SourceDiscovery, SourceRegistry}).Draw(t, "source"),
				Revision:     rapid.Int64Range(1, 30).Draw(t, "rev"),
				Snapshot:     rapid.Bool().Draw(t, "snapshot"),
				Linearizable: rapid.Bool().Draw(t, "linearizable"),
				Fragment:     rapid.IntRange(0, 4).Draw(t, "fragment") == 0,
			}
			for _, id := range rapid.SliceOfNDistinct(ids, 0, 6, rapid.ID[string]).Draw(t, "ids") {
				u.Entries = append(u.Entries, Entry{ID: id, Phase: phases.Draw(t, "phase")})
			}
			now := float64(step * 20)
			out := r.Apply(now, u)
			if rapid.Bool().Draw(t, "breaks") {
				r.SetDisconnected(u.Source)
			}
			for _, e := range append(out.Changes, r.Tick(now+10).Changes...) {
				if members[e.ID] = e; e.Phase == PhaseRemoved {
					delete(members, e.ID)
				}
			}
			list := r.Members()
			if len(list) != len(members) {
				t.Fatalf("published %+v, by changes %+v", list, members)
			}
			for _, e := range list {
				if members[e.ID] != e {
					t.Fatalf("published %+v, by changes %+v", e, members[e.ID])
				}
			}
		}
	})
}
