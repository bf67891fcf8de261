package logic

import (
	"fmt"
	"testing"
)

// The ordinary path: a drain mark empties the slot, writes wait, probes go out at once, the first member that
// answers as primary gets them.
func TestDrainEmptiesTheSlotAndHoldsWrites(t *testing.T) {
	o := opening()
	o.Drivers = 1
	r := start(t, o)
	r.want(r.op("w1", once, 2000) == "p", "the first write at the listed primary")
	r.step(members(ListChanges, "p-"))
	r.want(count(r.acts, ActProbe, "") == 2, "both other members probed at once")
	r.want(r.op("w2", once, 2000) == "", "a write held while the slot is empty")
	r.now += 20
	r.step(Event{Kind: EvProbed, Member: "r", Outcome: OK, Took: 2, Report: Sight{Replica, r.now}},
		Event{Kind: EvProbed, Member: "s", Outcome: OK, Took: 2, Report: Sight{Primary, r.now}})
	r.want(to(r.acts, "w2") == "s", "the held write released to the new primary")
	r.want(count(r.all, ActSend, "w1") == 1, "no second send of a write that may have run")
}

func TestMissEmptiesAndTheWriteJoinsTheHeld(t *testing.T) {
	r := start(t, opening())
	r.op("w", once, 2000)
	r.now += 5
	r.answer("w", "p", Miss, Replica, r.now)
	r.want(count(r.acts, ActSend, "") == 0, "the write held, not sent elsewhere blindly")
	r.now += 5
	r.step(Event{Kind: EvProbed, Member: "r", Outcome: OK, Report: Sight{Primary, r.now}})
	r.want(to(r.acts, "w") == "r", "the write at the member that answers as primary")
}

// The margin of a held write that was never written to a member is over half its time: refused later, its client would have no time
// to ask again. One that was sent and missed is held up to the deadline.
func TestHeldWriteIsRefusedUnsentBeforeItsDeadline(t *testing.T) {
	r := start(t, opening())
	r.op("m", once, 800)
	r.answer("m", "p", Miss, Replica, 0)
	r.op("w", once, 800)
	r.wait(345)
	r.want(count(r.all, ActRefuse, "w") == 0, "the write still held")
	r.wait(20)
	r.want(count(r.all, ActRefuse, "w") == 1 && count(r.all, ActSend, "w") == 0, "one busy reply, no send")
	r.wait(410)
	r.want(count(r.all, ActRefuse, "m") == 0, "the write that met a miss still held")
	r.wait(25)
	r.want(count(r.all, ActRefuse, "m") == 1 && count(r.all, ActSend, "m") == 1, "one busy reply, no second send")
	r = start(t, opening())
	r.wait(400)
	r.op("c", once, 800)
	r.answer("c", "p", ConnectFailed, RoleUnknown, 0)
	r.wait(370)
	r.want(count(r.all, ActRefuse, "c") == 1, "one that found no connection refused as early")
}

// Evidence has an age: a report from before the emptying, and an answer that carries no position and was
// asked for before it, must not bring the old primary back.
func TestOldEvidenceDoesNotRefill(t *testing.T) {
	r := start(t, opening())
	r.op("w", once, 2000)
	r.op("v", fresh, 1000)
	asked := r.now
	r.now += 50
	r.answer("w", "p", Miss, Replica, 0)
	r.now += 5
	r.step(Event{Kind: EvProbed, Member: "p", Outcome: OK, Took: 1, Report: Sight{Primary, asked + 10}})
	r.answer("v", "p", Fault, Primary, 0)
	r.want(r.d.groups[0].Holder == nil, "the slot still empty")
	r.step(Event{Kind: EvProbed, Member: "p", Outcome: OK, Took: 1, Report: Sight{Primary, r.now}})
	r.want(r.d.groups[0].Holder == r.d.members["p"], "newer evidence fills it")
}

// A hung primary sends no miss. Silence empties the slot; what may have run stays where rule 2 leaves it.
func TestSilenceEmptiesTheSlot(t *testing.T) {
	r := start(t, opening())
	r.op("w0", once, 2000)
	r.op("w1", once, 2000)
	r.op("k", token, 5000)
	r.wait(900)
	r.want(r.d.groups[0].Holder == nil, "the slot empty after long silence")
	r.step(Event{Kind: EvProbed, Member: "s", Outcome: OK, Report: Sight{Primary, r.now}})
	r.wait(600)
	r.want(count(r.all, ActSend, "w0") == 1, "the non-retryable write not sent again")
	r.want(count(r.all, ActSend, "k") == 2, "the tokened write sent to the new primary within its window")
	r.now += 2500
	r.step()
	r.want(!r.d.allowed(r.d.ops["k"], r.d.members["r"]), "no send of it after the window")
}

