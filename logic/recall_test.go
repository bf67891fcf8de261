package logic

import (
	"math"
	"testing"
)

// recallFixture opens a driver whose member list names p as primary and passes it the memory of an earlier run.
func recallFixture(t *testing.T, opening *Opening, memory Memory) *fixture {
	f := newFixture(t, opening)
	f.step(Event{Kind: EvRecall, Memory: &memory})
	return f
}

// slotMemory returns the memory of a slot with a primary last seen ageMS before the start.
func slotMemory(member string, inSlot bool, ageMS float64) Memory {
	return Memory{TrustWindow: 500, Groups: []GroupMemory{{Group: 1, Primary: member, InSlot: inSlot, SeenAt: 100000 - ageMS}}}
}

// A recalled primary fills the slot if it was seen within the trust window, even if the list, which only shows the primary
// at the start, names another member. It does not if the window has passed, if it was no longer in the slot when the
// memory was saved, if its date is in the future, or if it is not in the list.
func TestRecalledPrimaryFillsSlotWithinTrustWindow(t *testing.T) {
	for _, c := range []struct {
		memory Memory
		want   string
	}{{slotMemory("r", true, 0), "r"}, {slotMemory("r", true, 499), "r"}, {slotMemory("r", true, 500), ""},
		{slotMemory("r", true, 90e3), ""}, {slotMemory("r", false, 10), ""}, {slotMemory("r", true, -1), ""},
		{slotMemory("p", true, 10), "p"}, {slotMemory("p", true, 500), ""}, {slotMemory("x", true, 10), "p"},
		{Memory{TrustWindow: 500}, "p"}} {
		f := recallFixture(t, testOpening(), c.memory)
		if got := f.submit("w", writeOnce, 2000); got != c.want {
			t.Errorf("%+v: write sent to %q, want %q", c.memory.Groups, got, c.want)
		}
	}
	f := newFixture(t, testOpening())
	f.step(memberList(ListFull, "p", "r-", "s"))
	memory := slotMemory("r", true, 10)
	f.step(Event{Kind: EvRecall, Memory: &memory})
	f.want(f.submit("w", writeOnce, 2000) != "r", "no write to a recalled primary that drains")
}

// A list that tracks roles yields only to a recalled primary seen within the trust window.
func TestRecalledPrimaryAgainstRoleTrackingList(t *testing.T) {
	opening := testOpening()
	opening.ListRole = RoleLate
	f := recallFixture(t, opening, slotMemory("r", true, 90e3))
	f.want(f.submit("w", writeOnce, 2000) == "p", "the list's primary")
	f = recallFixture(t, opening, slotMemory("r", true, 10))
	f.want(f.submit("w", writeOnce, 2000) == "r", "the recalled primary")
}

// A recalled primary last seen before the trust window is probed at once and before the others, but gets no write before it
// has answered as primary. Without probes it is tried only after all other members have answered that they are replicas.
func TestOldRecalledPrimaryGetsNoWriteBeforeItAnswers(t *testing.T) {
	f := recallFixture(t, testOpening(), slotMemory("r", true, 90e3))
	f.want(count(f.lastActions, ActProbe, "") > 0 && f.lastActions[len(f.lastActions)-1].Kind != ActSend, "probes")
	first := ""
	for _, a := range f.lastActions {
		if a.Kind == ActProbe && first == "" {
			first = a.Member
		}
	}
	f.want(first == "r", "r to be probed first")
	f.want(f.submit("w", writeOnce, 2000) == "", "the write to be queued")
	f.step(Event{Kind: EvProbed, Member: "r", Outcome: OK, Took: 1, Report: Sight{Primary, f.now}})
	f.want(target(f.lastActions, "w") == "r", "the write to go to r once it has answered")

	opening := testOpening()
	opening.ReportsByProbe, opening.MayProbe = false, false
	f = recallFixture(t, opening, slotMemory("r", true, 90e3))
	sent := map[string]int{}
	f.step(Event{Kind: EvOp, Op: "a", OpType: writeOnce, Group: 1, Left: 2000})
	for range 100 { // p and s must answer Miss before r is tried
		if m := target(f.lastActions, "a"); m == "r" {
			if sent[m]++; sent["p"] == 0 || sent["s"] == 0 {
				t.Fatal("r got a write while another might be the primary")
			}
			f.answer("a", m, OK, Primary, f.now)
		} else if m != "" {
			sent[m]++
			f.answer("a", m, Miss, Replica, f.now)
		}
		f.wait(5)
	}
	f.want(sent["r"] > 0, "r to be tried after all others answered Miss")
}

