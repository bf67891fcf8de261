package logic

import (
	"fmt"
	"testing"
)

// When the primary drains, the slot is emptied, writes are queued, the other members are probed at once, and the first one
// that answers as primary gets the queued writes.
func TestDrainEmptiesTheSlotAndQueuesWrites(t *testing.T) {
	opening := testOpening()
	opening.Drivers = 1
	f := newFixture(t, opening)
	f.want(f.submit("w1", writeOnce, 2000) == "p", "the first write at the listed primary")
	f.step(memberList(ListChanges, "p-"))
	f.want(count(f.lastActions, ActProbe, "") == 2, "both other members probed at once")
	f.want(f.submit("w2", writeOnce, 2000) == "", "a write queued while the slot is empty")
	f.now += 20
	f.step(Event{Kind: EvProbed, Member: "r", Outcome: OK, Took: 2, Report: Sight{Replica, f.now}},
		Event{Kind: EvProbed, Member: "s", Outcome: OK, Took: 2, Report: Sight{Primary, f.now}})
	f.want(target(f.lastActions, "w2") == "s", "the queued write sent to the new primary")
	f.want(count(f.allActions, ActSend, "w1") == 1, "no second send of a write that may have run")
}

// A miss of a write empties the slot; the write is queued until a member answers as primary.
func TestMissEmptiesTheSlotAndQueuesTheWrite(t *testing.T) {
	f := newFixture(t, testOpening())
	f.submit("w", writeOnce, 2000)
	f.now += 5
	f.answer("w", "p", Miss, Replica, f.now)
	f.want(count(f.lastActions, ActSend, "") == 0, "the write queued, not sent to a guessed member")
	f.now += 5
	f.step(Event{Kind: EvProbed, Member: "r", Outcome: OK, Report: Sight{Primary, f.now}})
	f.want(target(f.lastActions, "w") == "r", "the write sent to the member that answers as primary")
}

// A queued write that was never transmitted is refused after less than half of its time limit, so that its client has time to
// retry. A write that was sent and answered with a Miss is queued until its deadline.
func TestUnsentQueuedWriteIsRefusedBeforeItsDeadline(t *testing.T) {
	f := newFixture(t, testOpening())
	f.submit("m", writeOnce, 800)
	f.answer("m", "p", Miss, Replica, 0)
	f.submit("w", writeOnce, 800)
	f.wait(345)
	f.want(count(f.allActions, ActRefuse, "w") == 0, "the write still queued")
	f.wait(20)
	f.want(count(f.allActions, ActRefuse, "w") == 1 && count(f.allActions, ActSend, "w") == 0, "one busy reply, no send")
	f.wait(410)
	f.want(count(f.allActions, ActRefuse, "m") == 0, "the write with a miss still queued")
	f.wait(25)
	f.want(count(f.allActions, ActRefuse, "m") == 1 && count(f.allActions, ActSend, "m") == 1, "one busy reply, no second send")
	f = newFixture(t, testOpening())
	f.wait(400)
	f.submit("c", writeOnce, 800)
	f.answer("c", "p", ConnectFailed, RoleUnknown, 0)
	f.wait(370)
	f.want(count(f.allActions, ActRefuse, "c") == 1, "a busy reply as early for a write whose connection was refused")
}

// Evidence from before the slot was emptied must not fill it with the old primary again: neither a report dated before that
// nor an answer without a position to a request sent before that.
func TestOldEvidenceDoesNotRefillTheSlot(t *testing.T) {
	f := newFixture(t, testOpening())
	f.submit("w", writeOnce, 2000)
	f.submit("v", freshRead, 1000)
	askedAt := f.now
	f.now += 50
	f.answer("w", "p", Miss, Replica, 0)
	f.now += 5
	f.step(Event{Kind: EvProbed, Member: "p", Outcome: OK, Took: 1, Report: Sight{Primary, askedAt + 10}})
	f.answer("v", "p", Fault, Primary, 0)
	f.want(f.driver.groups[0].Holder == nil, "the slot still empty")
	f.step(Event{Kind: EvProbed, Member: "p", Outcome: OK, Took: 1, Report: Sight{Primary, f.now}})
	f.want(f.driver.groups[0].Holder == f.driver.members["p"], "the slot filled by newer evidence")
}

