package controlplane

import (
	"encoding/json"
	"io"
	"net/http"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// membersResource serves the calls of members.
type membersResource struct{ server *Server }

// heartbeatBody is the body of a heartbeat, as members send it. Fields that are not known here are ignored.
type heartbeatBody struct {
	Service    string `json:"svc"`
	Addr       string `json:"addr"`
	Zone       string `json:"zone"`
	Generation string `json:"gen"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`  // "draining": it wants to leave
	Role       string `json:"dbRole"` // "primary" or "replica"; any other is unknown
	Seq        uint64 `json:"seq"`
}

// record gives the member's record, as it describes itself.
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

// heartbeat takes a member's heartbeat, and acknowledges it once it is in the table here.
func (m *membersResource) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	var b heartbeatBody
	if err == nil {
		err = json.Unmarshal(body, &b)
	}
	if err != nil || b.Service == "" || b.Addr == "" {
		writeError(w, &invalidCallError{"a beat names its svc and addr"})
		return
	}
	record, state := b.record(r.PathValue("id")), m.server.state
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

// leave takes a member's notice that it ends.
func (m *membersResource) leave(w http.ResponseWriter, r *http.Request) {
	id, state := r.PathValue("id"), m.server.state
	known := false
	err := state.call(func() { known = state.members.leave(id, m.server.now()) })
	switch {
	case err != nil:
		writeError(w, errStopping)
	case !known && m.server.now() < ms(recoveryPeriod):
		writeError(w, errUnknownMember) // another machine's record of it would stay
	default:
		m.acknowledgeLeaving(w)
	}
}

// forget removes a member that is gone for good from the roster, by an operator's call: its group waits for it no
// longer. What it alone held is given up.
func (m *membersResource) forget(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	state := m.server.state
	state.do(func() { state.members.remove(id, m.server.now()) })
	writeAnswer(w, m.server.submit(controlmsg.Request{ForgetMember: id}), contentTypeText)
}

// acknowledgeLeaving answers a member that drains or leaves, once a majority has been in contact since its record was
// sent to the other machines. What is acknowledged binds all drivers: where the core has just been cut apart, contact
// still lasts for a moment, and the other side would never learn of it.
func (m *membersResource) acknowledgeLeaving(w http.ResponseWriter) {
	if m.server.inContact() && !m.server.awaitContact(m.server.now(), leavingTimeout) {
		writeError(w, errNoContact)
		return
	}
	m.acknowledge(w)
}

// acknowledge answers a member whose record is in the table here. Without contact it would be in no other: the member
// is to repeat its call to another machine.
func (m *membersResource) acknowledge(w http.ResponseWriter) {
	if m.server.rejectWithoutContact(w) {
		return
	}
	w.Header().Set(headerContentType, contentTypeJSON)
	_, _ = io.WriteString(w, "{}\n")
}
