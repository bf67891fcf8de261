package logic

import (
	"math"
	"testing"
)

// recalls starts a driver whose list names p, and tells it of an earlier run.
func recallFixture(t *testing.T, o *Opening, memory Memory) *fixture {
	r := newFixture(t, o)
	r.step(Event{Kind: EvRecall, Memory: &memory})
	return r
}

func slotMemory(member string, inSlot bool, ageMS float64) Memory {
	return Memory{TrustWindow: 500, Groups: []GroupMemory{{Group: 1, Primary: member, InSlot: inSlot, SeenAt: 100000 - ageMS}}}
}

// A recalled primary younger than a switch fills the slot, also against the list of the day's start; at the bound,
// out of the slot, from the future or gone it does not.
func TestRecalledPrimaryByItsAge(t *testing.T) {
	for _, x := range []struct {
		k    Memory
		want string
	}{{slotMemory("r", true, 0), "r"}, {slotMemory("r", true, 499), "r"}, {slotMemory("r", true, 500), ""},
		{slotMemory("r", true, 90e3), ""}, {slotMemory("r", false, 10), ""}, {slotMemory("r", true, -1), ""},
		{slotMemory("p", true, 10), "p"}, {slotMemory("p", true, 500), ""}, {slotMemory("x", true, 10), "p"},
		{Memory{TrustWindow: 500}, "p"}} {
		r := recallFixture(t, testOpening(), x.k)
		if got := r.submit("w", writeOnce, 2000); got != x.want {
			t.Errorf("%+v: write sent to %q, want %q", x.k.Groups, got, x.want)
		}
	}
	r := newFixture(t, testOpening())
	r.step(memberList(ListFull, "p", "r-", "s"))
	k := slotMemory("r", true, 10)
	r.step(Event{Kind: EvRecall, Memory: &k})
	r.want(r.submit("w", writeOnce, 2000) != "r", "no write to a recalled primary that drains")
}

// Where the list follows the roles it yields only to evidence that is young.
func TestRecalledPrimaryAgainstRoleTrackingList(t *testing.T) {
	o := testOpening()
	o.ListRole = RoleLate
	r := recallFixture(t, o, slotMemory("r", true, 90e3))
	r.want(r.submit("w", writeOnce, 2000) == "p", "the list's primary")
	r = recallFixture(t, o, slotMemory("r", true, 10))
	r.want(r.submit("w", writeOnce, 2000) == "r", "the recalled primary")
}

// An old one is asked at once and first; it gets no write before it has answered as primary, be the search by
// probes or by trials.
func TestOldRecalledPrimaryIsOnlyTriedFirst(t *testing.T) {
	r := recallFixture(t, testOpening(), slotMemory("r", true, 90e3))
	r.want(count(r.lastActions, ActProbe, "") > 0 && r.lastActions[len(r.lastActions)-1].Kind != ActSend, "probes")
	first := ""
	for _, a := range r.lastActions {
		if a.Kind == ActProbe && first == "" {
			first = a.Member
		}
	}
	r.want(first == "r", "r to be probed first")
	r.want(r.submit("w", writeOnce, 2000) == "", "the write to be held")
	r.step(Event{Kind: EvProbed, Member: "r", Outcome: OK, Took: 1, Report: Sight{Primary, r.now}})
	r.want(target(r.lastActions, "w") == "r", "the write to go to r once it has answered")

	o := testOpening()
	o.ReportsByProbe, o.MayProbe = false, false
	r = recallFixture(t, o, slotMemory("r", true, 90e3))
	sent := map[string]int{}
	r.step(Event{Kind: EvOp, Op: "a", OpType: writeOnce, Group: 1, Left: 2000})
	for range 100 { // p and s deny in turn, and only then is r tried
		if m := target(r.lastActions, "a"); m == "r" {
			if sent[m]++; sent["p"] == 0 || sent["s"] == 0 {
				t.Fatal("r got a write while another might be the primary")
			}
			r.answer("a", m, OK, Primary, r.now)
		} else if m != "" {
			sent[m]++
			r.answer("a", m, Miss, Replica, r.now)
		}
		r.wait(5)
	}
	r.want(sent["r"] > 0, "r to be tried when all others have denied")
}

// What speaks against a recalled primary in this run wins over it.
func TestRecalledPrimaryYieldsToNewerEvidence(t *testing.T) {
	r := recallFixture(t, testOpening(), slotMemory("r", true, 400))
	r.submit("w", writeOnce, 2000)
	r.answer("w", "r", Miss, Replica, r.now)
	r.want(target(r.lastActions, "w") == "", "the write to be held after the miss")
	r.step(Event{Kind: EvProbed, Member: "s", Outcome: OK, Took: 1, Report: Sight{Primary, r.now}})
	r.want(target(r.lastActions, "w") == "s", "the write to go to the primary found")
	k := slotMemory("r", true, 400) // told once more, late: the slot is s's, by newer evidence
	r.step(Event{Kind: EvRecall, Memory: &k})
	r.want(r.submit("v", writeOnce, 2000) == "s", "the newer primary to stay")
}

