package controlplane

import (
	"encoding/json"
	"math"
	"net/http"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// statusResource serves GET /status, this machine's state for operators. With ?brief=1 the lists of members and drivers
// are left out.
type statusResource struct{ server *Server }

// serverStatus is the body of GET /status. Its keys are in alphabetical order, which readers may rely on. A pointer is
// nil if its key is left out: in a brief status, on a machine without a committed state, and for the configuration's
// version on one without contact.
type serverStatus struct {
	Agents      int                    `json:"agents"`
	Changes     *int                   `json:"changes,omitempty"`
	Committed   bool                   `json:"committed"`
	CoreLinks   int                    `json:"coreLinks"`
	DiskFull    bool                   `json:"diskFull,omitempty"`
	DiskWaitMs  float64                `json:"diskWaitMs,omitempty"` // time for which a write has blocked the loop
	DriverCount int                    `json:"driverCount"`
	Drivers     *[]driverStatus        `json:"drivers,omitempty"`
	Version     *uint64                `json:"gen,omitempty"`
	ID          string                 `json:"id"`
	InContact   *bool                  `json:"inContact,omitempty"`
	Index       uint64                 `json:"index"`
	LastSyncMs  float64                `json:"lastSyncMs"`
	Leader      string                 `json:"leader"`
	Leading     bool                   `json:"leads"`
	Machine     string                 `json:"machine"`
	MemberCount int                    `json:"memberCount"`
	Members     *[]memberStatus        `json:"members,omitempty"`
	MaxSyncMs   float64                `json:"mostSyncMs"`
	Peers       []consensus.PeerStatus `json:"others"`
	Failovers   *map[string]string     `json:"successions,omitempty"`
	Syncs       uint64                 `json:"syncs"`
	Term        uint64                 `json:"term"`
	Traffic     trafficStatus          `json:"traffic"`
	Voters      []consensus.Voter      `json:"voters"`
}

// trafficStatus counts the frames on the links that this machine dialled, and on those that it accepted.
type trafficStatus struct {
	Accepted controlmsg.Traffic `json:"accepted"`
	Dialled  controlmsg.Traffic `json:"dialled"`
}

// memberStatus is a member's record in GET /status.
type memberStatus struct {
	ID          string         `json:"ID"`
	Service     string         `json:"Svc"`
	Addr        string         `json:"Addr"`
	Zone        string         `json:"Zone"`
	Generation  string         `json:"Gen"`
	Slots       int            `json:"Slots"`
	Role        directory.Role `json:"Role"`
	Draining    bool           `json:"Draining"`
	Tombstone   bool           `json:"Gone"`
	Leaving     bool           `json:"Leaving"`
	Incarnation uint64         `json:"Life"`
	Seq         uint64         `json:"Seq"`
	Revision    uint64         `json:"Mark"`
}

// driverStatus is a driver with a lease in GET /status.
type driverStatus struct {
	Name        string `json:"Name"`
	Addr        string `json:"Addr"`
	Zone        string `json:"Zone"`
	Incarnation uint64 `json:"Life"`
}

// memberStatuses returns members' records for GET /status. It returns nil for nil, which is null in JSON.
func memberStatuses(members []directory.Member) (out []memberStatus) {
	if members != nil {
		out = make([]memberStatus, 0, len(members))
	}
	for _, m := range members {
		out = append(out, memberStatus{ID: m.ID, Service: m.Service, Addr: m.Addr, Zone: m.Zone, Generation: m.Generation,
			Slots: m.Slots, Role: m.Role, Draining: m.Draining, Tombstone: m.Tombstone, Leaving: m.Leaving,
			Incarnation: m.Incarnation, Seq: m.Seq, Revision: m.Revision})
	}
	return out
}

// driverStatuses returns drivers for GET /status. It returns nil for nil, which is null in JSON.
func driverStatuses(drivers []directory.Driver) (out []driverStatus) {
	if drivers != nil {
		out = make([]driverStatus, 0, len(drivers))
	}
	for _, d := range drivers {
		out = append(out, driverStatus{Name: d.Name, Addr: d.Addr, Zone: d.Zone, Incarnation: d.Incarnation})
	}
	return out
}

// ServeHTTP answers with the status. Each of the two owners fills in its part of it.
func (r *statusResource) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	brief := request.URL.Query().Get("brief") != ""
	srv := r.server
	status := serverStatus{Machine: srv.settings.Hostname, Traffic: trafficStatus{
		Accepted: controlmsg.ReadTraffic(&srv.accepted), Dialled: controlmsg.ReadTraffic(&srv.dialled)}}
	err := srv.state.call(func() { srv.state.reportStatus(&status, brief) })
	if err != nil {
		return
	}
	if !srv.loop.fillStatus(&status) {
		status.DiskWaitMs, status.DiskFull = math.Round(srv.loop.diskWait.currentWriteMs(srv.now())),
			srv.loop.diskWait.isFull()
	}
	w.Header().Set(headerContentType, contentTypeJSON)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(&status)
}

// reportStatus fills in the soft state's part.
func (s *softState) reportStatus(status *serverStatus, brief bool) {
	members, drivers := s.members.table.Snapshot(), s.drivers.table.Drivers()
	status.Leading = s.leadership.active
	status.Agents, status.CoreLinks = len(s.agents.subscriptions), s.server.cores.countDialled()
	status.MemberCount, status.DriverCount = len(members), len(drivers)
	if brief {
		return
	}
	failovers := map[string]string{}
	for service, c := range s.failovers.controllers {
		failovers[service] = c.State()
	}
	inContact, memberList, driverList := s.contact.inContact, memberStatuses(members), driverStatuses(drivers)
	status.InContact, status.Members, status.Drivers, status.Failovers = &inContact, &memberList, &driverList, &failovers
}

// fillStatus fills in the loop's part. It returns false, and leaves that part empty, if the loop does not answer
// because it waits for its disk or the process stops.
func (c *consensusLoop) fillStatus(status *serverStatus) (answered bool) {
	part, answered := callLoop(c, func() (part serverStatus) {
		c.reportStatus(&part)
		return part
	})
	if answered {
		status.ID, status.Term, status.Leader, status.Voters = part.ID, part.Term, part.Leader, part.Voters
		status.Index, status.Committed, status.Peers = part.Index, part.Committed, part.Peers
		status.Syncs, status.LastSyncMs, status.MaxSyncMs = part.Syncs, part.LastSyncMs, part.MaxSyncMs
		status.Version, status.Changes = part.Version, part.Changes
	}
	return answered
}

// reportStatus fills in the loop's part.
func (c *consensusLoop) reportStatus(status *serverStatus) {
	leader, _ := c.node.Leader()
	entry, committed := c.node.Committed()
	status.ID, status.Term, status.Leader = c.node.HardState.ID, c.node.HardState.Term, leader.Addr
	status.Voters, status.Index, status.Committed = entry.Voters, entry.Index, committed
	status.Peers = c.node.PeerStatuses(c.server.now())
	status.Syncs, status.LastSyncMs, status.MaxSyncMs = c.syncs, c.lastSyncMs, c.maxSyncMs
	if c.committed != nil {
		changes := len(c.committed.History)
		status.Changes = &changes
		if c.server.inContact() { // otherwise a newer version may be committed
			version := c.committed.Version
			status.Version = &version
		}
	}
}
