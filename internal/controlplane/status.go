package controlplane

import (
	"encoding/json"
	"math"
	"net/http"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// statusResource serves GET /status: what this machine knows, for operators. With ?brief=1 the lists of members and
// drivers are left out.
type statusResource struct{ server *Server }

// serverStatus is the body of GET /status. Its keys are in order of the alphabet, which readers may rely on. Pointers
// are nil where a key is left out: those of a brief status, of a machine that knows no committed state, and the
// configuration's version at one without contact.
type serverStatus struct {
	Agents      int                    `json:"agents"`
	Changes     *int                   `json:"changes,omitempty"`
	Committed   bool                   `json:"committed"`
	CoreLinks   int                    `json:"coreLinks"`
	DiskFull    bool                   `json:"diskFull,omitempty"`
	DiskWaitMs  float64                `json:"diskWaitMs,omitempty"` // for which a write has kept the loop waiting
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

// trafficStatus counts the frames of the links that this machine dialled, and of those that it accepted.
type trafficStatus struct {
	Accepted controlmsg.Traffic `json:"accepted"`
	Dialled  controlmsg.Traffic `json:"dialled"`
}

// memberStatus is a member's record.
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

// driverStatus is a driver that holds a lease.
type driverStatus struct {
	Name        string `json:"Name"`
	Addr        string `json:"Addr"`
	Zone        string `json:"Zone"`
	Incarnation uint64 `json:"Life"`
}

// memberStatuses gives members' records as GET /status shows them; nil for nil, which is null in JSON.
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

// driverStatuses gives drivers as GET /status shows them; nil for nil, which is null in JSON.
func driverStatuses(drivers []directory.Driver) (out []driverStatus) {
	if drivers != nil {
		out = make([]driverStatus, 0, len(drivers))
	}
	for _, d := range drivers {
		out = append(out, driverStatus{Name: d.Name, Addr: d.Addr, Zone: d.Zone, Incarnation: d.Incarnation})
	}
	return out
}

// ServeHTTP has the two owners fill in their parts.
func (r *statusResource) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	brief := request.URL.Query().Get("brief") != ""
	h := r.server
	status := serverStatus{Machine: h.settings.Hostname, Traffic: trafficStatus{
		Accepted: controlmsg.ReadTraffic(&h.accepted), Dialled: controlmsg.ReadTraffic(&h.dialled)}}
	err := h.state.call(func() { h.state.reportStatus(&status, brief) })
	if err != nil {
		return
	}
	if !h.loop.fillStatus(&status) {
		status.DiskWaitMs, status.DiskFull = math.Round(h.loop.diskWait.writingFor(h.now())), h.loop.diskWait.isFull()
	}
	w.Header().Set(headerContentType, contentTypeJSON)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(&status)
}

// reportStatus fills in the soft state's part.
func (s *softState) reportStatus(status *serverStatus, brief bool) {
	members, drivers := s.members.table.Snapshot(), s.drivers.table.Drivers()
	status.Leading = s.leadership.active
	status.Agents, status.CoreLinks = len(s.agents.subscriptions), s.server.cores.count()
	status.MemberCount, status.DriverCount = len(members), len(drivers)
	if brief {
		return
	}
	failovers := map[string]string{}
	for service, c := range s.failovers.controllers {
		failovers[service] = c.State()
	}
	inContact, memberList, driverList := s.contact.established, memberStatuses(members), driverStatuses(drivers)
	status.InContact, status.Members, status.Drivers, status.Failovers = &inContact, &memberList, &driverList, &failovers
}

// fillStatus fills in the loop's part; false: the loop doesn't answer, as it waits for its disk, or the process ends.
// Then the status has the other parts alone.
func (c *consensusLoop) fillStatus(status *serverStatus) (answered bool) {
	part, answered := askLoop(c, func() (part serverStatus) {
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
		if c.server.inContact() { // else another version may be in place
			version := c.committed.Version
			status.Version = &version
		}
	}
}
