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

// newClusterWithConfig returns a cluster of three servers that has committed a first version, and its leader.
func newClusterWithConfig(t *testing.T) (*cluster, *server) {
	c := newCluster(t, 5, 3)
	leader := c.waitForLeader()
	c.requireStatus(leader, replacement(0, 1, 1), 200)
	return c, leader
}

// submit adds a request to a server's queue. The returned Answer is filled in later; its Status is -1 until then.
func (c *cluster) submit(srv *server, req controlmsg.Request) *Answer {
	out := &Answer{Status: -1}
	srv.queue.Submit(&Order{Request: req, Reply: func(a Answer) {
		if out.Status != -1 {
			c.t.Error("two answers to one call")
		}
		*out = a
	}}, c.now)
	return out
}

// awaitStatus advances time until the answer arrives, at most ten seconds, and returns its status.
func (c *cluster) awaitStatus(a *Answer) int {
	for end := c.now + 10000; a.Status == -1 && c.now < end; {
		c.step(0)
	}
	return a.Status
}

// requireStatus submits a request and checks the status of its answer. It retries while the outcome is unknown, as
// clients do.
func (c *cluster) requireStatus(srv *server, req controlmsg.Request, status int) {
	c.t.Helper()
	for range 5 {
		got := c.awaitStatus(c.submit(srv, req))
		if got == 503 && status != 503 {
			continue
		}
		if got != status {
			c.t.Errorf("%s: %d, not %d", req.Body, got, status)
		}
		return
	}
	c.t.Errorf("%s: the outcome stays unknown, not %d", req.Body, status)
}

// readLastChangeID reads the configuration at a server, and returns the id of its last change, or the negative status
// if the read fails.
func (c *cluster) readLastChangeID(srv *server) int {
	a := c.submit(srv, controlmsg.Request{ReadConfig: true})
	if c.awaitStatus(a) != 200 {
		return -a.Status
	}
	_, id := parseVersion(c.t, a.Body)
	return id
}

// isolate partitions a server from all others in both directions.
func (c *cluster) isolate(srv *server) {
	for i := range c.servers {
		if i != srv.index {
			c.partitioned[[2]int{srv.index, i}], c.partitioned[[2]int{i, srv.index}] = true, true
		}
	}
}

// waitForOtherLeader advances time until a server other than srv is leader with no entry in flight.
func (c *cluster) waitForOtherLeader(srv *server) *server {
	for range 3000 {
		for _, other := range c.servers {
			if other != srv && other.running && other.node.Established() && !other.node.InFlight() {
				return other
			}
		}
		c.step(0)
	}
	c.t.Fatal("no other leader was elected")
	return nil
}