// A hung primary answers nothing: its silence empties the slot. Ops that may have run are repeated only as far as rule 2 (no op
// runs more often than its effect allows) permits.
func TestSilenceEmptiesTheSlot(t *testing.T) {
	f := newFixture(t, testOpening())
	f.submit("w0", writeOnce, 2000)
	f.submit("w1", writeOnce, 2000)
	f.submit("k", tokenedWrite, 5000)
	f.wait(900)
	f.want(f.driver.groups[0].Holder == nil, "the slot empty after long silence")
	f.step(Event{Kind: EvProbed, Member: "s", Outcome: OK, Report: Sight{Primary, f.now}})
	f.wait(600)
	f.want(count(f.allActions, ActSend, "w0") == 1, "the non-retryable write not sent again")
	f.want(count(f.allActions, ActSend, "k") == 2, "the tokened write sent to the new primary within its window")
	f.now += 2500
	f.step()
	f.want(!f.driver.maySend(f.driver.ops["k"], f.driver.members["r"]), "no send of it after the window")
}

// A member is not considered silent because of one missing answer while it answers other sends.
func TestOneSlowOpDoesNotEjectAMember(t *testing.T) {
	f := newFixture(t, testOpening())
	f.submit("slow", writeOnce, 2000)
	for i := range 30 {
		id := fmt.Sprint("w", i)
		f.submit(id, writeOnce, 2000)
		f.wait(40)
		f.answer(id, "p", OK, Primary, f.now)
	}
	f.want(f.driver.groups[0].Holder == f.driver.members["p"], "the slot kept")
}

// If members answer from whatever data they have, only the driver prevents stale reads.
func TestBoundedReadsGoOnlyWhereFreshEnough(t *testing.T) {
	opening := testOpening()
	opening.Checks = ChecksNone
	f := newFixture(t, opening)
	f.want(f.submit("b0", boundedRead, 1000) == "p", "a read at the primary while no position is known")
	f.submit("a", anyRead, 1200)
	m := target(f.allActions, "a")
	f.now += 20
	f.answer("a", m, OK, Replica, f.now-10)
	f.want(f.submit("b1", boundedRead, 1000) == m, "a read at the replica known to be fresh")
	f.now += 250
	f.want(f.submit("b2", boundedRead, 1000) == "p", "the primary once that position is too old")
	f.step(memberList(ListChanges, "p-"))
	f.want(f.submit("b3", boundedRead, 1000) == "", "a read queued if there is neither")
}

// A member that replies that it is full must not be tried again at every tick: that caused up to 18 sends per op.
func TestFullMemberGetsFewRetries(t *testing.T) {
	f := newFixture(t, testOpening())
	for i := range 100 {
		id := fmt.Sprint("a", i)
		if m := f.submit(id, anyRead, 1200); m != "" {
			f.now++
			f.answer(id, m, Full, RoleUnknown, 0)
		}
	}
	f.wait(50)
	f.want(count(f.allActions, ActSend, "") < 60, "few sends to members that reply full")
}

// A read that finds no capacity is refused early: if it were refused just before its latency target, a retry would be late.
func TestReadWithoutCapacityIsRefusedEarly(t *testing.T) {
	f := newFixture(t, testOpening())
	for i := range 40 {
		f.submit(fmt.Sprint("a", i), anyRead, 1200)
	}
	f.wait(60)
	f.want(count(f.allActions, ActRefuse, "") > 10, "reads without capacity refused within a fifth of the target")
}

// After an outage queued ops that can still meet their latency target are sent before those that can't.
func TestQueuedTimelyOpsAreSentFirst(t *testing.T) {
	f := newFixture(t, testOpening())
	f.step(memberList(ListChanges, "p-"))
	for i := range 20 {
		f.submit(fmt.Sprint("old", i), tokenedWrite, 5000)
	}
	f.wait(800)
	f.submit("new", tokenedWrite, 5000)
	f.step(Event{Kind: EvProbed, Member: "s", Outcome: OK, Report: Sight{Primary, f.now}})
	f.want(target(f.lastActions, "new") == "s", "the new op sent at once")
	f.want(count(f.lastActions, ActSend, "") < 20, "the rest limited by the window, not sent at once")
}

