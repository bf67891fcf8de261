package membership

// View is a peer's status as shown to operators.
type View struct {
	Name          string   `json:"name"`
	State         State    `json:"state"`
	Reachable     bool     `json:"heard"`  // heard directly by this driver
	OnRoster      bool     `json:"listed"` // on this driver's roster
	Address       string   `json:"address"`
	Zone          string   `json:"zone,omitempty"`
	Run           uint64   `json:"run"`
	Incarnation   uint32   `json:"inc"`
	StateDuration float64  `json:"for_ms"`                  // time in this state, in milliseconds
	Unreachable   []string `json:"does_not_hear,omitempty"` // names of drivers that this peer does not hear
}

// Status is a driver's view as shown to operators.
type Status struct {
	Self              string          `json:"self"`
	Partition         PartitionStatus `json:"standing"`
	Reason            string          `json:"reason,omitempty"`
	PartitionDuration float64         `json:"for_ms"` // time with this status, in milliseconds
	DriverCount       int             `json:"count"`  // Fleet.DriverCount
	Address           string          `json:"address"`
	Run               uint64          `json:"run"`
	Health            int             `json:"health"` // Lifeguard's health score; 0: good
	Roster            *Roster         `json:"roster"`
	RejectedFrames    int64           `json:"frames_refused"` // damaged, or sealed with another secret; set by the mesh
	BytesSent         int64           `json:"bytes_sent"`     // sent over UDP; set by the mesh
	Drivers           []View          `json:"drivers"`
}

// Status returns the current view.
func (f *Fleet) Status() Status {
	s := Status{
		Self:              f.self.Name,
		Partition:         f.partition,
		Reason:            f.partitionReason,
		PartitionDuration: f.now - f.partitionSince,
		DriverCount:       f.DriverCount(),
		Address:           f.self.Address,
		Run:               f.self.Run,
		Health:            f.health,
		Roster:            f.roster,
		Drivers:           []View{},
	}
	for _, p := range f.peers {
		s.Drivers = append(s.Drivers, View{
			Name:          p.Name,
			State:         p.State,
			Reachable:     !p.State.ended() && !p.unreachable,
			OnRoster:      p.onRoster,
			Address:       p.Address,
			Zone:          p.Zone,
			Run:           p.Run,
			Incarnation:   p.Incarnation,
			StateDuration: f.now - p.stateSince,
			Unreachable:   p.reachability.Unreachable,
		})
	}
	return s
}

// StateOf returns a peer's state, or Left if it is not known.
func (f *Fleet) StateOf(name string) State {
	if p := f.peersByName[name]; p != nil {
		return p.Record.State
	}
	return Left
}

// AddressOf returns the address of an alive or suspected peer, or "".
func (f *Fleet) AddressOf(name string) string {
	if p := f.peersByName[name]; p != nil && !p.State.ended() {
		return p.Record.Address
	}
	return ""
}

// LiveAddresses returns the addresses of alive and suspected peers, in the order of their names.
func (f *Fleet) LiveAddresses() (addresses []string) {
	for _, p := range f.peers {
		if !p.State.ended() {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}
