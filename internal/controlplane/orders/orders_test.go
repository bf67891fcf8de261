package orders

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
)

// newServingCluster gives a cluster of three with a first version in place, and its leader.
func newServingCluster(t *testing.T) (*cluster, *server) {
	c := newCluster(t, 5, 3)
	lead := c.waitForLeader()
	c.mustAnswer(lead, replacement(0, 1, 1), 200)
	return c, lead
}

// submit puts a request into a server's own queue, and gives where its answer will be; its Status is -1 until then.
func (c *cluster) submit(srv *server, r controlmsg.Request) *Answer {
	out := &Answer{Status: -1}
	srv.queue.Submit(&Order{Request: r, Reply: func(a Answer) {
		if out.Status != -1 {
			c.t.Error("two answers to one call")
		}
		*out = a
	}}, c.now)
	return out
}

// await lets time pass until the answer is there, at most for ten seconds, and gives its status.
func (c *cluster) await(a *Answer) int {
	for end := c.now + 10000; a.Status == -1 && c.now < end; {
		c.step(0)
	}
	return a.Status
}

// mustAnswer expects a status, and retries as callers do while the outcome is unknown.
func (c *cluster) mustAnswer(srv *server, r controlmsg.Request, status int) {
	c.t.Helper()
	for range 5 {
		got := c.await(c.submit(srv, r))
		if got == 503 && status != 503 {
			continue
		}
		if got != status {
			c.t.Errorf("%s: %d, not %d", r.Body, got, status)
		}
		return
	}
	c.t.Errorf("%s: the outcome stays unknown, not %d", r.Body, status)
}

// readID reads the configuration at a server, and gives the id of its last change, or the negative status.
func (c *cluster) readID(srv *server) int {
	a := c.submit(srv, controlmsg.Request{ReadConfig: true})
	if c.await(a) != 200 {
		return -a.Status
	}
	_, id := parseVersion(c.t, a.Body)
	return id
}

// isolate partitions a server from the others, both ways.
func (c *cluster) isolate(srv *server) {
	for i := range c.servers {
		if i != srv.index {
			c.partitioned[[2]int{srv.index, i}], c.partitioned[[2]int{i, srv.index}] = true, true
		}
	}
}

// waitForOtherLeader waits for another leader with nothing in flight.
func (c *cluster) waitForOtherLeader(srv *server) *server {
	for range 3000 {
		for _, o := range c.servers {
			if o != srv && o.running && o.node.Established() && !o.node.InFlight() {
				return o
			}
		}
		c.step(0)
	}
	c.t.Fatal("nobody else leads")
	return nil
}