// One lost answer among others is no silence: the member still speaks.
func TestSlowOpIsNoSilence(t *testing.T) {
	r := start(t, opening())
	r.op("slow", once, 2000)
	for i := range 30 {
		id := fmt.Sprint("w", i)
		r.op(id, once, 2000)
		r.wait(40)
		r.answer(id, "p", OK, Primary, r.now)
	}
	r.want(r.d.groups[0].Holder == r.d.members["p"], "the slot kept")
}

// Where members answer from whatever they have, the driver alone keeps stale reads out.
func TestBoundedReadsGoOnlyWhereFreshEnough(t *testing.T) {
	o := opening()
	o.Checks = ChecksNone
	r := start(t, o)
	r.want(r.op("b0", bounded, 1000) == "p", "a read at the primary while no position is known")
	r.op("a", anyRead, 1200)
	m := to(r.all, "a")
	r.now += 20
	r.answer("a", m, OK, Replica, r.now-10)
	r.want(r.op("b1", bounded, 1000) == m, "a read at the replica known to be fresh")
	r.now += 250
	r.want(r.op("b2", bounded, 1000) == "p", "the primary once that position is too old")
	r.step(members(ListChanges, "p-"))
	r.want(r.op("b3", bounded, 1000) == "", "a read held when there is neither")
}

// Full replies used to be tried again at every tick, up to 18 sends an op.
func TestFullMemberIsLeftAlone(t *testing.T) {
	r := start(t, opening())
	for i := range 100 {
		id := fmt.Sprint("a", i)
		if m := r.op(id, anyRead, 1200); m != "" {
			r.now++
			r.answer(id, m, Full, RoleUnknown, 0)
		}
	}
	r.wait(50)
	r.want(count(r.all, ActSend, "") < 60, "few sends to members that reply full")
}

// A read without room is refused early: just before its target the client's next try could only be late.
func TestReadWithoutRoomIsRefusedEarly(t *testing.T) {
	r := start(t, opening())
	for i := range 40 {
		r.op(fmt.Sprint("a", i), anyRead, 1200)
	}
	r.wait(60)
	r.want(count(r.all, ActRefuse, "") > 10, "reads without room refused within a fifth of the target")
}

// After an outage an op that can still be in time goes before those that cannot.
func TestReleasePutsTimelyOpsFirst(t *testing.T) {
	r := start(t, opening())
	r.step(members(ListChanges, "p-"))
	for i := range 20 {
		r.op(fmt.Sprint("old", i), token, 5000)
	}
	r.wait(800)
	r.op("new", token, 5000)
	r.step(Event{Kind: EvProbed, Member: "s", Outcome: OK, Report: Sight{Primary, r.now}})
	r.want(to(r.acts, "new") == "s", "the new op released at once")
	r.want(count(r.acts, ActSend, "") < 20, "the rest paced, not let go at once")
}

// When every member slows down alike, windows keep to what was out before and nobody is set aside.
func TestSharedSlowdownKeepsWindowsOpen(t *testing.T) {
	r := start(t, opening())
	run := func(took float64, rounds int) {
		for i := range rounds {
			var ids, at []string
			for j := range 4 {
				id := fmt.Sprint(r.now, i, j)
				if m := r.op(id, anyRead, 1200); m != "" {
					ids, at = append(ids, id), append(at, m)
				}
			}
			r.wait(took)
			for j, id := range ids {
				r.answer(id, at[j], OK, Replica, r.now)
			}
		}
	}
	run(40, 150)
	run(150, 60)
	for _, m := range r.d.groups[0].members[1:] {
		r.want(!m.aside && m.window >= 1.5, fmt.Sprintf("%s in use with a window, has %.1f", m.id, m.window))
	}
}

