package logic

import (
	"fmt"
	"testing"
)

// The ordinary path: a drain mark empties the slot, writes wait, probes go out at once, the first member that
// answers as primary gets them.
func TestDrainEmptiesTheSlotAndQueuesWrites(t *testing.T) {
	o := testOpening()
	o.Drivers = 1
	r := newFixture(t, o)
	r.want(r.submit("w1", writeOnce, 2000) == "p", "the first write at the listed primary")
	r.step(memberList(ListChanges, "p-"))
	r.want(count(r.lastActions, ActProbe, "") == 2, "both other members probed at once")
	r.want(r.submit("w2", writeOnce, 2000) == "", "a write held while the slot is empty")
	r.now += 20
	r.step(Event{Kind: EvProbed, Member: "r", Outcome: OK, Took: 2, Report: Sight{Replica, r.now}},
		Event{Kind: EvProbed, Member: "s", Outcome: OK, Took: 2, Report: Sight{Primary, r.now}})
	r.want(target(r.lastActions, "w2") == "s", "the held write released to the new primary")
	r.want(count(r.allActions, ActSend, "w1") == 1, "no second send of a write that may have run")
}

func TestMissEmptiesTheSlotAndQueuesTheWrite(t *testing.T) {
	r := newFixture(t, testOpening())
	r.submit("w", writeOnce, 2000)
	r.now += 5
	r.answer("w", "p", Miss, Replica, r.now)
	r.want(count(r.lastActions, ActSend, "") == 0, "the write held, not sent elsewhere blindly")
	r.now += 5
	r.step(Event{Kind: EvProbed, Member: "r", Outcome: OK, Report: Sight{Primary, r.now}})
	r.want(target(r.lastActions, "w") == "r", "the write at the member that answers as primary")
}

// The margin of a held write that was never written to a member is over half its time: refused later, its client would have no time
// to ask again. One that was sent and missed is held up to the deadline.
func TestUnsentQueuedWriteIsRefusedBeforeItsDeadline(t *testing.T) {
	r := newFixture(t, testOpening())
	r.submit("m", writeOnce, 800)
	r.answer("m", "p", Miss, Replica, 0)
	r.submit("w", writeOnce, 800)
	r.wait(345)
	r.want(count(r.allActions, ActRefuse, "w") == 0, "the write still held")
	r.wait(20)
	r.want(count(r.allActions, ActRefuse, "w") == 1 && count(r.allActions, ActSend, "w") == 0, "one busy reply, no send")
	r.wait(410)
	r.want(count(r.allActions, ActRefuse, "m") == 0, "the write that met a miss still held")
	r.wait(25)
	r.want(count(r.allActions, ActRefuse, "m") == 1 && count(r.allActions, ActSend, "m") == 1, "one busy reply, no second send")
	r = newFixture(t, testOpening())
	r.wait(400)
	r.submit("c", writeOnce, 800)
	r.answer("c", "p", ConnectFailed, RoleUnknown, 0)
	r.wait(370)
	r.want(count(r.allActions, ActRefuse, "c") == 1, "one that found no connection refused as early")
}

// Evidence has an age: a report from before the emptying, and an answer that carries no position and was
// asked for before it, must not bring the old primary back.
func TestOldEvidenceDoesNotRefill(t *testing.T) {
	r := newFixture(t, testOpening())
	r.submit("w", writeOnce, 2000)
	r.submit("v", freshRead, 1000)
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
	r := newFixture(t, testOpening())
	r.submit("w0", writeOnce, 2000)
	r.submit("w1", writeOnce, 2000)
	r.submit("k", token, 5000)
	r.wait(900)
	r.want(r.d.groups[0].Holder == nil, "the slot empty after long silence")
	r.step(Event{Kind: EvProbed, Member: "s", Outcome: OK, Report: Sight{Primary, r.now}})
	r.wait(600)
	r.want(count(r.allActions, ActSend, "w0") == 1, "the non-retryable write not sent again")
	r.want(count(r.allActions, ActSend, "k") == 2, "the tokened write sent to the new primary within its window")
	r.now += 2500
	r.step()
	r.want(!r.d.maySend(r.d.ops["k"], r.d.members["r"]), "no send of it after the window")
}

// One lost answer among others is no silence: the member still speaks.
func TestOneSlowOpDoesNotEjectAMember(t *testing.T) {
	r := newFixture(t, testOpening())
	r.submit("slow", writeOnce, 2000)
	for i := range 30 {
		id := fmt.Sprint("w", i)
		r.submit(id, writeOnce, 2000)
		r.wait(40)
		r.answer(id, "p", OK, Primary, r.now)
	}
	r.want(r.d.groups[0].Holder == r.d.members["p"], "the slot kept")
}