// Each version has one successor, whatever is retried. What was removed to see a case fail stands beside it in
// brackets.
func TestVersionHasOneSuccessor(t *testing.T) {
	Convey("With a cluster that serves", t, func() {
		c, lead := newServingCluster(t)

		Convey("a retry is answered as applied before, also of an amendment, also after other changes (HasApplied)", func() {
			sent := []controlmsg.Request{replacement(1, 2, 2), amendment(2, 3, 3), replacement(3, 4, 4)}
			for i, r := range sent {
				c.mustAnswer(lead, r, 200)
				So(lead.state.Version, ShouldEqual, i+2)
			}
			for _, r := range append(sent, replacement(0, 1, 1)) {
				a := c.submit(lead, r)
				So(c.await(a), ShouldEqual, 200)
				So(a.Outcome, ShouldEqual, OutcomeAlreadyApplied)
			}
			So(lead.state.Version, ShouldEqual, 4)
		})
		Convey("of two changes to one version one is applied; the other and its retries are rejected (checkBase)", func() {
			a, b := c.submit(lead, replacement(1, 7, 2)), c.submit(lead, replacement(1, 7, 3))
			So(c.await(a), ShouldEqual, 200)
			So(c.await(b), ShouldEqual, 412)
			c.mustAnswer(lead, replacement(1, 7, 3), 412)
			c.mustAnswer(lead, replacement(1, 7, 2), 200)
			So(c.readID(lead), ShouldEqual, 2)
		})
		Convey("the same change of two callers at once is applied once and acknowledged to both (HasApplied)", func() {
			a, b := c.submit(lead, replacement(1, 7, 2)), c.submit(lead, replacement(1, 7, 2))
			So(c.await(a), ShouldEqual, 200)
			So(c.await(b), ShouldEqual, 200)
			So(len(lead.state.History), ShouldEqual, 2)
		})
		Convey("the same bytes as a replacement and as an amendment are two changes (Digest)", func() {
			r := replacement(1, 7, 2)
			c.mustAnswer(lead, r, 200)
			r.Amend = true
			c.mustAnswer(lead, r, 412)
		})
		Convey("eight changes that build on each other are all applied, whichever arrives first (verdictPending)", func() {
			var all []*Answer
			for i := 8; i > 0; i-- {
				all = append(all, c.submit(lead, replacement(i, i+1, i+1)))
			}
			for _, a := range all {
				So(c.await(a), ShouldEqual, 200)
			}
			So(c.readID(lead), ShouldEqual, 9)
		})
		Convey("a change whose base never arrives stays unknown; one invalid on any base is rejected", func() {
			c.mustAnswer(lead, replacement(5, 6, 2), 503)
			c.mustAnswer(lead, replacement(5, 5, 2), 400)
			c.mustAnswer(lead, replacement(1, 1, 2), 400)
			c.mustAnswer(lead, controlmsg.Request{BaseVersion: 1, Body: []byte(`{"gen":2`)}, 400)
			So(c.readID(lead), ShouldEqual, 1)
		})
		Convey("a change lost with its leader is applied by the next, once (Committed, in stepProposed)", func() {
			c.isolate(lead)
			lost := c.submit(lead, replacement(1, 2, 2))
			c.step(0)
			next := c.waitForOtherLeader(lead)
			c.mustAnswer(next, replacement(1, 2, 2), 200)
			So(c.await(lost), ShouldEqual, 503)
			c.recoverAll()
			So(c.readID(c.waitForLeader()), ShouldEqual, 2)
		})
		Convey("a change lost with its leader, whose version another change made, is rejected for good", func() {
			c.isolate(lead)
			lost := c.submit(lead, replacement(1, 2, 2))
			c.step(0)
			next := c.waitForOtherLeader(lead)
			c.mustAnswer(next, replacement(1, 2, 3), 200)
			So(c.await(lost), ShouldEqual, 503)
			c.mustAnswer(next, replacement(1, 2, 2), 412)
			c.recoverAll()
			for range 500 {
				c.step(0)
			}
			So(c.readID(c.waitForLeader()), ShouldEqual, 3)
		})
		Convey("a change that timed out may be applied later; its retry is acknowledged", func() {
			c.isolate(lead)
			late := c.submit(lead, replacement(1, 2, 2))
			c.step(0)
			for end := c.now + 3100; c.now < end && late.Status == -1; {
				lead.node.Tick(c.now) // it does not know yet that it is isolated
				c.now += stepMs
				lead.queue.Step(lead.node, lead.state, c.now, 0)
			}
			So(late.Status, ShouldEqual, 503)
			c.recoverAll()
			c.mustAnswer(c.waitForLeader(), replacement(1, 2, 2), 200)
		})
		Convey("a rejection waits for a round that began after its evaluation, and is evaluated anew", func() {
			a := c.submit(lead, replacement(0, 9, 9))
			c.process(lead, 0)
			So(a.Status, ShouldEqual, -1)
			So(c.await(a), ShouldEqual, 412)
		})
		Convey("an entry at an order's index from a later term of the same leader is not its acknowledgement (term)", func() {
			q, got := New(Limits{Pending: 8, Timeout: 1e9}), &Answer{Status: -1}
			q.Submit(&Order{Request: replacement(1, 2, 2), Reply: func(a Answer) { *got = a }}, c.now)
			c.isolate(lead)
			q.Step(lead.node, lead.state, c.now, 0)
			So(lead.node.InFlight(), ShouldBeTrue)
			next := c.waitForOtherLeader(lead)
			c.mustAnswer(next, replacement(1, 2, 3), 200)
			c.recoverAll()
			c.isolate(next)
			leadsAgain := func() bool {
				return lead.node.Established() && lead.node.HardState.Term > next.node.HardState.Term
			}
			for end := c.now + 60000; c.now < end && !leadsAgain(); {
				if c.step(0); lead.node.Role() != consensus.Leader && c.leader() != nil && c.leader() != lead {
					c.recoverAll()
					c.isolate(c.leader())
				}
			}
			So(lead.node.Established(), ShouldBeTrue)
			q.Step(lead.node, lead.state, c.now, 0)
			So(got.Status, ShouldEqual, 503)
			So(lead.state.Version, ShouldEqual, 2)
		})
		Convey("a change applied before all servers lose power, and are restored from one disk, is known afterwards", func() {
			c.mustAnswer(lead, replacement(1, 2, 2), 200)
			for range 100 {
				c.step(0)
			}
			old := clone(lead.disk)
			var addrs []string
			for i := range c.servers {
				addrs = append(addrs, address(i))
			}
			for _, srv := range c.servers {
				srv.disk = consensus.Restore(address(srv.index), addrs, old.Last, old.Term+1<<20)
				c.start(srv)
			}
			lead = c.waitForLeader()
			c.mustAnswer(lead, replacement(1, 2, 2), 200)
			c.mustAnswer(lead, replacement(1, 2, 3), 412)
		})
		Convey("requests beyond the queue's capacity have an unknown outcome", func() {
			c.isolate(lead)
			var last *Answer
			for i := range 65 {
				last = c.submit(lead, replacement(1, 2, i+2))
			}
			So(last.Status, ShouldEqual, 503)
		})
	})
}