// The budget of a cold member holds whatever the load: all drivers together must stay under the multiple.
func TestColdMemberGetsLittle(t *testing.T) {
	r := start(t, opening())
	r.step(members(ListChanges, "s+"))
	sent := map[string]int{}
	for i := range 300 {
		id := fmt.Sprint("a", i)
		m := r.op(id, anyRead, 1200)
		sent[m]++
		r.wait(5)
		if m != "" {
			r.answer(id, m, OK, Replica, r.now)
		}
	}
	r.want(sent["s"]*3 < sent["r"], fmt.Sprintf("the cold one with far less, has %v", sent))
}

func TestErrorsSetAsideAndPeersBringBack(t *testing.T) {
	r := start(t, opening())
	for i := range 40 {
		id := fmt.Sprint("a", i)
		m := r.op(id, anyRead, 1200)
		r.now += 20
		if m == "r" {
			r.answer(id, m, Fault, Replica, r.now)
		}
		m = to(r.acts, id) // where it went next
		if m != "" && m != "r" {
			r.answer(id, m, OK, Replica, r.now)
		}
		r.wait(5)
	}
	m := r.d.members["r"]
	r.want(m.aside, "a member that fails everything set aside")
	r.now += 5000
	e := word(m, tellGood, 0, 0)
	r.step(e)
	r.want(!m.aside, "it back on a peer's word of good answers")
	r.step(Event{Kind: EvMessage, Data: e.Data[:entryBytes-1]}, Event{Kind: EvMessage})
}

// Some ops fail at every member. They must cost neither members nor many sends.
func TestErrorsThatFollowTheOpBlameNoMember(t *testing.T) {
	r := start(t, opening())
	for i := range 60 {
		id := fmt.Sprint("a", i)
		for m := r.op(id, anyRead, 1200); m != ""; m = to(r.acts, id) {
			r.answer(id, m, Fault, Replica, r.now)
		}
		r.wait(5)
	}
	r.want(count(r.all, ActSend, "") <= 120, "two sends an op at most")
	for _, m := range r.d.groups[0].members {
		r.want(!m.aside && m.errors == 0, m.id+" in use")
	}
}

// Where probes tell no role, one held write at a time looks for the primary: a miss proves it did not run.
func TestOneHeldWriteLooksForThePrimary(t *testing.T) {
	o := opening()
	o.ReportsByProbe, o.Checks = false, ChecksNone
	r := start(t, o)
	r.op("w1", once, 2000)
	r.answer("w1", "p", Miss, Replica, 0)
	r.op("w2", once, 2000)
	r.wait(300)
	r.want(count(r.all, ActSend, "w1")+count(r.all, ActSend, "w2") == 2, "one further send of the two")
	r.want(count(r.all, ActFail, "") == 0, "nobody given up")
	r.want(count(r.all, ActProbe, "") == 0, "no probe that could tell nothing")
}

// Discovery that must be asked is asked at the start and again, later and later, after a failure.
func TestWatchIsRenewedAfterFailures(t *testing.T) {
	o := opening()
	o.ListOnRequest = true
	r := start(t, o)
	r.want(count(r.all, ActWatch, "") == 1, "a watch at the start")
	for i := 2; i < 6; i++ {
		r.step(Event{Kind: EvMembers, List: ListFailed})
		r.wait(6000)
		r.want(count(r.all, ActWatch, "") == i, "one more watch after a failure")
	}
}

// Session reads where the driver must remember commits itself.
func TestSessionReadsSeeRememberedWrites(t *testing.T) {
	o := opening()
	o.SessionCarried, o.Checks = false, ChecksNone
	r := start(t, o)
	r.op("w", once, 2000)
	r.now += 30
	r.answer("w", "p", OK, Primary, r.now)
	r.want(r.op("s1", session, 1000) == "p", "a read at the primary while no replica is known to have the write")
	r.op("a", anyRead, 1000)
	m := to(r.all, "a")
	r.answer("a", m, OK, Replica, r.now+1)
	r.want(r.op("s2", session, 1000) == m, "a read at a replica that has it")
}

// A replica that falls behind under load has too much work, even if it answers as quickly as ever.
func TestReplicaThatFallsBehindGetsLess(t *testing.T) {
	r := start(t, opening())
	for i := range 200 {
		id := fmt.Sprint("a", i)
		if m := r.op(id, anyRead, 1200); m != "" {
			r.wait(5)
			lag := 10.0
			if m == "s" {
				lag = 900
			}
			r.answer(id, m, OK, Replica, r.now-lag)
		}
	}
	behind, well := r.d.members["s"], r.d.members["r"]
	r.want(behind.late > 1.1 && well.late < 0.5, fmt.Sprintf("s over its easy times, has %.2f", behind.late))
}

