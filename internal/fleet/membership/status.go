package membership

// View is what operators are shown of a peer.
type View struct {
	Name          string   `json:"name"`
	State         State    `json:"state"`
	Reachable     bool     `json:"heard"`  // directly, by this driver itself
	OnRoster      bool     `json:"listed"` // on the one that this driver has
	Address       string   `json:"address"`
	Zone          string   `json:"zone,omitempty"`
	Run           uint64   `json:"run"`
	Incarnation   uint32   `json:"inc"`
	StateDuration float64  `json:"for_ms"`                  // in this state, in milliseconds
	Unreachable   []string `json:"does_not_hear,omitempty"` // by this peer
}

// Status is a driver's view as operators are shown it.
type Status struct {
	Self              string          `json:"self"`
	Partition         PartitionStatus `json:"standing"`
	Reason            string          `json:"reason,omitempty"`
	PartitionDuration float64         `json:"for_ms"` // with this status, in milliseconds
	DriverCount       int             `json:"count"`  // Fleet.DriverCount
	Address           string          `json:"address"`
	Run               uint64          `json:"run"`
	Health            int             `json:"health"` // Lifeguard's score; 0: good
	Roster            *Roster         `json:"roster"`
	RejectedFrames    int64           `json:"frames_refused"` // from another secret's drivers, or damaged; the mesh fills it in
	BytesSent         int64           `json:"bytes_sent"`     // by UDP; the mesh fills it in
	Drivers           []View          `json:"drivers"`
}

// Status gives the view as it is now.
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

// StateOf is what a peer is taken for; Left where it is not known.
func (f *Fleet) StateOf(name string) State {
	if p := f.peersByName[name]; p != nil {
		return p.Record.State
	}
	return Left
}

// AddressOf is where a peer is reached that does not count as ended; "": none is.
func (f *Fleet) AddressOf(name string) string {
	if p := f.peersByName[name]; p != nil && !p.State.ended() {
		return p.Record.Address
	}
	return ""
}

// LiveAddresses are the addresses of peers that do not count as ended, in the order of their names.
func (f *Fleet) LiveAddresses() (addresses []string) {
	for _, p := range f.peers {
		if !p.State.ended() {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}