// A leader that was deposed and doesn't know it yet answers no read and no rejection (ReadConfirmed, in
// stepConfirming).
func TestDeposedLeaderNeitherReadsNorRejects(t *testing.T) {
	found := 0
	for seed := range uint64(60) {
		c := newCluster(t, seed, 3)
		lead := c.waitForLeader()
		c.mustAnswer(lead, replacement(0, 1, 1), 200)
		c.isolate(lead)
		c.mustAnswer(c.waitForOtherLeader(lead), replacement(1, 2, 2), 200)
		if lead.node.Role() != consensus.Leader {
			continue
		}
		found++
		read, rejected := c.submit(lead, controlmsg.Request{ReadConfig: true}), c.submit(lead, replacement(0, 5, 5))
		log := c.submit(lead, controlmsg.Request{ReadLog: true})
		c.process(lead, 0)
		c.process(lead, 0)
		if c.await(read) != 503 || c.await(rejected) != 503 || c.await(log) != 503 {
			t.Fatalf("seed %d: %+v, %+v, %+v", seed, read, rejected, log)
		}
	}
	if found < 5 {
		t.Errorf("only %d seeds had a deposed leader that did not know", found)
	}
}

// historyLength is config's maxHistory.
const historyLength = 256

// More changes than the history holds, and a late retry of each: one in the history is acknowledged, any other is not
// rejected, and the state's size is bounded (oldestKnownBase, in config).
func TestLateRetriesAfterManyChanges(t *testing.T) {
	s := &config.State{}
	var sent []*config.Change
	longest := 0
	for i := range 1200 {
		r := replacement(i, i+1, i+1)
		c := &config.Change{BaseVersion: r.BaseVersion, Body: r.Body}
		next, err := s.Apply(c, "machine", 0)
		if err != nil {
			t.Fatal(err)
		}
		s, sent = next, append(sent, c)
		longest = max(longest, len(s.History))
	}
	if longest != historyLength {
		t.Errorf("the history holds %d changes", longest)
	}
	for i, c := range sent {
		if s.HasApplied(c) {
			continue
		}
		_, err := s.Apply(c, "machine", 0)
		if !errors.Is(err, config.ErrBaseVersionCompacted) || i >= 1200-historyLength {
			t.Fatalf("the retry of change %d: %v", i, err)
		}
	}
	if raw, err := cbor.Marshal(s); err != nil || len(raw) > historyLength*90+1000 {
		t.Errorf("the state takes %d bytes (%v)", len(raw), err)
	} else {
		t.Logf("%d changes of history in %d bytes, with the configuration", len(s.History), len(raw))
	}
	other := replacement(1000, 1001, 7)
	_, err := s.Apply(&config.Change{BaseVersion: other.BaseVersion, Body: other.Body}, "machine", 0)
	if !errors.Is(err, config.ErrBaseVersionMismatch) {
		t.Errorf("another change on a recent base: %v", err)
	}
}