// word is what a peer tells of a member.
func word(m *member, flags byte, ease float64, position float64) Event {
	p := uint32(position) % tellRange
	return Event{Kind: EvMessage, Data: []byte{byte(m.hash >> 16), byte(m.hash >> 8), byte(m.hash),
		flags | byte(ease*easeStep)<<easeShift, byte(p >> 16), byte(p >> 8), byte(p)}}
}

// crowd opens n drivers of one fleet with seeds of their own.
func crowd(t *testing.T, n int) []*rig {
	var rigs []*rig
	for i := range n {
		o := opening()
		o.Drivers, o.MayMessage, o.Seed = n, true, uint64(i+1)*0x9E3779B97F4A7C15
		rigs = append(rigs, start(t, o))
	}
	return rigs
}

// 327 drivers probed every member each second, of which members let 64 through.
func TestFewOfManyDriversProbeAtATime(t *testing.T) {
	probes := 0
	for _, r := range crowd(t, 300) {
		r.step(members(ListChanges, "p-"))
		probes += count(r.all, ActProbe, "")
	}
	if probes < 8 || probes > 40 {
		t.Errorf("%d probes by 300 drivers at 2 members, want about 16", probes)
	}
}

// News kept until the gap was over was told by all who had some at once.
func TestMemberIsToldOfOnceAGap(t *testing.T) {
	r := crowd(t, 30)[0]
	r.wait(500)
	r.op("a", anyRead, 1200)
	m := r.d.members[to(r.all, "a")]
	r.step(word(m, tellGood, 0.5, r.now-10))
	r.answer("a", m.id, OK, Replica, r.now)
	before := count(r.all, ActMessage, "")
	r.wait(200)
	r.want(count(r.all, ActMessage, "") == before, "no word of a member that a peer has just told of")
	for range 20000 {
		r.step(word(m, tellGood, 0.5, r.now-10))
	}
	r.wait(1000)
	r.want(r.d.tellGap > 1.3*r.d.tellLeast, "longer gaps while too many words come")
}

// Full credits at many drivers together pushed a new member over.
func TestColdMemberIsNotRushedByMany(t *testing.T) {
	sent := 0
	for _, r := range crowd(t, 90) {
		r.d.groups[0].rate, r.d.groups[0].flow, r.d.types[anyRead].took = 0.1, 0.1, r.d.types[0].took
		r.step(members(ListChanges, "s+"))
		for i := range 15 {
			id := fmt.Sprint("a", i)
			m := r.op(id, anyRead, 1200)
			if m == "s" {
				sent++
			}
			if r.wait(100); m != "" {
				r.answer(id, m, OK, Replica, r.now)
			}
		}
	}
	if sent == 0 || sent > 60 {
		t.Errorf("%d of 1350 reads at the member that has just started, want some and few", sent)
	}
}

// A driver that stood still must not read its own pause as the members' silence, nor learn from its length.
func TestOwnPauseIsNobodysSilence(t *testing.T) {
	r := start(t, opening())
	r.wait(50)
	m := r.op("a", anyRead, 1200)
	r.op("w", once, 2000)
	took := r.d.types[anyRead].took
	r.now += 700
	r.step(Event{Kind: EvTimer}, Event{Kind: EvAnswer, Op: "a", Member: m, Outcome: OK, Closed: true,
		Note: Sight{Replica, r.now}})
	r.want(r.d.groups[0].Holder == r.d.members["p"] && !r.d.members["p"].aside, "the primary kept")
	r.want(r.d.types[anyRead].took == took, "usual times as before")
}

// A refused connection is no verdict on a member that serves on others; one that nobody hears from is dead.
func TestRefusedConnection(t *testing.T) {
	r := start(t, opening())
	r.op("w1", once, 2000)
	r.answer("w1", "p", OK, Primary, r.now)
	r.op("w2", once, 2000)
	r.answer("w2", "p", ConnectFailed, RoleUnknown, 0)
	r.want(r.d.groups[0].Holder == r.d.members["p"], "the slot kept")
	r.wait(400)
	r.want(to(r.all, "w2") == "p" && count(r.all, ActSend, "w2") == 2, "the write sent again")
	r.wait(400)
	r.answer("w2", "p", ConnectFailed, RoleUnknown, 0)
	r.want(r.d.groups[0].Holder == nil, "the slot empty")
}