// Evidence from this run takes precedence over a recalled primary.
func TestRecalledPrimaryYieldsToNewerEvidence(t *testing.T) {
	f := recallFixture(t, testOpening(), slotMemory("r", true, 400))
	f.submit("w", writeOnce, 2000)
	f.answer("w", "r", Miss, Replica, f.now)
	f.want(target(f.lastActions, "w") == "", "the write to be queued after the miss")
	f.step(Event{Kind: EvProbed, Member: "s", Outcome: OK, Took: 1, Report: Sight{Primary, f.now}})
	f.want(target(f.lastActions, "w") == "s", "the write to go to the primary that answered the probe")
	memory := slotMemory("r", true, 400) // recalled again, late: the evidence for s is newer
	f.step(Event{Kind: EvRecall, Memory: &memory})
	f.want(f.submit("v", writeOnce, 2000) == "s", "the newer primary to stay")
}

// A recalled ejection lasts until the member answers a trial op. It does not apply to a member that has restarted since.
func TestRecalledEjection(t *testing.T) {
	memory := Memory{Members: []MemberMemory{{Member: "r", Group: 1, EjectedAt: 99000, Disconnected: true}, {Member: "s", Group: 9, EjectedAt: 99000},
		{Member: "p", Group: 1, EjectedAt: 99000, StartedAt: 99500}}}
	f := recallFixture(t, testOpening(), memory)
	f.driver.members["p"].inFlight = 99
	for i := range 5 {
		id := string(rune('a' + i))
		f.want(f.submit(id, anyRead, 1000) == "s", "reads to go to s, whose recalled group is another")
		f.answer(id, "s", OK, Replica, f.now)
	}
	f.want(!f.driver.members["p"].ejected, "p not ejected, as it has restarted since")
	f.wait(1000)
	f.want(f.submit("t", anyRead, 1000) == "r", "a trial op when the backoff is over")
	f.answer("t", "r", OK, Replica, f.now)
	f.want(!f.driver.members["r"].ejected, "r readmitted")
	f.want(f.driver.warmth(f.driver.members["r"]) < 1, "r to warm up, as its connections broke")
}

// Rule 4 (no overload of cold members): after a restart of the driver a cold member's budget starts empty, not with another
// random first credit.
func TestRestartGrantsNoNewColdBudget(t *testing.T) {
	firstOpsAtColdMember := func(memory *Memory) (n int) {
		for seed := range uint64(300) {
			opening := testOpening()
			opening.Seed = (seed + 1) * 0x9E3779B97F4A7C15
			f := &fixture{t: t, now: 100000}
			f.step(Event{Kind: EvOpen, Opening: opening}, memberList(ListCached, "p", "r+"))
			if memory != nil {
				f.step(Event{Kind: EvRecall, Memory: memory})
			}
			f.driver.members["r"].coldCredit *= 3 // so that the credit is enough for the first op of any type
			if f.submit("a", anyRead, 1000) == "r" {
				n++
			}
		}
		return n
	}
	memory := Memory{Members: []MemberMemory{{Member: "r", Group: 1, StartedAt: 100000}}}
	if withMemory, withoutMemory := firstOpsAtColdMember(&memory), firstOpsAtColdMember(nil); withMemory != 0 || withoutMemory == 0 {
		t.Errorf("of 300 drivers that start together %d send to the cold member with memory, want 0, and %d without, want some", withMemory, withoutMemory)
	}
}

// 300 drivers that start together with the same memory spread their first ops: no member gets over twice its share.
func TestSimultaneousStartsSpreadLoad(t *testing.T) {
	memory := Memory{TrustWindow: 500, OpTypes: []TypeMemory{{60, 50}, {70, 60}}, Groups: []GroupMemory{{Group: 1, Primary: "p", InSlot: true, SeenAt: 99990,
		WorkRate: 3}}}
	names := []string{"p", "r", "s", "t", "u", "v"}
	for i, n := range names {
		memory.Members = append(memory.Members, MemberMemory{Member: n, Group: 1, Position: 99980 + float64(i), Window: float64(4 + 3*i)})
	}
	for _, mayMessage := range []bool{true, false} {
		for _, opType := range []int{boundedRead, anyRead, sessionRead} {
			got := map[string]int{}
			for seed := range uint64(300) {
				opening := testOpening()
				opening.Seed, opening.Drivers, opening.MayMessage, opening.Checks = (seed+1)*0x9E3779B97F4A7C15, 300, mayMessage, ChecksNone
				f := &fixture{t: t, now: 100000}
				f.step(Event{Kind: EvOpen, Opening: opening}, memberList(ListCached, names...), Event{Kind: EvRecall, Memory: &memory})
				got[f.submit("a", opType, 1000)]++
			}
			for m, n := range got {
				if m == "" || n > 2*300/5 {
					t.Errorf("messages %v, op type %d: of 300 first ops %q gets %d: %v", mayMessage, opType, m, n, got)
				}
			}
		}
	}
}