// Who was set aside stays so until it answers a trial; a member that has started since is not concerned.
func TestRecalledEjection(t *testing.T) {
	k := Memory{Members: []MemberMemory{{Member: "r", Group: 1, EjectedAt: 99000, Disconnected: true}, {Member: "s", Group: 9, EjectedAt: 99000},
		{Member: "p", Group: 1, EjectedAt: 99000, StartedAt: 99500}}}
	r := recallFixture(t, testOpening(), k)
	r.d.members["p"].inFlight = 99
	for i := range 5 {
		id := string(rune('a' + i))
		r.want(r.submit(id, anyRead, 1000) == "s", "reads to go where nothing is known")
		r.answer(id, "s", OK, Replica, r.now)
	}
	r.want(!r.d.members["p"].ejected, "p in use, as it has started since")
	r.wait(1000)
	r.want(r.submit("t", anyRead, 1000) == "r", "a trial when its pause is over")
	r.answer("t", "r", OK, Replica, r.now)
	r.want(!r.d.members["r"].ejected, "r back")
	r.want(r.d.warmth(r.d.members["r"]) < 1, "r to count as just started, as its connections broke")
}

// Rule 4: what a cold member may be sent begins at nothing after a restart, not at another first credit.
func TestRestartGrantsNoNewColdBudget(t *testing.T) {
	firstOpsAtColdMember := func(k *Memory) (n int) {
		for seed := range uint64(300) {
			o := testOpening()
			o.Seed = (seed + 1) * 0x9E3779B97F4A7C15
			r := &fixture{t: t, now: 100000}
			r.step(Event{Kind: EvOpen, Opening: o}, memberList(ListCached, "p", "r+"))
			if k != nil {
				r.step(Event{Kind: EvRecall, Memory: k})
			}
			r.d.members["r"].coldCredit *= 3 // what a first op of any type costs
			if r.submit("a", anyRead, 1000) == "r" {
				n++
			}
		}
		return n
	}
	k := Memory{Members: []MemberMemory{{Member: "r", Group: 1, StartedAt: 100000}}}
	if withMemory, withoutMemory := firstOpsAtColdMember(&k), firstOpsAtColdMember(nil); withMemory != 0 || withoutMemory == 0 {
		t.Errorf("of 300 drivers that start at once %d send to the cold member, %d without memory", withMemory, withoutMemory)
	}
}

// 300 drivers start at once with the same knowledge: no member gets much more of their first ops than its share.
func TestSimultaneousStartsSpreadLoad(t *testing.T) {
	k := Memory{TrustWindow: 500, OpTypes: []TypeMemory{{60, 50}, {70, 60}}, Groups: []GroupMemory{{Group: 1, Primary: "p", InSlot: true, SeenAt: 99990,
		WorkRate: 3}}}
	names := []string{"p", "r", "s", "t", "u", "v"}
	for i, n := range names {
		k.Members = append(k.Members, MemberMemory{Member: n, Group: 1, Position: 99980 + float64(i), Window: float64(4 + 3*i)})
	}
	for _, mayMessage := range []bool{true, false} {
		for _, kind := range []int{boundedRead, anyRead, sessionRead} {
			got := map[string]int{}
			for seed := range uint64(300) {
				o := testOpening()
				o.Seed, o.Drivers, o.MayMessage, o.Checks = (seed+1)*0x9E3779B97F4A7C15, 300, mayMessage, ChecksNone
				r := &fixture{t: t, now: 100000}
				r.step(Event{Kind: EvOpen, Opening: o}, memberList(ListCached, names...), Event{Kind: EvRecall, Memory: &k})
				got[r.submit("a", kind, 1000)]++
			}
			for m, n := range got {
				if m == "" || n > 2*300/5 {
					t.Errorf("messages %v, type %d: of 300 first ops %q gets %d: %v", mayMessage, kind, m, n, got)
				}
			}
		}
	}
}