// A peer's word of silence counts only where nobody heard from the member.
func TestWordOfSilence(t *testing.T) {
	r := crowd(t, 30)[0]
	m := r.d.members["p"]
	r.wait(1000)
	r.step(word(m, tellGood, 0.5, r.now-10))
	r.step(word(m, tellSilent, 0, 0))
	r.want(r.d.groups[0].Holder == m, "the slot kept, a peer has just heard from it")
	r.wait(1000)
	r.step(word(m, tellSilent, 0, 0))
	r.want(r.d.groups[0].Holder == nil && m.aside, "the slot emptied on a peer's word")
	r.want(count(r.acts, ActMessage, "") == 0, "which is not told on")
}

// What many drivers know alike must not make them act as one; and a slow primary gets a share of the writes.
func TestManyDriversSpreadAndHoldBack(t *testing.T) {
	at, writes := map[string]int{}, 0
	for _, r := range crowd(t, 90) {
		for i := range 60 {
			r.now += 20
			r.step(word(r.d.members["r"], tellGood, 0.5, r.now), word(r.d.members["s"], tellGood, 1, r.now),
				word(r.d.members["p"], tellGood, 5, r.now), Event{Kind: EvTimer})
			if i == 59 {
				at[r.op("a", anyRead, 1200)]++
				if r.op("w", once, 2000) != "" {
					writes++
				}
			}
		}
	}
	if at["r"] < at["s"] || at["s"] < 15 {
		t.Errorf("reads %v, want both replicas used, the quicker one more", at)
	}
	if writes < 20 || writes > 75 {
		t.Errorf("%d of 90 writes at a primary four times over its easy times, want a share", writes)
	}
}

// Where only draining binds, a list that calls everything gone stops nothing.
func TestWrongListStopsNothing(t *testing.T) {
	o := opening()
	o.OnlyDrainBinds = true
	r := start(t, o)
	r.step(Event{Kind: EvMembers, List: ListFull})
	r.want(r.op("w", once, 2000) == "p" && r.op("a", anyRead, 1200) != "", "write and read sent as before")
	r.step(members(ListFull, "p", "r", "s"))
	r.want(r.op("w2", once, 2000) == "p", "the slot as before when the true list is back")
}

// Reads held through an outage were let go together and came too late to be of use.
func TestReadThatCanNoLongerBeInTimeIsGivenUp(t *testing.T) {
	o := opening()
	o.Checks = ChecksNone
	r := start(t, o)
	r.step(members(ListChanges, "p-"))
	r.op("b", bounded, 1000)
	r.wait(100)
	r.want(count(r.all, ActRefuse, "b") == 0, "the read held while it can be in time")
	r.wait(100)
	r.want(count(r.all, ActRefuse, "b") == 1 && count(r.all, ActSend, "b") == 0, "refused before its latency target")
}

// Members that had died were back before the list said so, and were sent a full share while cold.
func TestReturnAfterBrokenConnectionsIsCold(t *testing.T) {
	for _, out := range []Outcome{Reset, Fault} {
		r := start(t, opening())
		m := r.d.members[r.op("a", anyRead, 1200)]
		m.cuts = cutsLimit - 1
		r.answer("a", m.id, out, RoleUnknown, 0)
		if out == Fault {
			r.d.setAside(m, 0, "errors")
		}
		r.wait(400)
		r.d.welcome(m, "answers")
		r.want((r.d.warmth(m) < 1) == (out == Reset), fmt.Sprint("cold only after a cut, outcome ", out))
	}
	for _, opened := range []float64{0, 100050, 100450} { // a connection from before tells that it did not start again
		r := start(t, opening())
		p := r.d.members["p"]
		r.op("w", once, 900)
		r.d.setAside(p, tellSilent|tellCut, "connection")
		r.wait(400)
		r.d.welcome(p, "peer")
		r.step(Event{Kind: EvAnswer, Op: "w", Member: "p", Outcome: OK, Closed: true, Opened: opened})
		r.want((r.d.warmth(p) < 1) == (opened != 100050), fmt.Sprint("cold unless its connection is old, opened ", opened))
	}
}