// When all members slow down alike, windows stay near the earlier number of sends in flight, and no member is ejected.
func TestSharedSlowdownKeepsWindowsOpen(t *testing.T) {
	f := newFixture(t, testOpening())
	runReads := func(latency float64, rounds int) {
		for i := range rounds {
			var ids, targets []string
			for j := range 4 {
				id := fmt.Sprint(f.now, i, j)
				if m := f.submit(id, anyRead, 1200); m != "" {
					ids, targets = append(ids, id), append(targets, m)
				}
			}
			f.wait(latency)
			for j, id := range ids {
				f.answer(id, targets[j], OK, Replica, f.now)
			}
		}
	}
	runReads(40, 150)
	runReads(150, 60)
	for _, m := range f.driver.groups[0].members[1:] {
		f.want(!m.ejected && m.window >= 1.5, fmt.Sprintf("%s not ejected and a window of 1.5 or more, has %.1f", m.id, m.window))
	}
}

// A cold member's budget limits its load, so that all drivers together stay below FallMultiple.
func TestColdMemberGetsReducedLoad(t *testing.T) {
	f := newFixture(t, testOpening())
	f.step(memberList(ListChanges, "s+"))
	sent := map[string]int{}
	for i := range 300 {
		id := fmt.Sprint("a", i)
		m := f.submit(id, anyRead, 1200)
		sent[m]++
		f.wait(5)
		if m != "" {
			f.answer(id, m, OK, Replica, f.now)
		}
	}
	f.want(sent["s"]*3 < sent["r"], fmt.Sprintf("less than a third at the cold member, has %v", sent))
}

// A member that answers only with errors is ejected, and readmitted when a peer gossips that it answers. Truncated messages are
// ignored.
func TestErrorsEjectAndPeersReadmit(t *testing.T) {
	f := newFixture(t, testOpening())
	for i := range 40 {
		id := fmt.Sprint("a", i)
		m := f.submit(id, anyRead, 1200)
		f.now += 20
		if m == "r" {
			f.answer(id, m, Fault, Replica, f.now)
		}
		m = target(f.lastActions, id) // the member of the retry
		if m != "" && m != "r" {
			f.answer(id, m, OK, Replica, f.now)
		}
		f.wait(5)
	}
	m := f.driver.members["r"]
	f.want(m.ejected, "a member that answers only with errors ejected")
	f.now += 5000
	message := gossipMessage(m, flagGood, 0, 0)
	f.step(message)
	f.want(!m.ejected, "it readmitted on a peer's gossip of good answers")
	f.step(Event{Kind: EvMessage, Data: message.Data[:entryBytes-1]}, Event{Kind: EvMessage})
}

// An op that fails at every member must neither eject members nor cause many sends.
func TestErrorsCausedByTheOpEjectNoMember(t *testing.T) {
	f := newFixture(t, testOpening())
	for i := range 60 {
		id := fmt.Sprint("a", i)
		for m := f.submit(id, anyRead, 1200); m != ""; m = target(f.lastActions, id) {
			f.answer(id, m, Fault, Replica, f.now)
		}
		f.wait(5)
	}
	f.want(count(f.allActions, ActSend, "") <= 120, "two sends per op at most")
	for _, m := range f.driver.groups[0].members {
		f.want(!m.ejected && m.errorRate == 0, m.id+" not ejected, without errors")
	}
}

// If probes don't show roles, one queued write at a time is tried at possible primaries: a miss proves that it didn't run.
func TestOneQueuedWriteAtATimeTriesMembersAsPrimary(t *testing.T) {
	opening := testOpening()
	opening.ReportsByProbe, opening.Checks = false, ChecksNone
	f := newFixture(t, opening)
	f.submit("w1", writeOnce, 2000)
	f.answer("w1", "p", Miss, Replica, 0)
	f.submit("w2", writeOnce, 2000)
	f.wait(300)
	f.want(count(f.allActions, ActSend, "w1")+count(f.allActions, ActSend, "w2") == 2, "one further send of either write")
	f.want(count(f.allActions, ActFail, "") == 0, "no write failed")
	f.want(count(f.allActions, ActProbe, "") == 0, "no probes, which could not show the role")
}

