package shardnode

// This file defines a node's report of its store.

// Report is a node's answer to LOOK. Store.Report sets all fields except Busy and Slots, which the runner sets.
type Report struct {
	Capacity int64                    `json:"limit"`   // size of the disk in bytes
	External int64                    `json:"foreign"` // bytes of the disk used by other data than shards
	Free     int64                    `json:"free"`    // bytes
	Busy     int                      `json:"busy"`    // slots in use
	Slots    int                      `json:"slots"`   // requests that the node runs concurrently; 0: unknown
	Replicas map[string]ReplicaReport `json:"copies"`  // by shard
}

// ReplicaReport describes one replica in a Report.
type ReplicaReport struct {
	Epoch     uint64 `json:"epoch"`
	State     State  `json:"state"`
	LastIndex uint64 `json:"last"`
	Size      int64  `json:"held"` // bytes
}

// Report returns a report of the store.
func (s *Store) Report() Report {
	report := Report{Capacity: s.Capacity, External: s.External, Free: s.FreeBytes(),
		Replicas: map[string]ReplicaReport{}}
	for shard, replica := range s.Replicas {
		report.Replicas[shard] = ReplicaReport{replica.Epoch, replica.State, replica.LastIndex(), replica.Size}
	}
	return report
}