// Sessions that do not carry their writes: what an earlier run acknowledged lies before this one's start, or before
// a ceiling that was held further ahead.
func TestSessionReadsRespectCommitCeiling(t *testing.T) {
	o := testOpening()
	o.SessionCarried, o.Positions, o.Checks = false, true, ChecksNone
	reportPositions := func(r *fixture, position float64) {
		for _, m := range []string{"r", "s"} {
			r.step(Event{Kind: EvProbed, Member: m, Outcome: OK, Took: 1, Report: Sight{Replica, position}})
		}
	}
	r := newFixture(t, o)
	reportPositions(r, 99999)
	r.want(r.submit("a", sessionRead, 1000) == "p", "the primary: replicas may lack what an earlier run wrote")
	r.wait(20)
	reportPositions(r, 100001)
	r.want(r.submit("b", sessionRead, 1000) != "p", "a replica that is past the start")
	r = recallFixture(t, o, Memory{Ceiling: 102000})
	reportPositions(r, 101999)
	r.want(r.submit("a", sessionRead, 1000) == "p", "the primary: under the ceiling")
	reportPositions(r, 102000)
	r.want(r.submit("b", sessionRead, 1000) != "p", "a replica past the ceiling")
	o.Positions = false // nobody tells positions: then no replica could ever do
	r = newFixture(t, o)
	r.want(r.submit("a", sessionRead, 1000) != "p", "a replica, where positions are not told")
}

// What one run remembers, the next recalls: slot, usual times, who is set aside, windows.
func TestRememberAndRecall(t *testing.T) {
	r := newFixture(t, testOpening())
	for i := range 40 {
		id := string(rune('A' + i))
		r.submit(id, anyRead, 1000)
		r.now += 37
		r.answer(id, target(r.allActions, id), OK, Replica, r.now-20)
	}
	r.step(Event{Kind: EvProbed, Member: "p", Outcome: OK, Took: 1, Report: Sight{Primary, r.now}})
	r.d.eject(r.d.members["s"], flagSilent|flagDisconnected, "test")
	k := Memory{TrustWindow: 1000}
	r.step(Event{Kind: EvRemember, Memory: &k})
	restarted := &fixture{t: t, now: r.now + 100}
	restarted.step(Event{Kind: EvOpen, Opening: testOpening()}, memberList(ListCached, "p", "r", "s"), Event{Kind: EvRecall, Memory: &k})
	var savedAgain Memory
	restarted.step(Event{Kind: EvRemember, Memory: &savedAgain})
	if len(savedAgain.Groups) != 1 || savedAgain.Groups[0] != k.Groups[0] || savedAgain.Groups[0].Primary != "p" || !savedAgain.Groups[0].InSlot {
		t.Errorf("groups %+v, want %+v", savedAgain.Groups, k.Groups)
	}
	for i, m := range k.Members {
		if savedAgain.Members[i] != m {
			t.Errorf("member %+v, want %+v", savedAgain.Members[i], m)
		}
	}
	if savedAgain.OpTypes[anyRead] != k.OpTypes[anyRead] || k.OpTypes[anyRead].Typical == testOpening().OpTypes[anyRead].LatencyTarget/3 {
		t.Errorf("op types %+v, want %+v", savedAgain.OpTypes, k.OpTypes)
	}
	restarted.step(Event{Kind: EvRecall, Memory: &Memory{OpTypes: make([]TypeMemory, 99), Groups: []GroupMemory{{Group: 77, Primary: "p"}},
		Members: []MemberMemory{{Member: "nobody"}}}})
	restarted.want(!math.IsNaN(restarted.d.opTypes[0].meanLatency) && restarted.d.opTypes[0].meanLatency > 0, "nothing taken from what fits nothing")
}

// Drivers come and go: what is spread out over them follows, and a driver that is alone tells nobody.
func TestNumberOfDriversChanges(t *testing.T) {
	o := testOpening()
	o.MayMessage, o.Drivers = true, 1
	messagesSent := func(r *fixture) (n int) {
		r.allActions = nil
		for i := range 20 {
			id := string(rune('a' + i))
			r.submit(id, anyRead, 1000)
			r.answer(id, target(r.allActions, id), OK, Replica, r.now-10)
			r.wait(50)
		}
		return count(r.allActions, ActMessage, "")
	}
	r := newFixture(t, o)
	r.want(messagesSent(r) == 0, "no words from a driver that is alone")
	r.step(Event{Kind: EvDrivers, Drivers: 3})
	r.want(messagesSent(r) > 0, "words when there are three")
	meanJitteredPause := func() (sum float64) {
		for range 200 {
			sum += r.d.jitter(100) - r.now
		}
		return sum / 200
	}
	smallFleetPause := meanJitteredPause()
	r.step(Event{Kind: EvDrivers, Drivers: 300})
	r.want(meanJitteredPause() > 20*smallFleetPause, "what all do to be spread out over 300")
	r.step(Event{Kind: EvDrivers, Drivers: 1})
	r.want(messagesSent(r) == 0 && meanJitteredPause() <= smallFleetPause, "all as before when it is alone again")
}