// Connections that break are not their member's end: the primary keeps its slot unless one is refused, or
// three break in a row with no answer between and nothing is out there any more.
func TestBrokenConnectionsAreNotTheMembersEnd(t *testing.T) {
	r := start(t, opening())
	for _, id := range []string{"a", "b", "c"} {
		r.op(id, once, 1000)
	}
	for _, id := range []string{"a", "b", "c"} {
		r.want(!r.d.members["p"].aside, "the primary in use while a send is out there")
		r.answer(id, "p", Reset, RoleUnknown, 0)
	}
	r.want(r.d.members["p"].aside && r.d.groups[0].Holder == nil, "the primary set aside as all broke")
	r = start(t, opening())
	r.wait(400)
	r.op("a", once, 1000)
	r.answer("a", "p", ConnectFailed, RoleUnknown, 0)
	r.want(r.d.members["p"].aside, "a primary not heard of lately set aside as it refused")
	r = start(t, opening())
	for i, out := range []Outcome{Reset, Reset, OK, Reset, Reset, Reset} {
		id := fmt.Sprint(i)
		r.want(r.op(id, once, 1000) == "p", "the write at the primary")
		r.answer(id, "p", out, Primary, r.now)
		r.wait(300)
	}
	r.want(r.d.members["p"].aside && r.d.groups[0].Holder == nil, "the primary set aside after three cuts in a row")
}

// Members that are replaced without end leave nothing behind, but not before late news of them has come in: one
// with a send out stays, and one that comes back is a new one, cold as the list says.
func TestMembersLongGoneAreForgotten(t *testing.T) {
	r := start(t, opening())
	r.op("w", once, 60000)
	r.step(members(ListChanges, "p-"), members(ListChanges, "px"))
	for i := range 200 {
		r.step(members(ListFull, "r", "s", string(rune('A'+i%100))))
		r.wait(200)
		r.want(r.d.members["p"] != nil, "a member with a send out still known")
		if n := len(r.d.members); n > 60 || len(r.d.groups[0].members) != n || len(r.d.byHash) != n {
			t.Fatalf("%d members known, %d in the group", n, len(r.d.groups[0].members))
		}
	}
	r.answer("w", "p", OK, Primary, r.now)
	r.wait(10)
	r.want(r.d.members["p"] == nil, "the member forgotten once its send is over")
	r.step(members(ListFull, "r", "s", "p+"))
	r.now += 5
	r.step(Event{Kind: EvProbed, Member: "p", Outcome: OK, Report: Sight{Primary, r.now}})
	r.want(r.op("v", once, 900) == "p" && r.d.members["p"].started == 100000, "the member that came back, with its start")
}

// A send whose connection fell silent is not in flight any more once others, later ones, have been answered there
// for long, and its end is not a slow answer; while nothing is answered, all of them count.
func TestLostSendsDoNotCountAsInFlight(t *testing.T) {
	r := start(t, opening())
	r.op("lost", once, 2000)
	p := r.d.members["p"]
	r.wait(60)
	r.want(p.inFlight == 1, "the send in flight")
	for i := range 80 {
		id := fmt.Sprint(i)
		r.op(id, once, 2000)
		r.wait(15)
		r.answer(id, "p", OK, Primary, r.now)
	}
	r.want(p.inFlight == 0 && !p.aside, "the lost send not in flight")
	before := p.late
	r.step(Event{Kind: EvAnswer, Op: "lost", Outcome: TimedOut})
	r.want(p.inFlight == 0 && p.late == before, "its end no slow answer")
}

// Many drivers that can't tell each other what they find: each probes for itself, and only once an op of its own
// waits for the slot; then all members at once.
func TestMuteFleetProbesOnlyForWhatWaits(t *testing.T) {
	o := opening()
	o.Drivers = 300
	r := start(t, o)
	r.want(r.op("w1", once, 2000) == "p", "the first write at the listed primary")
	r.step(members(ListChanges, "p-"))
	r.want(count(r.acts, ActProbe, "") == 0, "nothing probed while nothing waits")
	r.now += 50
	r.step(Event{Kind: EvTimer})
	r.want(count(r.acts, ActProbe, "") == 0, "nor on the sweep")
	r.want(r.op("w2", once, 2000) == "", "a write held while the slot is empty")
	r.now += 5
	r.step(Event{Kind: EvTimer})
	r.want(count(r.acts, ActProbe, "") == 2, "both other members probed once a write waits")
	r.now += 20
	r.step(Event{Kind: EvProbed, Member: "s", Outcome: OK, Took: 2, Report: Sight{Primary, r.now}})
	r.want(to(r.acts, "w2") == "s", "the held write released to the new primary")
}
