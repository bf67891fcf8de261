package consensus

import "math"

// This file holds the check that the voters' clocks run at the same rate, which contact relies on (contact.go).
//
// Each answer to a heartbeat carries a reading of the peer's clock, taken between the sending of the heartbeat and
// the receipt of the answer. So the offset of the peer's clock from the leader's is at least the reading minus the
// time of receipt and at most the reading minus the time of sending, regardless of delays by links, disks and pauses.
// If two such intervals, taken some time apart, don't overlap, the clocks' rates are proven to differ, by at least
// the gap. A slow link only widens the intervals, which proves nothing.
//
// A peer whose clock is proven to run at another rate is given no contact: it answers 503 and its agents leave it, as
// if it were partitioned. If a majority of the other voters differ from the leader in the same direction, the
// leader's own clock is wrong: it renews no contact of its own and transfers its leadership to another voter, which
// then treats it like any other peer.

const (
	// MaxClockDrift is the difference of rates, as a fraction, above which a peer's contact no longer counts. Normal
	// clocks stay below 0.001; at this bound a contact of ContactLease is wrong by 6 ms.
	MaxClockDrift = 0.004
	// clockWindowMs is the length of a window, for which only the narrowest interval is kept; maxClockWindows is the
	// number of windows. A clock jump, as after a machine's suspension, is forgotten after their product, one minute.
	clockWindowMs   = 5000.0
	maxClockWindows = 12
	// trackedRounds is the number of latest rounds whose sending times are kept.
	trackedRounds = 64
)

// offsetInterval bounds the offset of a peer's clock from the leader's at some moment between sentAt and receivedAt.
type offsetInterval struct {
	sentAt, receivedAt   float64 // milliseconds on the leader's clock
	minOffset, maxOffset float64 // milliseconds
}

func (i *offsetInterval) width() float64 { return i.maxOffset - i.minOffset }

// clockRate is what a leader knows about the rate of a peer's clock.
type clockRate struct {
	incarnation uint32           // of the peer's process: each process starts a new clock
	windows     []offsetInterval // the narrowest interval of each window, oldest first
	windowEnd   float64          // end of the latest window
	drift       float64          // proven lower bound of the difference of rates; positive if the peer's clock is fast
}

// observe adds an interval.
func (c *clockRate) observe(interval offsetInterval, incarnation uint32) {
	if incarnation != c.incarnation {
		*c = clockRate{incarnation: incarnation}
	}
	last := len(c.windows) - 1
	switch {
	case last < 0 || interval.receivedAt >= c.windowEnd:
		if len(c.windows) == maxClockWindows {
			c.windows = append(c.windows[:0], c.windows[1:]...)
		}
		c.windows = append(c.windows, interval)
		c.windowEnd = interval.receivedAt + clockWindowMs
	case interval.width() < c.windows[last].width():
		c.windows[last] = interval
	default:
		return
	}
	c.drift = c.provenDrift()
}

// provenDrift compares the latest interval with each earlier one, and returns the largest proven difference of rates.
func (c *clockRate) provenDrift() (drift float64) {
	newest := &c.windows[len(c.windows)-1]
	for i := range c.windows[:len(c.windows)-1] {
		earlier := &c.windows[i]
		elapsed := newest.receivedAt - earlier.sentAt
		minGain, maxGain := newest.minOffset-earlier.maxOffset, newest.maxOffset-earlier.minOffset
		rate := max(minGain, 0) / elapsed // the clock is fast
		if maxGain < 0 {
			rate = maxGain / elapsed // the clock is slow
		}
		if math.Abs(rate) > math.Abs(drift) {
			drift = rate
		}
	}
	return drift
}

// isDrifting reports whether the peer's clock is proven to run at another rate than the leader's.
func (c *clockRate) isDrifting() bool { return math.Abs(c.drift) > MaxClockDrift }

// roundTimes holds the sending times of the latest rounds.
type roundTimes [trackedRounds]struct {
	round  uint64
	sentAt float64
}

func (r *roundTimes) record(round uint64, now float64) {
	slot := &r[round%trackedRounds]
	slot.round, slot.sentAt = round, now
}

// sentAt returns when a round was sent; ok is false for a round that is too old.
func (r *roundTimes) sentAt(round uint64) (at float64, ok bool) {
	slot := &r[round%trackedRounds]
	return slot.sentAt, slot.round == round && round > 0
}

// observeClock records the clock reading of a peer's answer.
func (n *Node) observeClock(peer *progress, msg *Message, now float64) {
	sentAt, ok := n.roundTimes.sentAt(msg.Round)
	if !ok || msg.Clock == 0 {
		return
	}
	interval := offsetInterval{sentAt: sentAt, receivedAt: now, minOffset: msg.Clock - now, maxOffset: msg.Clock - sentAt}
	peer.clockRate.observe(interval, msg.Incarnation)
}

// ownClockDrifts reports whether the clocks of a majority of the other voters, and at least two, are proven to differ
// from this leader's in the same direction: then it is the leader's clock that runs at another rate.
func (n *Node) ownClockDrifts() bool {
	fast, slow, others := 0, 0, 0
	for _, v := range n.HardState.Last.Voters {
		if v.ID == n.HardState.ID {
			continue
		}
		others++
		p := n.progress[v.ID]
		switch {
		case p == nil || !p.clockRate.isDrifting():
		case p.clockRate.drift > 0:
			fast++
		default:
			slow++
		}
	}
	agreed := max(fast, slow)
	return agreed >= 2 && 2*agreed > others
}

// ClockDrift describes a voter whose clock is proven to run at another rate than the leader's.
type ClockDrift struct {
	Voter       Voter
	Rate        float64 // proven difference of rates as a fraction; negative if the voter's clock is slow
	LeaderClock bool    // it is the leader's own clock that differs
}

// ClockDrifts returns the voters whose contact doesn't count because of their clocks, in the order of the voters, or
// nil if this node doesn't lead.
func (n *Node) ClockDrifts() (drifts []ClockDrift) {
	if n.role != Leader {
		return nil
	}
	if n.ownClockDrifts() {
		return []ClockDrift{{Voter: n.self(), LeaderClock: true}}
	}
	for _, v := range n.HardState.Last.Voters {
		if p := n.progress[v.ID]; p != nil && v.ID != n.HardState.ID && p.clockRate.isDrifting() {
			drifts = append(drifts, ClockDrift{Voter: v, Rate: p.clockRate.drift})
		}
	}
	return drifts
}