// Where members answer from whatever they have, the driver alone keeps stale reads out.
func TestBoundedReadsGoOnlyWhereFreshEnough(t *testing.T) {
	o := testOpening()
	o.Checks = ChecksNone
	r := newFixture(t, o)
	r.want(r.submit("b0", boundedRead, 1000) == "p", "a read at the primary while no position is known")
	r.submit("a", anyRead, 1200)
	m := target(r.allActions, "a")
	r.now += 20
	r.answer("a", m, OK, Replica, r.now-10)
	r.want(r.submit("b1", boundedRead, 1000) == m, "a read at the replica known to be fresh")
	r.now += 250
	r.want(r.submit("b2", boundedRead, 1000) == "p", "the primary once that position is too old")
	r.step(memberList(ListChanges, "p-"))
	r.want(r.submit("b3", boundedRead, 1000) == "", "a read held when there is neither")
}

// Full replies used to be tried again at every tick, up to 18 sends an op.
func TestFullMemberGetsFewRetries(t *testing.T) {
	r := newFixture(t, testOpening())
	for i := range 100 {
		id := fmt.Sprint("a", i)
		if m := r.submit(id, anyRead, 1200); m != "" {
			r.now++
			r.answer(id, m, Full, RoleUnknown, 0)
		}
	}
	r.wait(50)
	r.want(count(r.allActions, ActSend, "") < 60, "few sends to members that reply full")
}

// A read without room is refused early: just before its target the client's next try could only be late.
func TestReadWithoutCapacityIsRefusedEarly(t *testing.T) {
	r := newFixture(t, testOpening())
	for i := range 40 {
		r.submit(fmt.Sprint("a", i), anyRead, 1200)
	}
	r.wait(60)
	r.want(count(r.allActions, ActRefuse, "") > 10, "reads without room refused within a fifth of the target")
}

// After an outage an op that can still be in time goes before those that cannot.
func TestQueuedTimelyOpsAreSentFirst(t *testing.T) {
	r := newFixture(t, testOpening())
	r.step(memberList(ListChanges, "p-"))
	for i := range 20 {
		r.submit(fmt.Sprint("old", i), token, 5000)
	}
	r.wait(800)
	r.submit("new", token, 5000)
	r.step(Event{Kind: EvProbed, Member: "s", Outcome: OK, Report: Sight{Primary, r.now}})
	r.want(target(r.lastActions, "new") == "s", "the new op released at once")
	r.want(count(r.lastActions, ActSend, "") < 20, "the rest paced, not let go at once")
}

// When every member slows down alike, windows keep to what was out before and nobody is set aside.
func TestSharedSlowdownKeepsWindowsOpen(t *testing.T) {
	r := newFixture(t, testOpening())
	runReads := func(latency float64, rounds int) {
		for i := range rounds {
			var ids, targets []string
			for j := range 4 {
				id := fmt.Sprint(r.now, i, j)
				if m := r.submit(id, anyRead, 1200); m != "" {
					ids, targets = append(ids, id), append(targets, m)
				}
			}
			r.wait(latency)
			for j, id := range ids {
				r.answer(id, targets[j], OK, Replica, r.now)
			}
		}
	}
	runReads(40, 150)
	runReads(150, 60)
	for _, m := range r.d.groups[0].members[1:] {
		r.want(!m.ejected && m.window >= 1.5, fmt.Sprintf("%s in use with a window, has %.1f", m.id, m.window))
	}
}

// The budget of a cold member holds whatever the load: all drivers together must stay under the multiple.
func TestColdMemberGetsReducedLoad(t *testing.T) {
	r := newFixture(t, testOpening())
	r.step(memberList(ListChanges, "s+"))
	sent := map[string]int{}
	for i := range 300 {
		id := fmt.Sprint("a", i)
		m := r.submit(id, anyRead, 1200)
		sent[m]++
		r.wait(5)
		if m != "" {
			r.answer(id, m, OK, Replica, r.now)
		}
	}
	r.want(sent["s"]*3 < sent["r"], fmt.Sprintf("the cold one with far less, has %v", sent))
}

