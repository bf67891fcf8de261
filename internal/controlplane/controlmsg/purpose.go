package controlmsg

// This file owns the counting of frames by what they are sent for.

import "weirwind/internal/util/transport"

// Purpose is what a frame is sent for: the class by which its traffic is counted.
type Purpose uint8

// Purposes of frames. A frame with several parts is counted by the part that grows fastest with the fleet.
const (
	PurposeUnknown      Purpose = iota
	Discovery                   // the opening of links
	LeaseRenewals               // an agent's renewals, and answers with nothing new
	LeaseRecords                // drivers' leases between core machines
	DriverLists                 // drivers that were added or removed, or all of them
	MemberRecords               // members' records that changed, or all of them
	MemberHeartbeats            // heartbeats passed on between core machines
	Configuration               // the operator's configuration
	ShardMaps                   // which node owns which shard
	Digests                     // of state, between agents
	ConsensusHeartbeats         // messages of the consensus protocol without an entry
	ConsensusEntries            // and with one
	PrimaryReports              // what proxies observe of primaries
	OperatorCalls               // forwarded to the leader, and their answers
	Quotas                      // shares of tenants' quotas
	purposeCount
)

// purposeNames are keys of the status that processes answer with, and stay as they are.
var purposeNames = [purposeCount]string{
	PurposeUnknown:      "unknown",
	Discovery:           "discovery",
	LeaseRenewals:       "lease renewals",
	LeaseRecords:        "lease records",
	DriverLists:         "driver lists",
	MemberRecords:       "member records",
	MemberHeartbeats:    "member heartbeats",
	Configuration:       "configuration",
	ShardMaps:           "shard maps",
	Digests:             "digests",
	ConsensusHeartbeats: "agreement heartbeats",
	ConsensusEntries:    "agreement entries",
	PrimaryReports:      "primary reports",
	OperatorCalls:       "operator calls",
	Quotas:              "quotas",
}

// String returns the purpose's name in a process's status.
func (p Purpose) String() string {
	if p >= purposeCount {
		return purposeNames[PurposeUnknown]
	}
	return purposeNames[p]
}

// TrafficClass returns the frame's purpose as the class that package transport counts it in.
func (f *Frame) TrafficClass() uint8 { return uint8(f.Purpose()) }

// Purpose returns what the frame is sent for.
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
	case f.QuotaReport != nil, f.QuotaGrant != nil, f.QuotaRequest != nil, f.QuotaAnswer != nil:
		return Quotas
	case f.Request != nil, f.Response != nil:
		return OperatorCalls
	case f.Leases != nil, f.LeaseSync != nil:
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
	case u.Drivers != nil, u.DriversAdded != nil, u.DriversRemoved != nil:
		return DriverLists
	}
	return LeaseRenewals
}

// Traffic is what a process sent and received, by name of purpose.
type Traffic struct {
	Sent     map[string]transport.Count `json:"sent"`
	Received map[string]transport.Count `json:"received"`
}

// ReadTraffic reads counters. Purposes without a frame are left out.
func ReadTraffic(counters *transport.Counters) Traffic {
	t := Traffic{Sent: map[string]transport.Count{}, Received: map[string]transport.Count{}}
	for p := PurposeUnknown; p < purposeCount; p++ {
		if n := counters.Sent(uint8(p)); n.Frames > 0 {
			t.Sent[p.String()] = n
		}
		if n := counters.Received(uint8(p)); n.Frames > 0 {
			t.Received[p.String()] = n
		}
	}
	return t
}
