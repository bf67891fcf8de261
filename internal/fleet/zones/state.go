package zones

// This file defines the states of a zone and their causes.

import "weirwind/internal/util/enum"

// State is a zone's state in the leader's state machine (see tracker).
type State uint8

// The states of a zone, in the order of an ejection and recovery.
const (
	Serving    State = iota
	Suspected        // an ejecting cause exists, but has not lasted long enough
	Draining         // its capacity is reduced step by step
	Ejected          // it receives only requests that no other zone can serve
	Recovering       // slow start: its capacity is restored gradually
)

var stateNames = enum.Names{"serving", "doubted", "leaving", "away", "returning"}

// String returns the state's name as used on the wire and in logs.
func (s State) String() string { return stateNames.Of(uint8(s)) }

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a state's name.
func (s *State) UnmarshalText(text []byte) error { return enum.Parse(stateNames, "state", text, s) }

// Cause is the reason why a zone is ejected, degraded or partly lost.
type Cause string

// The causes. Their texts are used on the wire and in logs.
const (
	NoCause     Cause = ""
	ZoneLost    Cause = "zone_lost"    // its drivers and members are lost
	MembersLost Cause = "members_lost" // its members are lost, while its drivers are alive
	DriversLost Cause = "drivers_lost" // its drivers are lost, while its members are alive and continue to serve
	Isolated    Cause = "isolated"     // it reaches its own members, but no other zone reaches them
	Slow        Cause = "slow"         // latency far above the zone's baseline
	Lagging     Cause = "behind"       // its replicas are too far behind their primaries
	Evacuated   Cause = "evacuated"    // evacuated by an operator's command
	RegionLost  Cause = "region_lost"  // all zones of its region are lost
)

// ejects reports whether a cause takes a zone out of service.
func (c Cause) ejects() bool { return c != NoCause && c != DriversLost && !c.degrades() }

// degrades reports whether a cause reduces a zone's capacity. A slow zone, or one whose replicas lag, still carries
// some load: ejecting it costs more than it saves (docs/zones.md).
func (c Cause) degrades() bool { return c == Slow || c == Lagging }

// isHard reports whether a cause leaves nothing to serve, so that the zone is ejected immediately, without draining.
func (c Cause) isHard() bool {
	return c == ZoneLost || c == MembersLost || c == RegionLost || c == Isolated
}