func TestErrorsEjectAndPeersReadmit(t *testing.T) {
	r := newFixture(t, testOpening())
	for i := range 40 {
		id := fmt.Sprint("a", i)
		m := r.submit(id, anyRead, 1200)
		r.now += 20
		if m == "r" {
			r.answer(id, m, Fault, Replica, r.now)
		}
		m = target(r.lastActions, id) // where it went next
		if m != "" && m != "r" {
			r.answer(id, m, OK, Replica, r.now)
		}
		r.wait(5)
	}
	m := r.d.members["r"]
	r.want(m.ejected, "a member that fails everything set aside")
	r.now += 5000
	message := gossipMessage(m, flagGood, 0, 0)
	r.step(message)
	r.want(!m.ejected, "it back on a peer's word of good answers")
	r.step(Event{Kind: EvMessage, Data: message.Data[:entryBytes-1]}, Event{Kind: EvMessage})
}

// Some ops fail at every member. They must cost neither members nor many sends.
func TestErrorsCausedByTheOpEjectNoMember(t *testing.T) {
	r := newFixture(t, testOpening())
	for i := range 60 {
		id := fmt.Sprint("a", i)
		for m := r.submit(id, anyRead, 1200); m != ""; m = target(r.lastActions, id) {
			r.answer(id, m, Fault, Replica, r.now)
		}
		r.wait(5)
	}
	r.want(count(r.allActions, ActSend, "") <= 120, "two sends an op at most")
	for _, m := range r.d.groups[0].members {
		r.want(!m.ejected && m.errorRate == 0, m.id+" in use")
	}
}

// Where probes tell no role, one held write at a time looks for the primary: a miss proves it did not run.
func TestOneQueuedWriteAtATimeTriesMembersAsPrimary(t *testing.T) {
	o := testOpening()
	o.ReportsByProbe, o.Checks = false, ChecksNone
	r := newFixture(t, o)
	r.submit("w1", writeOnce, 2000)
	r.answer("w1", "p", Miss, Replica, 0)
	r.submit("w2", writeOnce, 2000)
	r.wait(300)
	r.want(count(r.allActions, ActSend, "w1")+count(r.allActions, ActSend, "w2") == 2, "one further send of the two")
	r.want(count(r.allActions, ActFail, "") == 0, "nobody given up")
	r.want(count(r.allActions, ActProbe, "") == 0, "no probe that could tell nothing")
}

// Discovery that must be asked is asked at the start and again, later and later, after a failure.
func TestWatchIsRenewedAfterFailures(t *testing.T) {
	o := testOpening()
	o.ListOnRequest = true
	r := newFixture(t, o)
	r.want(count(r.allActions, ActWatch, "") == 1, "a watch at the start")
	for i := 2; i < 6; i++ {
		r.step(Event{Kind: EvMembers, List: ListFailed})
		r.wait(6000)
		r.want(count(r.allActions, ActWatch, "") == i, "one more watch after a failure")
	}
}

// Session reads where the driver must remember commits itself.
func TestSessionReadsSeeRememberedWrites(t *testing.T) {
	o := testOpening()
	o.SessionCarried, o.Checks = false, ChecksNone
	r := newFixture(t, o)
	r.submit("w", writeOnce, 2000)
	r.now += 30
	r.answer("w", "p", OK, Primary, r.now)
	r.want(r.submit("s1", sessionRead, 1000) == "p", "a read at the primary while no replica is known to have the write")
	r.submit("a", anyRead, 1000)
	m := target(r.allActions, "a")
	r.answer("a", m, OK, Replica, r.now+1)
	r.want(r.submit("s2", sessionRead, 1000) == m, "a read at a replica that has it")
}

// A replica that falls behind under load has too much work, even if it answers as quickly as ever.
func TestLaggingReplicaCountsAsOverloaded(t *testing.T) {
	r := newFixture(t, testOpening())
	for i := range 200 {
		id := fmt.Sprint("a", i)
		if m := r.submit(id, anyRead, 1200); m != "" {
			r.wait(5)
			lag := 10.0
			if m == "s" {
				lag = 900
			}
			r.answer(id, m, OK, Replica, r.now-lag)
		}
	}
	lagging, current := r.d.members["s"], r.d.members["r"]
	r.want(lagging.latencyRatio > 1.1 && current.latencyRatio < 0.5, fmt.Sprintf("s over its easy times, has %.2f", lagging.latencyRatio))
}

