package controlmsg

import "weirwind/internal/util/transport"

// Purpose is what a frame is sent for: the classes by which traffic is counted.
type Purpose uint8

// Purposes of frames. A frame with several parts is counted by the part that grows fastest.
const (
	PurposeUnknown Purpose = iota
	Discovery
	LeaseRenewals    // an agent's renewals, and answers that hold nothing new
	LeaseRecords     // drivers' leases between core machines
	DriverLists      // drivers that came and went, or all of them
	MemberRecords    // members' records that changed, or all of them
	MemberHeartbeats // heartbeats passed on between core machines
	Configuration
	ShardMaps
	Digests
	ConsensusHeartbeats // messages of the agreement without an entry
	ConsensusEntries    // with one
	PrimaryReports      // what proxies see of primaries
	OperatorCalls       // passed on to who leads, and their answers
	purposeCount
)

var purposeNames = [purposeCount]string{"unknown", "discovery", "lease renewals", "lease records", "driver lists", "member records",
	"member heartbeats", "configuration", "shard maps", "digests", "agreement heartbeats", "agreement entries", "primary reports", "operator calls"}

func (p Purpose) String() string {
	if p >= purposeCount {
		return purposeNames[PurposeUnknown]
	}
	return purposeNames[p]
}

// TrafficClass makes frames countable by their purpose.
func (f *Frame) TrafficClass() uint8 { return uint8(f.Purpose()) }

// Purpose says what a frame is sent for.
func (f *Frame) Purpose() Purpose {
	switch {
	case f.Hello != nil:
		return Discovery
	case f.Consensus != nil:
		if f.Consensus.Entry != nil {
			return ConsensusEntries
		}
		return ConsensusHeartbeats
	case f.LeaseRenewal != nil:
		return LeaseRenewals
	case f.Update != nil:
		return f.Update.purpose()
	case f.Heartbeats != nil:
		return MemberHeartbeats
	case f.PrimaryReport != nil:
		return PrimaryReports
	case f.Request != nil, f.Response != nil:
		return OperatorCalls
	case f.Leases != nil:
		return LeaseRecords
	case f.Digest != nil:
		return Digests
	}
	return PurposeUnknown
}

func (u *StateUpdate) purpose() Purpose {
	switch {
	case u.Config != nil:
		return Configuration
	case u.ShardMap != nil:
		return ShardMaps
	case u.Members != nil:
		return MemberRecords
	case u.Drivers != nil, u.DriversJoined != nil, u.DriversLeft != nil:
		return DriverLists
	}
	return LeaseRenewals
}

// Traffic is what a process sent and received by purpose.
type Traffic struct {
	Sent     map[string]transport.Count `json:"sent"`
	Received map[string]transport.Count `json:"received"`
}

// ReadTraffic reads counters. Purposes of which there was nothing are left out.
func ReadTraffic(c *transport.Counters) Traffic {
	t := Traffic{Sent: map[string]transport.Count{}, Received: map[string]transport.Count{}}
	for p := PurposeUnknown; p < purposeCount; p++ {
		if n := c.Sent(uint8(p)); n.Frames > 0 {
			t.Sent[p.String()] = n
		}
		if n := c.Received(uint8(p)); n.Frames > 0 {
			t.Received[p.String()] = n
		}
	}
	return t
}
