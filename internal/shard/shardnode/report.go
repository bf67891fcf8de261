package shardnode

// This file owns what a node reports of itself.

// Report is a node's answer to LOOK. The store fills in all but Busy and Slots, which are the runner's.
type Report struct {
	Capacity int64                    `json:"limit"`   // bytes of the disk
	External int64                    `json:"foreign"` // bytes of it that others than shards take
	Free     int64                    `json:"free"`    // bytes
	Busy     int                      `json:"busy"`    // of Slots
	Slots    int                      `json:"slots"`   // requests that the node runs at a time; 0: not known
	Replicas map[string]ReplicaReport `json:"copies"`  // by shard
}

// ReplicaReport is one replica in a Report.
type ReplicaReport struct {
	Epoch     uint64 `json:"epoch"`
	State     State  `json:"state"`
	LastIndex uint64 `json:"last"`
	Size      int64  `json:"held"` // bytes
}

// Report describes the store.
func (s *Store) Report() Report {
	report := Report{Capacity: s.Capacity, External: s.External, Free: s.FreeBytes(),
		Replicas: map[string]ReplicaReport{}}
	for shard, replica := range s.Replicas {
		report.Replicas[shard] = ReplicaReport{replica.Epoch, replica.State, replica.LastIndex(), replica.Size}
	}
	return report
}
