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

// quiet gives a core of three that serves, with a first version in place, and its leader.
func quiet(t *testing.T) (*core, *machine) {
	c := newCore(t, 5, 3)
	lead := c.ready()
	c.must(lead, replace(0, 1, 1), 200)
	return c, lead
}

// at puts a call into a machine's own queue and gives where its answer will be.
func (c *core) at(m *machine, r controlmsg.Request) *Answer {
	out := &Answer{Status: -1}
	m.queue.Submit(&Order{Request: r, Reply: func(a Answer) {
		if out.Status != -1 {
			c.t.Error("two answers to one call")
		}
		*out = a
	}}, c.now)
	return out
}

// until lets time pass until an answer is there, at most for ten seconds.
func (c *core) until(a *Answer) int {
	for end := c.now + 10000; a.Status == -1 && c.now < end; {
		c.step(0)
	}
	return a.Status
}

// must has a call answered so, sent again as callers do where its answer is not clear.
func (c *core) must(m *machine, r controlmsg.Request, status int) {
	c.t.Helper()
	for range 5 {
		got := c.until(c.at(m, r))
		if got == 503 && status != 503 {
			continue
		}
		if got != status {
			c.t.Errorf("%s: %d, not %d", r.Body, got, status)
		}
		return
	}
	c.t.Errorf("%s: no clear answer, not %d", r.Body, status)
}

func (c *core) shows(m *machine) int {
	a := c.at(m, controlmsg.Request{ReadConfig: true})
	if c.until(a) != 200 {
		return -a.Status
	}
	_, id := read(c.t, a.Body)
	return id
}

// part cuts a machine off from the others, both ways.
func (c *core) part(m *machine) {
	for i := range c.hosts {
		if i != m.at {
			c.cut[[2]int{m.at, i}], c.cut[[2]int{i, m.at}] = true, true
		}
	}
}

// other waits for a leader that is not this one.
func (c *core) other(m *machine) *machine {
	for range 3000 {
		for _, o := range c.hosts {
			if o != m && o.on && o.node.Established() && !o.node.InFlight() {
				return o
			}
		}
		c.step(0)
	}
	c.t.Fatal("nobody else leads")
	return nil
}

// Each of these is a question of point 2. What is taken out to see it fail stands beside it.
func TestOneNumberOneOrder(t *testing.T) {
	Convey("With a core that serves", t, func() {
		c, lead := quiet(t)

		Convey("an order sent again is taken before, also as an amendment, also behind others (Taken)", func() {
			for i, r := range []controlmsg.Request{replace(1, 2, 2), amend(2, 3, 3), replace(3, 4, 4)} {
				c.must(lead, r, 200)
				So(lead.state.Version, ShouldEqual, i+2)
			}
			for _, r := range []controlmsg.Request{replace(1, 2, 2), amend(2, 3, 3), replace(3, 4, 4), replace(0, 1, 1)} {
				a := c.at(lead, r)
				So(c.until(a), ShouldEqual, 200)
				So(a.Outcome, ShouldEqual, OutcomeAlreadyApplied)
			}
			So(lead.state.Version, ShouldEqual, 4)
		})
		Convey("of two operators with one number one wins; the other is refused, and again (fits)", func() {
			a, b := c.at(lead, replace(1, 7, 2)), c.at(lead, replace(1, 7, 3))
			So(c.until(a), ShouldEqual, 200)
			So(c.until(b), ShouldEqual, 412)
			c.must(lead, replace(1, 7, 3), 412)
			c.must(lead, replace(1, 7, 2), 200)
			So(c.shows(lead), ShouldEqual, 2)
		})
		Convey("the same order of two callers, both under way at once, is taken once and answered to both (Taken)", func() {
			a, b := c.at(lead, replace(1, 7, 2)), c.at(lead, replace(1, 7, 2))
			So(c.until(a), ShouldEqual, 200)
			So(c.until(b), ShouldEqual, 200)
			So(len(lead.state.History), ShouldEqual, 2)
		})
		Convey("the same bytes as a replacement and as an amendment are two orders (Digest)", func() {
			r := replace(1, 7, 2)
			c.must(lead, r, 200)
			r.Amend = true
			c.must(lead, r, 412)
		})
		Convey("eight orders that build on each other are all taken, whichever comes first (Undecided.Later)", func() {
			var all []*Answer
			for i := 8; i > 0; i-- {
				all = append(all, c.at(lead, replace(i, i+1, i+1)))
			}
			for _, a := range all {
				So(c.until(a), ShouldEqual, 200)
			}
			So(c.shows(lead), ShouldEqual, 9)
		})
		Convey("an order whose base never comes has no clear answer; one that is wrong on any base is refused", func() {
			c.must(lead, replace(5, 6, 2), 503)
			c.must(lead, replace(5, 5, 2), 400)
			c.must(lead, replace(1, 1, 2), 400)
			c.must(lead, controlmsg.Request{BaseVersion: 1, Body: []byte(`{"gen":2`)}, 400)
			So(c.shows(lead), ShouldEqual, 1)
		})
		Convey("an order lost with who led is taken by the next, once (Committed, in proposed)", func() {
			c.part(lead)
			lost := c.at(lead, replace(1, 2, 2))
			c.step(0)
			next := c.other(lead)
			c.must(next, replace(1, 2, 2), 200)
			So(c.until(lost), ShouldEqual, 503)
			c.wake()
			So(c.shows(c.ready()), ShouldEqual, 2)
		})
		Convey("an order lost with who led, whose place another takes, is refused and stays so", func() {
			c.part(lead)
			lost := c.at(lead, replace(1, 2, 2))
			c.step(0)
			next := c.other(lead)
			c.must(next, replace(1, 2, 3), 200)
			So(c.until(lost), ShouldEqual, 503)
			c.must(next, replace(1, 2, 2), 412)
			c.wake()
			for range 500 {
				c.step(0)
			}
			So(c.shows(c.ready()), ShouldEqual, 3)
		})
		Convey("an order not decided in time may be taken later; sent again it is acknowledged", func() {
			c.part(lead)
			late := c.at(lead, replace(1, 2, 2))
			c.step(0)
			for end := c.now + 3100; c.now < end && late.Status == -1; {
				lead.node.Tick(c.now) // it has not heard yet that it is alone
				c.now += stepMillis
				lead.queue.Step(lead.node, lead.state, c.now, 0)
			}
			So(late.Status, ShouldEqual, 503)
			c.wake()
			c.must(c.ready(), replace(1, 2, 2), 200)
		})
		Convey("a refusal waits for a round that began behind its question, and is made anew by what is known then", func() {
			a := c.at(lead, replace(0, 9, 9))
			c.settle(lead, 0)
			So(a.Status, ShouldEqual, -1)
			So(c.until(a), ShouldEqual, 412)
		})
		Convey("an entry that has the place of an order, of a later term of the same leader, is not its acknowledgement (term)", func() {
			q, got := New(Limits{Pending: 8, Timeout: 1e9}), &Answer{Status: -1}
			q.Submit(&Order{Request: replace(1, 2, 2), Reply: func(a Answer) { *got = a }}, c.now)
			c.part(lead)
			q.Step(lead.node, lead.state, c.now, 0)
			So(lead.node.InFlight(), ShouldBeTrue)
			next := c.other(lead)
			c.must(next, replace(1, 2, 3), 200)
			c.wake()
			c.part(next)
			for end := c.now + 60000; c.now < end && !(lead.node.Established() && lead.node.HardState.Term > next.node.HardState.Term); {
				if c.step(0); lead.node.Role() != consensus.Leader && c.leader() != nil && c.leader() != lead {
					c.wake()
					c.part(c.leader())
				}
			}
			So(lead.node.Established(), ShouldBeTrue)
			q.Step(lead.node, lead.state, c.now, 0)
			So(got.Status, ShouldEqual, 503)
			So(lead.state.Version, ShouldEqual, 2)
		})
		Convey("an order taken before all power goes, and before a restore from one disk, is known behind it", func() {
			c.must(lead, replace(1, 2, 2), 200)
			for range 100 {
				c.step(0)
			}
			old := clone(lead.disk)
			var addrs []string
			for i := range c.hosts {
				addrs = append(addrs, address(i))
			}
			for _, m := range c.hosts {
				m.disk = consensus.Restore(address(m.at), addrs, old.Last, old.Term+1<<20)
				c.start(m)
			}
			lead = c.ready()
			c.must(lead, replace(1, 2, 2), 200)
			c.must(lead, replace(1, 2, 3), 412)
		})
		Convey("more calls than the queue holds have no clear answer", func() {
			c.part(lead)
			var last *Answer
			for i := range 65 {
				last = c.at(lead, replace(1, 2, i+2))
			}
			So(last.Status, ShouldEqual, 503)
		})
	})
}