// A member list that must be requested is requested at the start and again after each failure, with backoff.
func TestMemberListIsRequestedAgainAfterFailures(t *testing.T) {
	opening := testOpening()
	opening.ListOnRequest = true
	f := newFixture(t, opening)
	f.want(count(f.allActions, ActWatch, "") == 1, "a list request at the start")
	for i := 2; i < 6; i++ {
		f.step(Event{Kind: EvMembers, List: ListFailed})
		f.wait(6000)
		f.want(count(f.allActions, ActWatch, "") == i, "one more list request after a failure")
	}
}

// If sessions don't carry the time of their last write, the driver tracks the commits that session reads must include.
func TestSessionReadsIncludeTheDriversWrites(t *testing.T) {
	opening := testOpening()
	opening.SessionCarried, opening.Checks = false, ChecksNone
	f := newFixture(t, opening)
	f.submit("w", writeOnce, 2000)
	f.now += 30
	f.answer("w", "p", OK, Primary, f.now)
	f.want(f.submit("s1", sessionRead, 1000) == "p", "a read at the primary while no replica is known to have the write")
	f.submit("a", anyRead, 1000)
	m := target(f.allActions, "a")
	f.answer("a", m, OK, Replica, f.now+1)
	f.want(f.submit("s2", sessionRead, 1000) == m, "a read at a replica whose position covers the write")
}

// A replica that lags counts as overloaded, even if it answers quickly.
func TestLaggingReplicaCountsAsOverloaded(t *testing.T) {
	f := newFixture(t, testOpening())
	for i := range 200 {
		id := fmt.Sprint("a", i)
		if m := f.submit(id, anyRead, 1200); m != "" {
			f.wait(5)
			lag := 10.0
			if m == "s" {
				lag = 900
			}
			f.answer(id, m, OK, Replica, f.now-lag)
		}
	}
	lagging, current := f.driver.members["s"], f.driver.members["r"]
	f.want(lagging.latencyRatio > 1.1 && current.latencyRatio < 0.5,
		fmt.Sprintf("s with a latency ratio over 1.1 and r under 0.5, s has %.2f", lagging.latencyRatio))
}

// gossipMessage returns a peer's message about a member.
func gossipMessage(m *member, flags byte, ratio float64, position float64) Event {
	positionBits := uint32(position) % positionRange
	return Event{Kind: EvMessage, Data: []byte{byte(m.hash >> 16), byte(m.hash >> 8), byte(m.hash),
		flags | byte(ratio*ratioScale)<<ratioShift, byte(positionBits >> 16), byte(positionBits >> 8), byte(positionBits)}}
}

// newFleet opens n drivers of one fleet, each with a seed of its own.
func newFleet(t *testing.T, n int) []*fixture {
	var fixtures []*fixture
	for i := range n {
		opening := testOpening()
		opening.Drivers, opening.MayMessage, opening.Seed = n, true, uint64(i+1)*0x9E3779B97F4A7C15
		fixtures = append(fixtures, newFixture(t, opening))
	}
	return fixtures
}

// Only a few drivers of a fleet probe at a time: when 327 drivers all probed each member every second, members accepted only 64.
func TestFewDriversOfAFleetProbeAtATime(t *testing.T) {
	probes := 0
	for _, f := range newFleet(t, 300) {
		f.step(memberList(ListChanges, "p-"))
		probes += count(f.allActions, ActProbe, "")
	}
	if probes < 8 || probes > 40 {
		t.Errorf("%d probes by 300 drivers at 2 members, want about 16", probes)
	}
}

// Within a gossip interval one driver gossips about a member, and the others drop what they had to report: if they kept it, all
// of them would send it when the interval ends. Intervals grow while too many messages arrive.
func TestOneDriverPerIntervalGossipsAboutAMember(t *testing.T) {
	f := newFleet(t, 30)[0]
	f.wait(500)
	f.submit("a", anyRead, 1200)
	m := f.driver.members[target(f.allActions, "a")]
	f.step(gossipMessage(m, flagGood, 0.5, f.now-10))
	f.answer("a", m.id, OK, Replica, f.now)
	messagesBefore := count(f.allActions, ActMessage, "")
	f.wait(200)
	f.want(count(f.allActions, ActMessage, "") == messagesBefore, "no message about a member that a peer has just gossiped about")
	for range 20000 {
		f.step(gossipMessage(m, flagGood, 0.5, f.now-10))
	}
	f.wait(1000)
	f.want(f.driver.gossipInterval > 1.3*f.driver.minGossipInterval, "longer intervals while too many messages arrive")
}

