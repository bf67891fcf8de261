package emulator

// This file owns setups, which describe simulations, with their defaults and bounds.

import (
	"cmp"
	"fmt"

	"weirwind/logic"
)

// The policies of a setup. All but the module are baselines.
const (
	PolicyModule      = "module"
	PolicyPrimary     = "primary"
	PolicyRandom      = "random"
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least"
)

// OpKind is an op type and its share of the clients' ops, relative to the sum of all shares.
type OpKind struct {
	Name  string
	Share float64
	logic.OpType
}

// DefaultMix is the mix of a setup that has none.
var DefaultMix = []OpKind{
	{"recent", 4.5, logic.OpType{Need: logic.Bounded, MaxAge: 200, LatencyTarget: 250, OpTimeout: 1000, Value: 3}},
	{"own", 0.5, logic.OpType{Need: logic.Session, LatencyTarget: 250, OpTimeout: 1000, Value: 3}},
	{"any", 3.8, logic.OpType{Need: logic.Any, LatencyTarget: 300, OpTimeout: 1200, Value: 1}},
	{
		"write",
		1.2,
		logic.OpType{Need: logic.Write, Effect: logic.NonRetryable, LatencyTarget: 500, OpTimeout: 2000, Value: 3},
	},
}

// Setup describes a run. Times are milliseconds; a zero value stands for the default given at its field. The JSON form
// is stored with results and their files' names are hashes of it, so its keys must not change.
type Setup struct {
	Drivers, Groups int
	Members         int     // per group
	Cores           int     // per member
	ServiceTime     float64 `json:"Work"` // mean time of an op on one core
	Load            float64 // share of all members' cores that the ops need if each is served once
	ReplicationLag  float64 `json:"Lag"`
	Duration        float64 `json:"For"` // period in which clients arrive
	Retries         int     // maximum number of retries by a client whose op was refused
	Policy          string  // PolicyModule, or one of the baselines
	Seed            uint64
	Faults          []Fault

	Zones            int      // 0: two
	ZoneLatency      float64  `json:"Hop"`    // mean one-way latency within a zone; 0: 0.4, as in a data centre
	CrossZoneLatency float64  `json:"FarHop"` // between zones; 0: 1.2, as in one city
	Handshake        float64  // duration of a connection's handshake in addition to latency; 0: 2
	MaxConnections   int      `json:"Connections"` // per member; 0: no limit
	ElectionTime     float64  `json:"Elect"`       // from detecting a primary's failure to the next promotion; 0: 2000
	NoProbes         bool     // the module learns roles only from answers
	MessageRate      float64  `json:"Messages"` // peers' messages per second that a driver handles; 0: the module's limit
	NoAdvice         bool     // busy replies don't carry a retry delay
	Mix              []OpKind // nil: DefaultMix
}

// applyDefaults replaces zero values with their defaults.
func (s *Setup) applyDefaults() {
	s.Zones = cmp.Or(s.Zones, 2)
	s.ZoneLatency, s.CrossZoneLatency = cmp.Or(s.ZoneLatency, 0.4), cmp.Or(s.CrossZoneLatency, 1.2)
	s.Handshake, s.ElectionTime = cmp.Or(s.Handshake, 2), cmp.Or(s.ElectionTime, 2000)
	if s.Mix == nil {
		s.Mix = DefaultMix
	}
}

// Check returns an error if the setup is invalid; it does not check faults.
func (s *Setup) Check() error {
	switch {
	case s.Drivers < 1 || s.Drivers > 2000, s.Groups < 1 || s.Members < 1 || s.Groups*s.Members > 5000:
		return fmt.Errorf("a play has up to 2000 drivers and 5000 members")
	case s.Cores < 1 || s.ServiceTime <= 0 || s.Load <= 0 || s.Load > 20,
		s.ReplicationLag < 0 || s.Duration <= 0 || s.Duration > 3.6e6:
		return fmt.Errorf("a run needs cores, work, load, lag and a duration of at most one hour")
	case s.Zones < 0 || s.Zones > 26 || s.ZoneLatency < 0 || s.CrossZoneLatency < 0,
		s.Retries < 0 || s.MaxConnections < 0:
		return fmt.Errorf("a run has up to 26 zones, and no negative values")
	}
	for _, k := range s.Mix {
		if k.Name == "" || k.Share < 0 || k.OpTimeout <= 0 || k.LatencyTarget <= 0 {
			return fmt.Errorf("op type %q needs a name, a share, a target and a timeout", k.Name)
		}
	}
	switch s.Policy {
	case PolicyModule, PolicyPrimary, PolicyRandom, PolicyRoundRobin, PolicyLeastLoaded:
		return nil
	}
	return fmt.Errorf("policy %q; it may be module, primary, random, round-robin, least", s.Policy)
}