// Who was deposed and doesn't know it yet reads nothing, and refuses nothing (confirmed).
func TestWhoWasDeposedIsSilent(t *testing.T) {
	found := 0
	for seed := range uint64(60) {
		c := newCore(t, seed, 3)
		lead := c.ready()
		c.must(lead, replace(0, 1, 1), 200)
		c.part(lead)
		c.must(c.other(lead), replace(1, 2, 2), 200)
		if lead.node.Role() != consensus.Leader {
			continue
		}
		found++
		shown, refused := c.at(lead, controlmsg.Request{ReadConfig: true}), c.at(lead, replace(0, 5, 5))
		c.settle(lead, 0)
		c.settle(lead, 0)
		if c.until(shown) != 503 || c.until(refused) != 503 {
			t.Fatalf("seed %d: %+v, %+v", seed, shown, refused)
		}
	}
	if found < 5 {
		t.Errorf("a deposed leader took itself for one %d times", found)
	}
}

// remembered is how many changes a state tells repeats by.
const remembered = 256

// A day of a thousand changes, and a late copy of each: what is remembered is acknowledged, what is forgotten is not
// refused, and the state's size is bounded (remembered, in config).
func TestLateCopiesOfALongDay(t *testing.T) {
	s := &config.State{}
	var sent []*config.Change
	most := 0
	for i := range 1200 {
		r := replace(i, i+1, i+1)
		c := &config.Change{BaseVersion: r.BaseVersion, Body: r.Body}
		next, err := s.Apply(c, "machine", 0)
		if err != nil {
			t.Fatal(err)
		}
		s, sent = next, append(sent, c)
		most = max(most, len(s.History))
	}
	if most != remembered {
		t.Errorf("%d changes are remembered", most)
	}
	for i, c := range sent {
		if s.HasApplied(c) {
			continue
		}
		_, err := s.Apply(c, "machine", 0)
		if !errors.Is(err, config.ErrBaseVersionCompacted) || i >= 1200-remembered {
			t.Fatalf("the copy of change %d: %v", i, err)
		}
	}
	if raw, err := cbor.Marshal(s); err != nil || len(raw) > remembered*90+1000 {
		t.Errorf("the state takes %d bytes (%v)", len(raw), err)
	} else {
		t.Logf("%d changes are remembered in %d bytes, the configuration among them", len(s.History), len(raw))
	}
	other := replace(1000, 1001, 7)
	if _, err := s.Apply(&config.Change{BaseVersion: other.BaseVersion, Body: other.Body}, "machine", 0); !errors.Is(err, config.ErrBaseVersionMismatch) {
		t.Errorf("another change on a base of late: %v", err)
	}
}
