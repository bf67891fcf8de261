package zones

// This file owns the states of a zone and the causes for them.

import "weirwind/internal/util/enum"

// State is a zone's phase in the leader's state machine (see tracker).
type State uint8

// The states of a zone, in the order in which it leaves and returns.
const (
	Serving    State = iota
	Suspected        // an ejecting cause holds, but has not lasted yet
	Draining         // its share moves to other zones, step by step
	Ejected          // nothing is sent to it but what can go nowhere else
	Recovering       // slow start: its capacity comes back step by step
)

var stateNames = enum.Names{"serving", "doubted", "leaving", "away", "returning"}

// String is the state's name on the wire and in logs.
func (s State) String() string { return stateNames.Of(uint8(s)) }

// MarshalText gives a state its name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText takes a state's name.
func (s *State) UnmarshalText(text []byte) error { return enum.Parse(stateNames, "state", text, s) }

// Cause is why a zone is not simply serving.
type Cause string

// The causes. Their texts are on the wire and in logs.
const (
	NoCause     Cause = ""
	ZoneLost    Cause = "zone_lost"    // its drivers and its members
	MembersLost Cause = "members_lost" // while its drivers live
	DriversLost Cause = "drivers_lost" // while its members live: it serves on
	Isolated    Cause = "isolated"     // it reaches itself, no other zone reaches it
	Slow        Cause = "slow"         // latency far above the zone's baseline
	Lagging     Cause = "behind"       // its replicas are too far behind their primaries
	Evacuated   Cause = "evacuated"    // operators ordered it
	RegionLost  Cause = "region_lost"  // all zones of its region are lost
)

// ejects says whether a cause takes a zone out of service.
func (c Cause) ejects() bool { return c != NoCause && c != DriversLost && !c.degrades() }

// degrades says whether a cause leaves a zone a part of its capacity. A slow zone, or one whose replicas lag, still
// carries some load: to shut it costs more than it saves (docs/zones.md).
func (c Cause) degrades() bool { return c == Slow || c == Lagging }

// isHard says whether a cause leaves nothing to serve, so that the zone is ejected at once, without draining.
func (c Cause) isHard() bool {
	return c == ZoneLost || c == MembersLost || c == RegionLost || c == Isolated
}