// Each version has at most one successor, however often changes are retried. A name in parentheses is that of the code
// without which the case fails.
func TestVersionHasOneSuccessor(t *testing.T) {
	Convey("With a cluster that has a configuration", t, func() {
		c, leader := newClusterWithConfig(t)

		Convey("a retry, also of an amendment or after other changes, is answered as already applied (HasApplied)", func() {
			sent := []controlmsg.Request{replacement(1, 2, 2), amendment(2, 3, 3), replacement(3, 4, 4)}
			for i, r := range sent {
				c.requireStatus(leader, r, 200)
				So(leader.state.Version, ShouldEqual, i+2)
			}
			for _, r := range append(sent, replacement(0, 1, 1)) {
				a := c.submit(leader, r)
				So(c.awaitStatus(a), ShouldEqual, 200)
				So(a.Outcome, ShouldEqual, OutcomeAlreadyApplied)
			}
			So(leader.state.Version, ShouldEqual, 4)
		})
		Convey("of two changes on the same base one is applied; the other and its retries are rejected (checkBase)", func() {
			a, b := c.submit(leader, replacement(1, 7, 2)), c.submit(leader, replacement(1, 7, 3))
			So(c.awaitStatus(a), ShouldEqual, 200)
			So(c.awaitStatus(b), ShouldEqual, 412)
			c.requireStatus(leader, replacement(1, 7, 3), 412)
			c.requireStatus(leader, replacement(1, 7, 2), 200)
			So(c.readLastChangeID(leader), ShouldEqual, 2)
		})
		Convey("the same change from two concurrent callers is applied once and acknowledged to both (HasApplied)", func() {
			a, b := c.submit(leader, replacement(1, 7, 2)), c.submit(leader, replacement(1, 7, 2))
			So(c.awaitStatus(a), ShouldEqual, 200)
			So(c.awaitStatus(b), ShouldEqual, 200)
			So(len(leader.state.History), ShouldEqual, 2)
		})
		Convey("a replacement and an amendment with the same bytes are different changes (Digest)", func() {
			r := replacement(1, 7, 2)
			c.requireStatus(leader, r, 200)
			r.Amend = true
			c.requireStatus(leader, r, 412)
		})
		Convey("eight changes that build on each other are all applied, in any order of arrival (verdictPending)", func() {
			var all []*Answer
			for i := 8; i > 0; i-- {
				all = append(all, c.submit(leader, replacement(i, i+1, i+1)))
			}
			for _, a := range all {
				So(c.awaitStatus(a), ShouldEqual, 200)
			}
			So(c.readLastChangeID(leader), ShouldEqual, 9)
		})
		Convey("a change whose base never arrives stays unknown; one invalid on any base is rejected", func() {
			c.requireStatus(leader, replacement(5, 6, 2), 503)
			c.requireStatus(leader, replacement(5, 5, 2), 400)
			c.requireStatus(leader, replacement(1, 1, 2), 400)
			c.requireStatus(leader, controlmsg.Request{BaseVersion: 1, Body: []byte(`{"gen":2`)}, 400)
			So(c.readLastChangeID(leader), ShouldEqual, 1)
		})
		Convey("a change lost with its leader is applied once by the next leader (Committed, in stepProposed)", func() {
			c.isolate(leader)
			lost := c.submit(leader, replacement(1, 2, 2))
			c.step(0)
			next := c.waitForOtherLeader(leader)
			c.requireStatus(next, replacement(1, 2, 2), 200)
			So(c.awaitStatus(lost), ShouldEqual, 503)
			c.recoverAll()
			So(c.readLastChangeID(c.waitForLeader()), ShouldEqual, 2)
		})
		Convey("a change lost with its leader is rejected if another change has created its version", func() {
			c.isolate(leader)
			lost := c.submit(leader, replacement(1, 2, 2))
			c.step(0)
			next := c.waitForOtherLeader(leader)
			c.requireStatus(next, replacement(1, 2, 3), 200)
			So(c.awaitStatus(lost), ShouldEqual, 503)
			c.requireStatus(next, replacement(1, 2, 2), 412)
			c.recoverAll()
			for range 500 {
				c.step(0)
			}
			So(c.readLastChangeID(c.waitForLeader()), ShouldEqual, 3)
		})
		Convey("a change that timed out may be applied later; its retry is acknowledged", func() {
			c.isolate(leader)
			late := c.submit(leader, replacement(1, 2, 2))
			c.step(0)
			for end := c.now + 3100; c.now < end && late.Status == -1; {
				leader.node.Tick(c.now) // it is still leader, as it has not noticed that it is isolated
				c.now += stepMs
				leader.queue.Step(leader.node, leader.state, c.now, 0)
			}
			So(late.Status, ShouldEqual, 503)
			c.recoverAll()
			c.requireStatus(c.waitForLeader(), replacement(1, 2, 2), 200)
		})
		Convey("a rejection waits for a heartbeat round that began after its evaluation, and is evaluated again", func() {
			a := c.submit(leader, replacement(0, 9, 9))
			c.process(leader, 0)
			So(a.Status, ShouldEqual, -1)
			So(c.awaitStatus(a), ShouldEqual, 412)
		})
		Convey("an entry of a later term at the order's index does not acknowledge the order (term)", func() {
			q, got := New(Limits{Pending: 8, Timeout: 1e9}), &Answer{Status: -1}
			q.Submit(&Order{Request: replacement(1, 2, 2), Reply: func(a Answer) { *got = a }}, c.now)
			c.isolate(leader)
			q.Step(leader.node, leader.state, c.now, 0)
			So(leader.node.InFlight(), ShouldBeTrue)
			next := c.waitForOtherLeader(leader)
			c.requireStatus(next, replacement(1, 2, 3), 200)
			c.recoverAll()
			c.isolate(next)
			leadsAgain := func() bool {
				return leader.node.Established() && leader.node.HardState.Term > next.node.HardState.Term
			}
			for end := c.now + 60000; c.now < end && !leadsAgain(); {
				if c.step(0); leader.node.Role() != consensus.Leader && c.leader() != nil && c.leader() != leader {
					c.recoverAll()
					c.isolate(c.leader())
				}
			}
			So(leader.node.Established(), ShouldBeTrue)
			q.Step(leader.node, leader.state, c.now, 0)
			So(got.Status, ShouldEqual, 503)
			So(leader.state.Version, ShouldEqual, 2)
		})
		Convey("an applied change is still recognized after all servers are restored from one disk", func() {
			c.requireStatus(leader, replacement(1, 2, 2), 200)
			for range 100 {
				c.step(0)
			}
			savedDisk := clone(leader.disk)
			var addrs []string
			for i := range c.servers {
				addrs = append(addrs, address(i))
			}
			for _, srv := range c.servers {
				srv.disk = consensus.Restore(address(srv.index), addrs, savedDisk.Last, savedDisk.Term+1<<20)
				c.start(srv)
			}
			leader = c.waitForLeader()
			c.requireStatus(leader, replacement(1, 2, 2), 200)
			c.requireStatus(leader, replacement(1, 2, 3), 412)
		})
		Convey("requests beyond the queue's capacity have an unknown outcome", func() {
			c.isolate(leader)
			var last *Answer
			for i := range 65 {
				last = c.submit(leader, replacement(1, 2, i+2))
			}
			So(last.Status, ShouldEqual, 503)
		})
	})
}

// A leader that was deposed but has not noticed yet answers neither reads nor rejections (ReadConfirmed, in
// stepConfirming).
func TestDeposedLeaderNeitherReadsNorRejects(t *testing.T) {
	found := 0
	for seed := range uint64(60) {
		c := newCluster(t, seed, 3)
		leader := c.waitForLeader()
		c.requireStatus(leader, replacement(0, 1, 1), 200)
		c.isolate(leader)
		c.requireStatus(c.waitForOtherLeader(leader), replacement(1, 2, 2), 200)
		if leader.node.Role() != consensus.Leader {
			continue
		}
		found++
		read, rejected := c.submit(leader, controlmsg.Request{ReadConfig: true}), c.submit(leader, replacement(0, 5, 5))
		log := c.submit(leader, controlmsg.Request{ReadLog: true})
		c.process(leader, 0)
		c.process(leader, 0)
		if c.awaitStatus(read) != 503 || c.awaitStatus(rejected) != 503 || c.awaitStatus(log) != 503 {
			t.Fatalf("seed %d: %+v, %+v, %+v", seed, read, rejected, log)
		}
	}
	if found < 5 {
		t.Errorf("only %d seeds had a deposed leader that had not noticed", found)
	}
}

// historyLength is the value of maxHistory in package config.
const historyLength = 256

// Applies more changes than the history holds, then retries each of them: a change in the history is recognized, an
// older one is undecided rather than rejected, and the state's size is bounded (oldestKnownBase, in config).
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