// If sessions don't carry their writes, a session read may need any write that an earlier run acknowledged: all of them lie
// before this run's start, or before the saved ceiling if that is later.
func TestSessionReadsRespectCommitCeiling(t *testing.T) {
	opening := testOpening()
	opening.SessionCarried, opening.Positions, opening.Checks = false, true, ChecksNone
	reportPositions := func(f *fixture, position float64) {
		for _, m := range []string{"r", "s"} {
			f.step(Event{Kind: EvProbed, Member: m, Outcome: OK, Took: 1, Report: Sight{Replica, position}})
		}
	}
	f := newFixture(t, opening)
	reportPositions(f, 99999)
	f.want(f.submit("a", sessionRead, 1000) == "p", "the primary, as replicas may lack writes of an earlier run")
	f.wait(20)
	reportPositions(f, 100001)
	f.want(f.submit("b", sessionRead, 1000) != "p", "a replica whose position is past the start")
	f = recallFixture(t, opening, Memory{Ceiling: 102000})
	reportPositions(f, 101999)
	f.want(f.submit("a", sessionRead, 1000) == "p", "the primary, as replicas are below the ceiling")
	reportPositions(f, 102000)
	f.want(f.submit("b", sessionRead, 1000) != "p", "a replica at the ceiling")
	opening.Positions = false // members report no positions, so that no replica could ever qualify
	f = newFixture(t, opening)
	f.want(f.submit("a", sessionRead, 1000) != "p", "a replica, as members report no positions")
}

// The memory that one run saves restores the slot, latencies, ejections and windows in the next.
func TestSavedMemoryIsRestored(t *testing.T) {
	f := newFixture(t, testOpening())
	for i := range 40 {
		id := string(rune('A' + i))
		f.submit(id, anyRead, 1000)
		f.now += 37
		f.answer(id, target(f.allActions, id), OK, Replica, f.now-20)
	}
	f.step(Event{Kind: EvProbed, Member: "p", Outcome: OK, Took: 1, Report: Sight{Primary, f.now}})
	f.driver.eject(f.driver.members["s"], flagSilent|flagDisconnected, "test")
	memory := Memory{TrustWindow: 1000}
	f.step(Event{Kind: EvRemember, Memory: &memory})
	restarted := &fixture{t: t, now: f.now + 100}
	restarted.step(Event{Kind: EvOpen, Opening: testOpening()}, memberList(ListCached, "p", "r", "s"), Event{Kind: EvRecall, Memory: &memory})
	var savedAgain Memory
	restarted.step(Event{Kind: EvRemember, Memory: &savedAgain})
	if len(savedAgain.Groups) != 1 || savedAgain.Groups[0] != memory.Groups[0] || savedAgain.Groups[0].Primary != "p" || !savedAgain.Groups[0].InSlot {
		t.Errorf("groups %+v, want %+v", savedAgain.Groups, memory.Groups)
	}
	for i, m := range memory.Members {
		if savedAgain.Members[i] != m {
			t.Errorf("member %+v, want %+v", savedAgain.Members[i], m)
		}
	}
	if savedAgain.OpTypes[anyRead] != memory.OpTypes[anyRead] || memory.OpTypes[anyRead].Typical == testOpening().OpTypes[anyRead].LatencyTarget/3 {
		t.Errorf("op types %+v, want %+v", savedAgain.OpTypes, memory.OpTypes)
	}
	restarted.step(Event{Kind: EvRecall, Memory: &Memory{OpTypes: make([]TypeMemory, 99), Groups: []GroupMemory{{Group: 77, Primary: "p"}},
		Members: []MemberMemory{{Member: "nobody"}}}})
	restarted.want(!math.IsNaN(restarted.driver.opTypes[0].meanLatency) && restarted.driver.opTypes[0].meanLatency > 0,
		"memory of unknown op types, groups and members ignored")
}

// Gossip and jitter follow the number of drivers: a single driver sends no messages, and a large fleet spreads its actions.
func TestGossipAndJitterFollowNumberOfDrivers(t *testing.T) {
	opening := testOpening()
	opening.MayMessage, opening.Drivers = true, 1
	messagesSent := func(f *fixture) (n int) {
		f.allActions = nil
		for i := range 20 {
			id := string(rune('a' + i))
			f.submit(id, anyRead, 1000)
			f.answer(id, target(f.allActions, id), OK, Replica, f.now-10)
			f.wait(50)
		}
		return count(f.allActions, ActMessage, "")
	}
	f := newFixture(t, opening)
	f.want(messagesSent(f) == 0, "no messages from a single driver")
	f.step(Event{Kind: EvDrivers, Drivers: 3})
	f.want(messagesSent(f) > 0, "messages of one of three drivers")
	meanJitteredPause := func() (sum float64) {
		for range 200 {
			sum += f.driver.jitter(100) - f.now
		}
		return sum / 200
	}
	smallFleetPause := meanJitteredPause()
	f.step(Event{Kind: EvDrivers, Drivers: 300})
	f.want(meanJitteredPause() > 20*smallFleetPause, "more than 20 times the jitter with 300 drivers")
	f.step(Event{Kind: EvDrivers, Drivers: 1})
	f.want(messagesSent(f) == 0 && meanJitteredPause() <= smallFleetPause, "no messages and the jitter as before with a single driver again")
}