// word is what a peer tells of a member.
func gossipMessage(m *member, flags byte, ratio float64, position float64) Event {
	positionBits := uint32(position) % positionRange
	return Event{Kind: EvMessage, Data: []byte{byte(m.hash >> 16), byte(m.hash >> 8), byte(m.hash),
		flags | byte(ratio*ratioScale)<<ratioShift, byte(positionBits >> 16), byte(positionBits >> 8), byte(positionBits)}}
}

// crowd opens n drivers of one fleet with seeds of their own.
func newFleet(t *testing.T, n int) []*fixture {
	var fixtures []*fixture
	for i := range n {
		o := testOpening()
		o.Drivers, o.MayMessage, o.Seed = n, true, uint64(i+1)*0x9E3779B97F4A7C15
		fixtures = append(fixtures, newFixture(t, o))
	}
	return fixtures
}

// 327 drivers probed every member each second, of which members let 64 through.
func TestFewDriversOfAFleetProbeAtATime(t *testing.T) {
	probes := 0
	for _, r := range newFleet(t, 300) {
		r.step(memberList(ListChanges, "p-"))
		probes += count(r.allActions, ActProbe, "")
	}
	if probes < 8 || probes > 40 {
		t.Errorf("%d probes by 300 drivers at 2 members, want about 16", probes)
	}
}

// News kept until the gap was over was told by all who had some at once.
func TestOneDriverPerIntervalGossipsAboutAMember(t *testing.T) {
	r := newFleet(t, 30)[0]
	r.wait(500)
	r.submit("a", anyRead, 1200)
	m := r.d.members[target(r.allActions, "a")]
	r.step(gossipMessage(m, flagGood, 0.5, r.now-10))
	r.answer("a", m.id, OK, Replica, r.now)
	before := count(r.allActions, ActMessage, "")
	r.wait(200)
	r.want(count(r.allActions, ActMessage, "") == before, "no word of a member that a peer has just told of")
	for range 20000 {
		r.step(gossipMessage(m, flagGood, 0.5, r.now-10))
	}
	r.wait(1000)
	r.want(r.d.gossipInterval > 1.3*r.d.minGossipInterval, "longer gaps while too many words come")
}