// If each of many drivers had a full first cold credit, they would together overload a member that has just started.
func TestFleetDoesNotOverloadAColdMember(t *testing.T) {
	sent := 0
	for _, f := range newFleet(t, 90) {
		f.driver.groups[0].warmWorkRate, f.driver.groups[0].workRate, f.driver.opTypes[anyRead].meanLatency = 0.1, 0.1, f.driver.opTypes[0].meanLatency
		f.step(memberList(ListChanges, "s+"))
		for i := range 15 {
			id := fmt.Sprint("a", i)
			m := f.submit(id, anyRead, 1200)
			if m == "s" {
				sent++
			}
			if f.wait(100); m != "" {
				f.answer(id, m, OK, Replica, f.now)
			}
		}
	}
	if sent == 0 || sent > 60 {
		t.Errorf("%d of 1350 reads at the member that has just started, want 1 to 60", sent)
	}
}

// A driver that was itself paused must not mistake the pause for silence of the members, nor for latency.
func TestOwnPauseIsNotMemberSilence(t *testing.T) {
	f := newFixture(t, testOpening())
	f.wait(50)
	m := f.submit("a", anyRead, 1200)
	f.submit("w", writeOnce, 2000)
	meanLatency := f.driver.opTypes[anyRead].meanLatency
	f.now += 700
	f.step(Event{Kind: EvTimer}, Event{Kind: EvAnswer, Op: "a", Member: m, Outcome: OK, Closed: true,
		Note: Sight{Replica, f.now}})
	f.want(f.driver.groups[0].Holder == f.driver.members["p"] && !f.driver.members["p"].ejected, "the primary kept in the slot")
	f.want(f.driver.opTypes[anyRead].meanLatency == meanLatency, "the mean latency as before")
}

// A refused connection doesn't eject a member that has just answered on another connection; it ejects one that hasn't answered
// recently.
func TestRefusedConnectionEjectsOnlyMemberNotHeardFrom(t *testing.T) {
	f := newFixture(t, testOpening())
	f.submit("w1", writeOnce, 2000)
	f.answer("w1", "p", OK, Primary, f.now)
	f.submit("w2", writeOnce, 2000)
	f.answer("w2", "p", ConnectFailed, RoleUnknown, 0)
	f.want(f.driver.groups[0].Holder == f.driver.members["p"], "the slot kept")
	f.wait(400)
	f.want(target(f.allActions, "w2") == "p" && count(f.allActions, ActSend, "w2") == 2, "the write sent again")
	f.wait(400)
	f.answer("w2", "p", ConnectFailed, RoleUnknown, 0)
	f.want(f.driver.groups[0].Holder == nil, "the slot empty")
}

// A peer's report of silence counts only if no driver is known to have heard from the member recently.
func TestPeerReportOfSilenceCountsOnlyWithoutRecentAnswer(t *testing.T) {
	f := newFleet(t, 30)[0]
	m := f.driver.members["p"]
	f.wait(1000)
	f.step(gossipMessage(m, flagGood, 0.5, f.now-10))
	f.step(gossipMessage(m, flagSilent, 0, 0))
	f.want(f.driver.groups[0].Holder == m, "the slot kept, as a peer has just heard from the member")
	f.wait(1000)
	f.step(gossipMessage(m, flagSilent, 0, 0))
	f.want(f.driver.groups[0].Holder == nil && m.ejected, "the slot emptied on a peer's report")
	f.want(count(f.lastActions, ActMessage, "") == 0, "no message that repeats the peer's report")
}

