package controlplane

import (
	"encoding/json"
	"io"
	"net/http"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// membersResource serves the calls of members, and an operator's call to remove one.
type membersResource struct{ server *Server }

// heartbeatBody is the body of a member's heartbeat. Unknown fields are ignored.
type heartbeatBody struct {
	Service    string `json:"svc"`
	Addr       string `json:"addr"`
	Zone       string `json:"zone"`
	Generation string `json:"gen"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`  // "draining" if the member wants to leave
	Role       string `json:"dbRole"` // "primary" or "replica"; any other is unknown
	Seq        uint64 `json:"seq"`
}

// record returns the member's record according to the heartbeat.
func (b *heartbeatBody) record(id string) directory.Member {
	record := directory.Member{ID: id, Service: b.Service, Addr: b.Addr, Zone: b.Zone, Generation: b.Generation,
		Slots: b.Slots, Leaving: b.State == "draining", Seq: b.Seq}
	switch b.Role {
	case "primary":
		record.Role = directory.RolePrimary
	case "replica":
		record.Role = directory.RoleReplica
	}
	return record
}

// heartbeat handles a member's heartbeat, and acknowledges it once it is in this machine's table.
func (m *membersResource) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	var parsed heartbeatBody
	if err == nil {
		err = json.Unmarshal(body, &parsed)
	}
	if err != nil || parsed.Service == "" || parsed.Addr == "" {
		writeError(w, &invalidCallError{"a beat names its svc and addr"})
		return
	}
	record, state := parsed.record(r.PathValue("id")), m.server.state
	if err := state.call(func() { state.members.handleHeartbeat(record, m.server.now()) }); err != nil {
		writeError(w, errStopping)
		return
	}
	if record.Leaving {
		m.acknowledgeLeaving(w)
		return
	}
	m.acknowledge(w)
}

// leave handles a member's notice that it is shutting down.
func (m *membersResource) leave(w http.ResponseWriter, r *http.Request) {
	id, state := r.PathValue("id"), m.server.state
	known := false
	err := state.call(func() { known = state.members.leave(id, m.server.now()) })
	switch {
	case err != nil:
		writeError(w, errStopping)
	case !known && m.server.now() < ms(recoveryPeriod):
		writeError(w, errUnknownMember) // otherwise another machine's record of it would remain
	default:
		m.acknowledgeLeaving(w)
	}
}

// forget removes a permanently lost member from the roster, on an operator's call, so that its group no longer waits
// for it. Commits that only this member held are lost.
func (m *membersResource) forget(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	state := m.server.state
	state.enqueue(func() { state.members.remove(id, m.server.now()) })
	writeAnswer(w, m.server.submit(controlmsg.Request{ForgetMember: id}), contentTypeText)
}

// acknowledgeLeaving answers a member that drains or leaves, once a majority has been in contact since its record was
// sent to the other machines. An acknowledged drain or leave must take effect at all drivers: just after a network
// partition this machine's contact lasts for a moment longer, and the other side would never learn of the record.
func (m *membersResource) acknowledgeLeaving(w http.ResponseWriter) {
	if m.server.inContact() && !m.server.awaitContact(m.server.now(), leaveContactTimeout) {
		writeError(w, errNoContact)
		return
	}
	m.acknowledge(w)
}

// acknowledge answers a member whose record is in this machine's table. Without contact the record reaches no other
// machine, so the member gets an error and repeats its call to another one.
func (m *membersResource) acknowledge(w http.ResponseWriter) {
	if m.server.rejectWithoutContact(w) {
		return
	}
	w.Header().Set(headerContentType, contentTypeJSON)
	_, _ = io.WriteString(w, "{}\n")
}