// Full credits at many drivers together pushed a new member over.
func TestFleetDoesNotOverloadAColdMember(t *testing.T) {
	sent := 0
	for _, r := range newFleet(t, 90) {
		r.d.groups[0].warmWorkRate, r.d.groups[0].workRate, r.d.opTypes[anyRead].meanLatency = 0.1, 0.1, r.d.opTypes[0].meanLatency
		r.step(memberList(ListChanges, "s+"))
		for i := range 15 {
			id := fmt.Sprint("a", i)
			m := r.submit(id, anyRead, 1200)
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
func TestOwnPauseIsNotMemberSilence(t *testing.T) {
	r := newFixture(t, testOpening())
	r.wait(50)
	m := r.submit("a", anyRead, 1200)
	r.submit("w", writeOnce, 2000)
	took := r.d.opTypes[anyRead].meanLatency
	r.now += 700
	r.step(Event{Kind: EvTimer}, Event{Kind: EvAnswer, Op: "a", Member: m, Outcome: OK, Closed: true,
		Note: Sight{Replica, r.now}})
	r.want(r.d.groups[0].Holder == r.d.members["p"] && !r.d.members["p"].ejected, "the primary kept")
	r.want(r.d.opTypes[anyRead].meanLatency == took, "usual times as before")
}

// A refused connection is no verdict on a member that serves on others; one that nobody hears from is dead.
func TestRefusedConnection(t *testing.T) {
	r := newFixture(t, testOpening())
	r.submit("w1", writeOnce, 2000)
	r.answer("w1", "p", OK, Primary, r.now)
	r.submit("w2", writeOnce, 2000)
	r.answer("w2", "p", ConnectFailed, RoleUnknown, 0)
	r.want(r.d.groups[0].Holder == r.d.members["p"], "the slot kept")
	r.wait(400)
	r.want(target(r.allActions, "w2") == "p" && count(r.allActions, ActSend, "w2") == 2, "the write sent again")
	r.wait(400)
	r.answer("w2", "p", ConnectFailed, RoleUnknown, 0)
	r.want(r.d.groups[0].Holder == nil, "the slot empty")
}

// A peer's word of silence counts only where nobody heard from the member.
func TestPeerReportOfSilence(t *testing.T) {
	r := newFleet(t, 30)[0]
	m := r.d.members["p"]
	r.wait(1000)
	r.step(gossipMessage(m, flagGood, 0.5, r.now-10))
	r.step(gossipMessage(m, flagSilent, 0, 0))
	r.want(r.d.groups[0].Holder == m, "the slot kept, a peer has just heard from it")
	r.wait(1000)
	r.step(gossipMessage(m, flagSilent, 0, 0))
	r.want(r.d.groups[0].Holder == nil && m.ejected, "the slot emptied on a peer's word")
	r.want(count(r.lastActions, ActMessage, "") == 0, "which is not told on")
}

// What many drivers know alike must not make them act as one; and a slow primary gets a share of the writes.
func TestFleetSpreadsReadsAndLimitsWrites(t *testing.T) {
	reads, writes := map[string]int{}, 0
	for _, r := range newFleet(t, 90) {
		for i := range 60 {
			r.now += 20
			r.step(gossipMessage(r.d.members["r"], flagGood, 0.5, r.now), gossipMessage(r.d.members["s"], flagGood, 1, r.now),
				gossipMessage(r.d.members["p"], flagGood, 5, r.now), Event{Kind: EvTimer})
			if i == 59 {
				reads[r.submit("a", anyRead, 1200)]++
				if r.submit("w", writeOnce, 2000) != "" {
					writes++
				}
			}
		}
	}
	if reads["r"] < reads["s"] || reads["s"] < 15 {
		t.Errorf("reads %v, want both replicas used, the quicker one more", reads)
	}
	if writes < 20 || writes > 75 {
		t.Errorf("%d of 90 writes at a primary four times over its easy times, want a share", writes)
	}
}

// Where only draining binds, a list that calls everything gone stops nothing.
func TestListThatLosesAllMembersStopsNothing(t *testing.T) {
	o := testOpening()
	o.OnlyDrainBinds = true
	r := newFixture(t, o)
	r.step(Event{Kind: EvMembers, List: ListFull})
	r.want(r.submit("w", writeOnce, 2000) == "p" && r.submit("a", anyRead, 1200) != "", "write and read sent as before")
	r.step(memberList(ListFull, "p", "r", "s"))
	r.want(r.submit("w2", writeOnce, 2000) == "p", "the slot as before when the true list is back")
}

// Reads held through an outage were let go together and came too late to be of use.
func TestQueuedReadIsRefusedBeforeItsLatencyTarget(t *testing.T) {
	o := testOpening()
	o.Checks = ChecksNone
	r := newFixture(t, o)
	r.step(memberList(ListChanges, "p-"))
	r.submit("b", boundedRead, 1000)
	r.wait(100)
	r.want(count(r.allActions, ActRefuse, "b") == 0, "the read held while it can be in time")
	r.wait(100)
	r.want(count(r.allActions, ActRefuse, "b") == 1 && count(r.allActions, ActSend, "b") == 0, "refused before its latency target")
}

// Members that had died were back before the list said so, and were sent a full share while cold.
func TestMemberIsColdAfterBrokenConnections(t *testing.T) {
	for _, out := range []Outcome{Reset, Fault} {
		r := newFixture(t, testOpening())
		m := r.d.members[r.submit("a", anyRead, 1200)]
		m.disconnects = disconnectLimit - 1
		r.answer("a", m.id, out, RoleUnknown, 0)
		if out == Fault {
			r.d.eject(m, 0, "errors")
		}
		r.wait(400)
		r.d.readmit(m, "answers")
		r.want((r.d.warmth(m) < 1) == (out == Reset), fmt.Sprint("cold only after a cut, outcome ", out))
	}
	for _, opened := range []float64{0, 100050, 100450} { // a connection from before tells that it did not start again
		r := newFixture(t, testOpening())
		p := r.d.members["p"]
		r.submit("w", writeOnce, 900)
		r.d.eject(p, flagSilent|flagDisconnected, "connection")
		r.wait(400)
		r.d.readmit(p, "peer")
		r.step(Event{Kind: EvAnswer, Op: "w", Member: "p", Outcome: OK, Closed: true, Opened: opened})
		r.want((r.d.warmth(p) < 1) == (opened != 100050), fmt.Sprint("cold unless its connection is old, opened ", opened))
	}
}

// Connections that break are not their member's end: the primary keeps its slot unless one is refused, or
// three break in a row with no answer between and nothing is out there any more.
func TestBrokenConnectionsAloneDoNotEject(t *testing.T) {
	r := newFixture(t, testOpening())
	for _, id := range []string{"a", "b", "c"} {
		r.submit(id, writeOnce, 1000)
	}
	for _, id := range []string{"a", "b", "c"} {
		r.want(!r.d.members["p"].ejected, "the primary in use while a send is out there")
		r.answer(id, "p", Reset, RoleUnknown, 0)
	}
	r.want(r.d.members["p"].ejected && r.d.groups[0].Holder == nil, "the primary set aside as all broke")
	r = newFixture(t, testOpening())
	r.wait(400)
	r.submit("a", writeOnce, 1000)
	r.answer("a", "p", ConnectFailed, RoleUnknown, 0)
	r.want(r.d.members["p"].ejected, "a primary not heard of lately set aside as it refused")
	r = newFixture(t, testOpening())
	for i, out := range []Outcome{Reset, Reset, OK, Reset, Reset, Reset} {
		id := fmt.Sprint(i)
		r.want(r.submit(id, writeOnce, 1000) == "p", "the write at the primary")
		r.answer(id, "p", out, Primary, r.now)
		r.wait(300)
	}
	r.want(r.d.members["p"].ejected && r.d.groups[0].Holder == nil, "the primary set aside after three cuts in a row")
}

// Members that are replaced without end leave nothing behind, but not before late news of them has come in: one
// with a send out stays, and one that comes back is a new one, cold as the list says.
func TestMembersLongGoneArePruned(t *testing.T) {
	r := newFixture(t, testOpening())
	r.submit("w", writeOnce, 60000)
	r.step(memberList(ListChanges, "p-"), memberList(ListChanges, "px"))
	for i := range 200 {
		r.step(memberList(ListFull, "r", "s", string(rune('A'+i%100))))
		r.wait(200)
		r.want(r.d.members["p"] != nil, "a member with a send out still known")
		if n := len(r.d.members); n > 60 || len(r.d.groups[0].members) != n || len(r.d.membersByHash) != n {
			t.Fatalf("%d members known, %d in the group", n, len(r.d.groups[0].members))
		}
	}
	r.answer("w", "p", OK, Primary, r.now)
	r.wait(10)
	r.want(r.d.members["p"] == nil, "the member forgotten once its send is over")
	r.step(memberList(ListFull, "r", "s", "p+"))
	r.now += 5
	r.step(Event{Kind: EvProbed, Member: "p", Outcome: OK, Report: Sight{Primary, r.now}})
	r.want(r.submit("v", writeOnce, 900) == "p" && r.d.members["p"].startedAt == 100000, "the member that came back, with its start")
}

// A send whose connection fell silent is not in flight any more once others, later ones, have been answered there
// for long, and its end is not a slow answer; while nothing is answered, all of them count.
func TestLostSendsDoNotCountAsInFlight(t *testing.T) {
	r := newFixture(t, testOpening())
	r.submit("lost", writeOnce, 2000)
	p := r.d.members["p"]
	r.wait(60)
	r.want(p.inFlight == 1, "the send in flight")
	for i := range 80 {
		id := fmt.Sprint(i)
		r.submit(id, writeOnce, 2000)
		r.wait(15)
		r.answer(id, "p", OK, Primary, r.now)
	}
	r.want(p.inFlight == 0 && !p.ejected, "the lost send not in flight")
	before := p.latencyRatio
	r.step(Event{Kind: EvAnswer, Op: "lost", Outcome: TimedOut})
	r.want(p.inFlight == 0 && p.latencyRatio == before, "its end no slow answer")
}

// Many drivers that can't tell each other what they find: each probes for itself, and only once an op of its own
// waits for the slot; then all members at once.
func TestFleetWithoutGossipProbesOnlyForQueuedOps(t *testing.T) {
	o := testOpening()
	o.Drivers = 300
	r := newFixture(t, o)
	r.want(r.submit("w1", writeOnce, 2000) == "p", "the first write at the listed primary")
	r.step(memberList(ListChanges, "p-"))
	r.want(count(r.lastActions, ActProbe, "") == 0, "nothing probed while nothing waits")
	r.now += 50
	r.step(Event{Kind: EvTimer})
	r.want(count(r.lastActions, ActProbe, "") == 0, "nor on the sweep")
	r.want(r.submit("w2", writeOnce, 2000) == "", "a write held while the slot is empty")
	r.now += 5
	r.step(Event{Kind: EvTimer})
	r.want(count(r.lastActions, ActProbe, "") == 2, "both other members probed once a write waits")
	r.now += 20
	r.step(Event{Kind: EvProbed, Member: "s", Outcome: OK, Took: 2, Report: Sight{Primary, r.now}})
	r.want(target(r.lastActions, "w2") == "s", "the held write released to the new primary")
}