// Drivers with the same information must not all choose the same replica, and an overloaded primary gets only a share of the
// writes.
func TestFleetSpreadsReadsAndLimitsWrites(t *testing.T) {
	reads, writes := map[string]int{}, 0
	for _, f := range newFleet(t, 90) {
		for i := range 60 {
			f.now += 20
			f.step(gossipMessage(f.driver.members["r"], flagGood, 0.5, f.now), gossipMessage(f.driver.members["s"], flagGood, 1, f.now),
				gossipMessage(f.driver.members["p"], flagGood, 5, f.now), Event{Kind: EvTimer})
			if i == 59 {
				reads[f.submit("a", anyRead, 1200)]++
				if f.submit("w", writeOnce, 2000) != "" {
					writes++
				}
			}
		}
	}
	if reads["r"] < reads["s"] || reads["s"] < 15 {
		t.Errorf("reads %v, want both replicas used, the faster one more", reads)
	}
	if writes < 20 || writes > 75 {
		t.Errorf("%d of 90 writes at a primary with a latency ratio of 5, want 20 to 75", writes)
	}
}

// With OnlyDrainBinds a list without any members takes none out of service.
func TestEmptyListRemovesNoMemberIfOnlyDrainBinds(t *testing.T) {
	opening := testOpening()
	opening.OnlyDrainBinds = true
	f := newFixture(t, opening)
	f.step(Event{Kind: EvMembers, List: ListFull})
	f.want(f.submit("w", writeOnce, 2000) == "p" && f.submit("a", anyRead, 1200) != "", "write and read sent as before")
	f.step(memberList(ListFull, "p", "r", "s"))
	f.want(f.submit("w2", writeOnce, 2000) == "p", "the slot as before when the list is complete again")
}

// A read queued during an outage is refused while a retry can still be in time; if reads were kept longer, all would be late.
func TestQueuedReadIsRefusedBeforeItsLatencyTarget(t *testing.T) {
	opening := testOpening()
	opening.Checks = ChecksNone
	f := newFixture(t, opening)
	f.step(memberList(ListChanges, "p-"))
	f.submit("b", boundedRead, 1000)
	f.wait(100)
	f.want(count(f.allActions, ActRefuse, "b") == 0, "the read queued while it can be in time")
	f.wait(100)
	f.want(count(f.allActions, ActRefuse, "b") == 1 && count(f.allActions, ActSend, "b") == 0, "refused before its latency target")
}

// A member readmitted after broken connections warms up: it may have restarted before the list shows it, and a full share of ops
// would overload it.
func TestMemberIsColdAfterBrokenConnections(t *testing.T) {
	for _, outcome := range []Outcome{Reset, Fault} {
		f := newFixture(t, testOpening())
		m := f.driver.members[f.submit("a", anyRead, 1200)]
		m.disconnects = disconnectLimit - 1
		f.answer("a", m.id, outcome, RoleUnknown, 0)
		if outcome == Fault {
			f.driver.eject(m, 0, "errors")
		}
		f.wait(400)
		f.driver.readmit(m, "answers")
		f.want((f.driver.warmth(m) < 1) == (outcome == Reset), fmt.Sprint("cold only after broken connections, outcome ", outcome))
	}
	for _, opened := range []float64{0, 100050, 100450} { // an answer on an older connection proves that the member didn't restart
		f := newFixture(t, testOpening())
		p := f.driver.members["p"]
		f.submit("w", writeOnce, 900)
		f.driver.eject(p, flagSilent|flagDisconnected, "connection")
		f.wait(400)
		f.driver.readmit(p, "peer")
		f.step(Event{Kind: EvAnswer, Op: "w", Member: "p", Outcome: OK, Closed: true, Opened: opened})
		f.want((f.driver.warmth(p) < 1) == (opened != 100050), fmt.Sprint("cold unless the connection is older than the ejection, opened ", opened))
	}
}

// Single broken connections don't eject the primary. It is ejected if a connection is refused and it hasn't answered recently,
// or if three break in a row without an answer in between and no send to it is in flight.
func TestSingleBrokenConnectionsDoNotEject(t *testing.T) {
	f := newFixture(t, testOpening())
	for _, id := range []string{"a", "b", "c"} {
		f.submit(id, writeOnce, 1000)
	}
	for _, id := range []string{"a", "b", "c"} {
		f.want(!f.driver.members["p"].ejected, "the primary not ejected while a send to it is in flight")
		f.answer(id, "p", Reset, RoleUnknown, 0)
	}
	f.want(f.driver.members["p"].ejected && f.driver.groups[0].Holder == nil, "the primary ejected as all connections broke")
	f = newFixture(t, testOpening())
	f.wait(400)
	f.submit("a", writeOnce, 1000)
	f.answer("a", "p", ConnectFailed, RoleUnknown, 0)
	f.want(f.driver.members["p"].ejected, "a primary that hasn't answered recently ejected as it refused a connection")
	f = newFixture(t, testOpening())
	for i, outcome := range []Outcome{Reset, Reset, OK, Reset, Reset, Reset} {
		id := fmt.Sprint(i)
		f.want(f.submit(id, writeOnce, 1000) == "p", "the write sent to the primary")
		f.answer(id, "p", outcome, Primary, f.now)
		f.wait(300)
	}
	f.want(f.driver.members["p"].ejected && f.driver.groups[0].Holder == nil, "the primary ejected after three broken connections in a row")
}

