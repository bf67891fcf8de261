package emulator

// This file owns setups: what is simulated, with defaults and bounds.

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

// OpKind is an op type and its share of the clients' ops, in parts of the sum of all shares.
type OpKind struct {
	Name  string
	Share float64
	logic.OpType
}

// DefaultMix is the mix of a setup without one.
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

// Setup describes a run. Times are milliseconds; a zero value takes the default that its field names. The JSON form is
// kept beside results and names their files, so its keys are the ones that files have from the beginning.
type Setup struct {
	Drivers, Groups int
	Members         int     // per group
	Cores           int     // per member
	ServiceTime     float64 `json:"Work"` // mean time of an op on one core
	Load            float64 // share of all members' cores that ops would take if each were served once
	ReplicationLag  float64 `json:"Lag"`
	Duration        float64 `json:"For"` // for which clients arrive
	Retries         int     // by a client whose op was refused, before its deadline
	Policy          string  // PolicyModule, or one of the baselines
	Seed            uint64
	Faults          []Fault

	Zones            int      // 0: two
	ZoneLatency      float64  `json:"Hop"`    // mean one-way latency within a zone; 0: 0.4, as in a data centre
	CrossZoneLatency float64  `json:"FarHop"` // between zones; 0: 1.2, as in one city
	Handshake        float64  // of a new connection, beside its latency; 0: 2
	MaxConnections   int      `json:"Connections"` // per member; 0: no limit
	ElectionTime     float64  `json:"Elect"`       // from the detection of a primary's failure to the next one; 0: 2000
	NoProbes         bool     // the module learns roles from answers alone
	MessageRate      float64  `json:"Messages"` // of peers, a second, that a driver takes about; 0: the module's limit
	NoAdvice         bool     // busy replies don't say when to retry
	Mix              []OpKind // nil: DefaultMix
}

// applyDefaults replaces zero values by their defaults.
func (s *Setup) applyDefaults() {
	s.Zones = cmp.Or(s.Zones, 2)
	s.ZoneLatency, s.CrossZoneLatency = cmp.Or(s.ZoneLatency, 0.4), cmp.Or(s.CrossZoneLatency, 1.2)
	s.Handshake, s.ElectionTime = cmp.Or(s.Handshake, 2), cmp.Or(s.ElectionTime, 2000)
	if s.Mix == nil {
		s.Mix = DefaultMix
	}
}

// Check says what is wrong with a setup, beside its faults.
func (s *Setup) Check() error {
	switch {
	case s.Drivers < 1 || s.Drivers > 2000, s.Groups < 1 || s.Members < 1 || s.Groups*s.Members > 5000:
		return fmt.Errorf("a play has up to 2000 drivers and 5000 members")
	case s.Cores < 1 || s.ServiceTime <= 0 || s.Load <= 0 || s.Load > 20,
		s.ReplicationLag < 0 || s.Duration <= 0 || s.Duration > 3.6e6:
		return fmt.Errorf("a play wants cores, work, load, lag and a time of an hour at most")
	case s.Zones < 0 || s.Zones > 26 || s.ZoneLatency < 0 || s.CrossZoneLatency < 0,
		s.Retries < 0 || s.MaxConnections < 0:
		return fmt.Errorf("a play has up to 26 zones, and nothing of it is below zero")
	}
	for _, k := range s.Mix {
		if k.Name == "" || k.Share < 0 || k.OpTimeout <= 0 || k.LatencyTarget <= 0 {
			return fmt.Errorf("op type %q wants a name, a share, a target and a timeout", k.Name)
		}
	}
	switch s.Policy {
	case PolicyModule, PolicyPrimary, PolicyRandom, PolicyRoundRobin, PolicyLeastLoaded:
		return nil
	}
	return fmt.Errorf("policy %q; it may be module, primary, random, round-robin, least", s.Policy)
}
