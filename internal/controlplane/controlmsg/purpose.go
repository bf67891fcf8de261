package controlmsg

// This file defines the purposes by which frames are counted.

import "weirwind/internal/util/transport"

// Purpose is the class of a frame for traffic counters.
type Purpose uint8

// Purposes of frames. A frame with more than one part is counted by the part that grows fastest with the fleet.
const (
	PurposeUnknown      Purpose = iota
	Discovery                   // handshakes of links
	LeaseRenewals               // agents' renewals, and answers without new state
	LeaseRecords                // drivers' leases between core machines
	DriverLists                 // drivers that were added or removed, or all drivers
	MemberRecords               // members' records that changed, or all records
	MemberHeartbeats            // members' heartbeats between core machines
	Configuration               // operators' configurations
	ShardMaps                   // assignments of shards to nodes
	Digests                     // digests of state without other content
	ConsensusHeartbeats         // messages of the consensus protocol without an entry
	ConsensusEntries            // messages of the consensus protocol with an entry
	PrimaryReports              // proxies' reports on primaries
	OperatorCalls               // operators' calls that are forwarded to the leader, and their answers
	Quotas                      // tokens and shares of tenants' quotas
	RelayedStatements           // the leader's statements to members through agents, and their replies
	WriterLeases                // proxies' requests for writer leases, the answers, and assignments of writers
	purposeCount
)

// purposeNames holds the names of purposes. They are keys in the status of processes, and must not change.
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
	RelayedStatements:   "relayed statements",
	WriterLeases:        "writer leases",
}

// String returns the purpose's name, as in the status of a process.
func (p Purpose) String() string {
	if p >= purposeCount {
		return purposeNames[PurposeUnknown]
	}
	return purposeNames[p]
}

// TrafficClass returns the frame's purpose as the class by which package transport counts it.
func (f *Frame) TrafficClass() uint8 { return uint8(f.Purpose()) }

// Purpose returns the purpose of the frame.
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
	case f.Statement != nil, f.Reply != nil:
		return RelayedStatements
	case f.WriterLeaseRequest != nil, f.WriterLeaseGrant != nil:
		return WriterLeases
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
	case u.Writers != nil:
		return WriterLeases
	}
	return LeaseRenewals
}

// Traffic counts the frames that a process sent and received, by the purpose's name.
type Traffic struct {
	Sent     map[string]transport.Count `json:"sent"`
	Received map[string]transport.Count `json:"received"`
}

// ReadTraffic returns the current values of counters. Purposes without a frame are left out.
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