// Members that left the list are pruned once no late evidence of them can arrive, so that constant replacement leaks no memory. A
// member with a send in flight is kept, and one that returns is a new member whose start is that in the list.
func TestMembersLongGoneArePruned(t *testing.T) {
	f := newFixture(t, testOpening())
	f.submit("w", writeOnce, 60000)
	f.step(memberList(ListChanges, "p-"), memberList(ListChanges, "px"))
	for i := range 200 {
		f.step(memberList(ListFull, "r", "s", string(rune('A'+i%100))))
		f.wait(200)
		f.want(f.driver.members["p"] != nil, "a member with a send in flight still known")
		if n := len(f.driver.members); n > 60 || len(f.driver.groups[0].members) != n || len(f.driver.membersByHash) != n {
			t.Fatalf("%d members known, %d in the group", n, len(f.driver.groups[0].members))
		}
	}
	f.answer("w", "p", OK, Primary, f.now)
	f.wait(10)
	f.want(f.driver.members["p"] == nil, "the member pruned once its send has ended")
	f.step(memberList(ListFull, "r", "s", "p+"))
	f.now += 5
	f.step(Event{Kind: EvProbed, Member: "p", Outcome: OK, Report: Sight{Primary, f.now}})
	f.want(f.submit("v", writeOnce, 900) == "p" && f.driver.members["p"].startedAt == 100000, "the member that returned, with its start")
}

// A send that stays without an answer for long while the member answers later sends no longer counts as in flight, and its end
// doesn't count as a slow answer. While the member answers nothing, all sends count.
func TestLostSendsDoNotCountAsInFlight(t *testing.T) {
	f := newFixture(t, testOpening())
	f.submit("lost", writeOnce, 2000)
	p := f.driver.members["p"]
	f.wait(60)
	f.want(p.inFlight == 1, "the send in flight")
	for i := range 80 {
		id := fmt.Sprint(i)
		f.submit(id, writeOnce, 2000)
		f.wait(15)
		f.answer(id, "p", OK, Primary, f.now)
	}
	f.want(p.inFlight == 0 && !p.ejected, "the lost send not in flight")
	ratioBefore := p.latencyRatio
	f.step(Event{Kind: EvAnswer, Op: "lost", Outcome: TimedOut})
	f.want(p.inFlight == 0 && p.latencyRatio == ratioBefore, "its end not recorded as a slow answer")
}

// If the drivers of a fleet can't exchange messages, each probes for itself, all members at once, but only while an op of its own is
// queued for the slot.
func TestFleetWithoutGossipProbesOnlyForQueuedOps(t *testing.T) {
	opening := testOpening()
	opening.Drivers = 300
	f := newFixture(t, opening)
	f.want(f.submit("w1", writeOnce, 2000) == "p", "the first write at the listed primary")
	f.step(memberList(ListChanges, "p-"))
	f.want(count(f.lastActions, ActProbe, "") == 0, "no probes while no op is queued")
	f.now += 50
	f.step(Event{Kind: EvTimer})
	f.want(count(f.lastActions, ActProbe, "") == 0, "no probes on the sweep either")
	f.want(f.submit("w2", writeOnce, 2000) == "", "a write queued while the slot is empty")
	f.now += 5
	f.step(Event{Kind: EvTimer})
	f.want(count(f.lastActions, ActProbe, "") == 2, "both other members probed once a write is queued")
	f.now += 20
	f.step(Event{Kind: EvProbed, Member: "s", Outcome: OK, Took: 2, Report: Sight{Primary, f.now}})
	f.want(target(f.lastActions, "w2") == "s", "the queued write sent to the new primary")
}
