package consensus

import "math"

// This file holds the check that voters' clocks run at one rate, on which contact rests (contact.go).
//
// Each answer to a heartbeat bears a reading of the peer's clock, taken at some moment between the heartbeat's
// sending and the answer's receipt. So the peer's clock is ahead of the leader's by at least the reading less the
// time of receipt, and by at most the reading less the time of sending, whatever the links, disks and pauses did in
// between. Where two such intervals, some time apart, don't meet, the difference of rates is proved, and bounded from
// below. A link that is slow only makes intervals wide, so that nothing is proved by it.
//
// A peer whose clock is proved to run at another rate is given no contact: it answers 503 and its agents leave it, as
// if it were cut off. A leader of which most other voters prove the same is itself the one that differs: it renews no
// contact of its own, and has another voter stand for election, which then judges it like any other.

const (
	// MaxClockDrift is the difference of rates above which a peer's contact no longer counts, in parts of one. Sound
	// clocks stay under a thousandth; at this bound a contact of ContactLease is wrong by 6 ms.
	MaxClockDrift = 0.004
	// clockWindow is the time in milliseconds of which the narrowest interval is kept, and clockWindows how many are.
	// A jump, as of a machine that was suspended, is forgotten after their product, one minute.
	clockWindow  = 5000.0
	clockWindows = 12
	// sentRounds is how many of the newest rounds' sending times are kept.
	sentRounds = 64
)

// clockInterval is by how much a peer's clock was ahead of the leader's, at a moment between two of the leader's.
type clockInterval struct {
	sentAt, receivedAt float64 // the leader's milliseconds
	low, high          float64 // milliseconds
}

func (i *clockInterval) width() float64 { return i.high - i.low }

// clockRate is what a leader knows of the rate of a peer's clock.
type clockRate struct {
	incarnation uint32          // of the peer's process: its clock begins anew with each
	windows     []clockInterval // the narrowest of each clockWindow, the oldest first
	windowEnd   float64         // when the newest of them ends
	drift       float64         // that is proved: above 0 the peer's clock is fast, below it is slow
}

// observe takes an interval.
func (c *clockRate) observe(interval clockInterval, incarnation uint32) {
	if incarnation != c.incarnation {
		*c = clockRate{incarnation: incarnation}
	}
	last := len(c.windows) - 1
	switch {
	case last < 0 || interval.receivedAt >= c.windowEnd:
		if len(c.windows) == clockWindows {
			c.windows = append(c.windows[:0], c.windows[1:]...)
		}
		c.windows = append(c.windows, interval)
		c.windowEnd = interval.receivedAt + clockWindow
	case interval.width() < c.windows[last].width():
		c.windows[last] = interval
	default:
		return
	}
	c.drift = c.provedDrift()
}

// provedDrift compares the newest interval with each earlier one, and gives the greatest difference of rates that is
// certain.
func (c *clockRate) provedDrift() (drift float64) {
	newest := &c.windows[len(c.windows)-1]
	for i := range c.windows[:len(c.windows)-1] {
		earlier := &c.windows[i]
		elapsed := newest.receivedAt - earlier.sentAt
		leastGained, mostGained := newest.low-earlier.high, newest.high-earlier.low
		rate := max(leastGained, 0) / elapsed // of a fast clock
		if mostGained < 0 {
			rate = mostGained / elapsed // of a slow one
		}
		if math.Abs(rate) > math.Abs(drift) {
			drift = rate
		}
	}
	return drift
}

// drifts says that the peer's clock is proved to run at another rate than the leader's.
func (c *clockRate) drifts() bool { return math.Abs(c.drift) > MaxClockDrift }

// roundTimes are when the newest rounds were sent.
type roundTimes [sentRounds]struct {
	round  uint64
	sentAt float64
}

func (r *roundTimes) record(round uint64, now float64) {
	slot := &r[round%sentRounds]
	slot.round, slot.sentAt = round, now
}

// sentAt is when a round was sent; ok is false for one that is too old.
func (r *roundTimes) sentAt(round uint64) (at float64, ok bool) {
	slot := &r[round%sentRounds]
	return slot.sentAt, slot.round == round && round > 0
}

// observeClock takes the reading of a peer's clock in its answer.
func (n *Node) observeClock(peer *progress, msg *Message, now float64) {
	sentAt, ok := n.roundTimes.sentAt(msg.Round)
	if !ok || msg.Clock == 0 {
		return
	}
	interval := clockInterval{sentAt: sentAt, receivedAt: now, low: msg.Clock - now, high: msg.Clock - sentAt}
	peer.clockRate.observe(interval, msg.Incarnation)
}

// ownClockDrifts says that most other voters' clocks, two at least, are proved to differ from this leader's in the
// same direction: it is this one that runs at another rate.
func (n *Node) ownClockDrifts() bool {
	fast, slow, others := 0, 0, 0
	for _, v := range n.HardState.Last.Voters {
		if v.ID == n.HardState.ID {
			continue
		}
		others++
		p := n.progress[v.ID]
		switch {
		case p == nil || !p.clockRate.drifts():
		case p.clockRate.drift > 0:
			fast++
		default:
			slow++
		}
	}
	agreed := max(fast, slow)
	return agreed >= 2 && 2*agreed > others
}

// ClockDrift is a voter whose clock is proved to run at another rate than the leader's.
type ClockDrift struct {
	Voter       Voter
	Rate        float64 // difference of rates that is certain, in parts of one; below 0 the voter's clock is slow
	LeaderClock bool    // it is the leader's own clock that differs
}

// ClockDrifts gives the voters whose contact doesn't count on account of their clocks, in the order of the voters; nil
// where this node does not lead.
func (n *Node) ClockDrifts() (drifts []ClockDrift) {
	if n.role != Leader {
		return nil
	}
	if n.ownClockDrifts() {
		return []ClockDrift{{Voter: n.self(), LeaderClock: true}}
	}
	for _, v := range n.HardState.Last.Voters {
		if p := n.progress[v.ID]; p != nil && v.ID != n.HardState.ID && p.clockRate.drifts() {
			drifts = append(drifts, ClockDrift{Voter: v, Rate: p.clockRate.drift})
		}
	}
	return drifts
}
