package consensus

import (
	"math"
	"math/rand/v2"
	"testing"
)

// runUntil runs a model up to a point in time without injecting faults.
func runUntil(t *testing.T, c *contactModel, until float64) {
	t.Helper()
	for c.now < until {
		if err := c.step(); err != nil {
			t.Fatal(err)
		}
	}
}

func (c *contactModel) leader() *contactMachine {
	for _, m := range c.machines {
		if m.running && m.node.Established() {
			return m
		}
	}
	return nil
}

// A follower whose clock runs at another rate must be detected within a minute and have no contact from then on, while
// the others keep theirs. It fails without the condition in contactFor.
func TestFollowerWithAnotherClockRateLosesContact(t *testing.T) {
	for _, rate := range []float64{0.5, 0.98, 0.99, 1.01, 1.03, 2} {
		c := newContactModel(5, 3)
		runUntil(t, c, 5000)
		var drifting *contactMachine
		for _, m := range c.machines {
			if m != c.leader() {
				drifting = m
			}
		}
		setRate(c, drifting, rate)
		runUntil(t, c, c.now+60_000)
		drifts := c.leader().node.ClockDrifts()
		if len(drifts) != 1 || drifts[0].Voter.Addr != drifting.addr || drifts[0].LeaderClock ||
			(drifts[0].Rate > 0) != (rate > 1) {
			t.Errorf("rate %v: %+v", rate, drifts)
		}
		for _, m := range c.machines {
			if age := m.node.ContactAge(c.clock(m)); (age > ContactLease) != (m == drifting) {
				t.Errorf("rate %v: %s has contact of %.0f ms ago; the drifting machine is %s", rate, m.addr, age, drifting.addr)
			}
		}
	}
}

// A leader whose clock runs at another rate must find that all others differ in the same direction, transfer its
// leadership, and have no contact as a follower. It fails without ownClockDrifts in tickLeader.
func TestLeaderWithAnotherClockRateTransfersLeadership(t *testing.T) {
	for _, rate := range []float64{0.98, 1.02} {
		c := newContactModel(6, 3)
		runUntil(t, c, 5000)
		drifting := c.leader()
		setRate(c, drifting, rate)
		runUntil(t, c, c.now+120_000)
		if c.leader() == nil || c.leader() == drifting {
			t.Errorf("rate %v: %s still leads", rate, drifting.addr)
			continue
		}
		if age := drifting.node.ContactAge(c.clock(drifting)); age <= ContactLease {
			t.Errorf("rate %v: the drifting machine has contact of %.0f ms ago", rate, age)
		}
	}
}

// A leader whose own clock differs must renew no contact, even if nobody takes over its leadership. It fails without
// ownClockDrifts in endContactRound.
func TestLeaderWithAnotherClockRateRenewsNoContact(t *testing.T) {
	c := newContactModel(6, 3)
	runUntil(t, c, 5000)
	leader := c.leader()
	for _, p := range leader.node.progress {
		p.clockRate.drift = 2 * MaxClockDrift
	}
	if drifts := leader.node.ClockDrifts(); len(drifts) != 1 || !drifts[0].LeaderClock {
		t.Fatalf("%+v", drifts)
	}
	before := leader.node.LastContact()
	leader.node.startContactRound(c.clock(leader))
	for _, p := range leader.node.progress {
		p.ackedRound = leader.node.round
	}
	leader.node.endContactRound()
	if after := leader.node.LastContact(); after != before {
		t.Errorf("contact changed from %.0f to %.0f", before, after)
	}
}

// setRate changes the rate of a machine's clock from now on, without a jump of its reading.
func setRate(c *contactModel, m *contactMachine, rate float64) {
	reading := c.clock(m)
	c.skipContactCheck = true
	m.clockRate = rate
	m.startedAt = c.now - reading/rate
}

// Normal clocks must never be reported as drifting, over histories with faults, lost and late messages, and clock rates
// that differ by up to 0.001 from the true rate.
func TestNormalClocksAreNotReportedAsDrifting(t *testing.T) {
	for seed := range uint64(40) {
		c := newContactModel(seed, 3+2*int(seed%2))
		for c.now < 90_000 {
			if c.now > 3000 && c.random.IntN(500) == 0 {
				c.injectFault()
			}
			if err := c.step(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			for _, m := range c.machines {
				if drifts := m.node.ClockDrifts(); drifts != nil {
					t.Fatalf("seed %d at %.0f: %+v", seed, c.now, drifts)
				}
			}
		}
	}
}

// The proven drift of a clock must never exceed the real one, regardless of the links, and must come close to it for
// narrow intervals.
func TestProvenDriftIsALowerBound(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 5))
		rate := 0.1 * (2*random.Float64() - 1)
		maxDelay := 5 + 2000*random.Float64()*random.Float64()
		var c clockRate
		for now := 1000.0; now < 70_000; now += 200 {
			sentAt := now
			readAt := sentAt + maxDelay*random.Float64()
			receivedAt := readAt + maxDelay*random.Float64()
			reading := 5e6 + readAt*(1+rate)
			interval := offsetInterval{sentAt: sentAt, receivedAt: receivedAt,
				minOffset: reading - receivedAt, maxOffset: reading - sentAt}
			c.observe(interval, 1)
			if c.drift != 0 && (c.drift > 0) != (rate > 0) || math.Abs(c.drift) > math.Abs(rate)+1e-9 {
				t.Fatalf("seed %d: proven drift %v, actual rate %v", seed, c.drift, rate)
			}
		}
		if maxDelay < 100 && math.Abs(rate) > 2*MaxClockDrift && !c.isDrifting() {
			t.Errorf("seed %d: link delay of up to %.0f ms, actual rate %v, proven drift %v", seed, maxDelay, rate, c.drift)
		}
	}
}

// A restarted process of a peer starts a new clock, whose readings must not be compared with those of the previous one.
func TestClockOfAnotherIncarnation(t *testing.T) {
	var c clockRate
	c.observe(offsetInterval{sentAt: 0, receivedAt: 1, minOffset: 1e6, maxOffset: 1e6 + 1}, 1)
	c.observe(offsetInterval{sentAt: 6000, receivedAt: 6001, minOffset: 20, maxOffset: 21}, 2)
	if c.drift != 0 || len(c.windows) != 1 {
		t.Errorf("%+v", c)
	}
}
