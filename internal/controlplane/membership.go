package controlplane

import (
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/util/events"
)

// Times of members.
const (
	// memberTimeout is how long a member may be silent before it expires, and how long its tombstone is kept.
	memberTimeout = 60 * time.Second
	// drainDeadlineMs is the time after which a primary's drain takes effect even if its role was not handed over.
	drainDeadlineMs = 3500.0
	// newIncarnationIntervals is the number of heartbeat intervals of silence after which a lower sequence number starts a
	// new incarnation of the member. Before that it is a late heartbeat, and is dropped.
	newIncarnationIntervals = 3.0
	// replacedIntervals is the number of heartbeat intervals of silence after which a member is removed because another
	// one uses its address. A member with a more recent heartbeat stays, so that a late heartbeat of the old member does
	// not remove the new one.
	replacedIntervals = 1.5
)

// membership holds the table of members, and the records that are yet to be published. It belongs to softState.
type membership struct {
	table *directory.Members

	// pendingRecords holds the ids of members whose current records are published at the next tick. When many members
	// start at once, each agent gets one frame per tick instead of one per member.
	pendingRecords map[string]bool
	// drainingSince is the time at which each leaving member began to leave, until its drain takes effect at drivers.
	drainingSince map[string]float64

	heartbeatInterval float64 // of a member, in ms
	log               events.Log
	agents            *agentLinks
	peers             *peerExchange
}

func newMembership(log events.Log, heartbeatInterval float64, agents *agentLinks, peers *peerExchange) membership {
	return membership{table: directory.NewMembers(), pendingRecords: map[string]bool{},
		drainingSince: map[string]float64{}, heartbeatInterval: heartbeatInterval, log: log, agents: agents, peers: peers}
}

// handleHeartbeat handles a heartbeat that a member sent to this machine. A change of role or a drain is published at
// once, as clients' statements wait for it; all other changes are published at the next tick.
func (m *membership) handleHeartbeat(record directory.Member, now float64) {
	previous, known := m.table.Get(record.ID)
	current, fresh, changed := m.table.Heartbeat(record, now, newIncarnationIntervals*m.heartbeatInterval)
	if !fresh {
		return
	}
	if !changed {
		m.peers.addHeartbeat(current)
		return
	}
	if !known {
		m.log.Event(events.MemberJoined, "member", current.ID, "svc", current.Service, "addr", current.Addr,
			"role", int(current.Role))
		m.removeReplaced(current, now)
	} else if previous.Role != current.Role {
		m.log.Event(events.MemberRoleChanged, "member", current.ID, "svc", current.Service, "role", int(current.Role))
	}
	m.beginDrain(current, now)
	if !known || previous.Role == current.Role && previous.Leaving == current.Leaving {
		m.pendingRecords[current.ID] = true
		return
	}
	m.publish([]directory.Member{current})
}

// mergeHeartbeats merges heartbeats that arrived at another core machine.
func (m *membership) mergeHeartbeats(heartbeats []controlmsg.Heartbeat, now float64) {
	for _, heartbeat := range heartbeats {
		m.table.ObserveHeartbeat(heartbeat.MemberID, heartbeat.Incarnation, heartbeat.Seq, now)
	}
}

// merge merges records from another process, and notifies agents of those that changed here.
func (m *membership) merge(records []directory.Member, now float64) {
	changed := m.table.Merge(records, now)
	for _, record := range changed {
		m.beginDrain(record, now)
	}
	if changed != nil {
		m.agents.notify(&controlmsg.StateUpdate{Members: changed})
	}
}

// leave records that a member announced its departure. It reports whether the member is known here.
func (m *membership) leave(id string, now float64) (known bool) {
	if record, ok := m.table.Leave(id, now); ok {
		m.publishRemoval(record)
	}
	_, known = m.table.Get(id)
	return known
}

// remove records that a member has ended without announcing it. A later heartbeat of the member brings it back.
func (m *membership) remove(id string, now float64) {
	if record, ok := m.table.Remove(id, now); ok {
		m.publishRemoval(record)
	}
}

// publishRemoval logs and publishes the end of a member.
func (m *membership) publishRemoval(record directory.Member) {
	m.log.Event(events.MemberRemoved, "member", record.ID, "why", "left")
	m.publish([]directory.Member{record})
}

// removeReplaced removes members whose address another member now uses: a member that crashed comes back with its log
// but with another id. The old id stays on the roster until it may be removed, which takes a live primary; it is
// removed from the directory at once instead of when it expires.
func (m *membership) removeReplaced(replacement directory.Member, now float64) {
	for _, old := range m.table.Snapshot() {
		sameAddress := old.Service == replacement.Service && old.Addr == replacement.Addr && old.ID != replacement.ID
		if sameAddress && !old.Tombstone && m.table.HeartbeatAge(old.ID, now) > replacedIntervals*m.heartbeatInterval {
			m.remove(old.ID, now)
		}
	}
}

// expire removes members that were silent for memberTimeout.
func (m *membership) expire(now float64) {
	expired := m.table.Expire(now, ms(memberTimeout))
	for _, record := range expired {
		m.log.Event(events.MemberRemoved, "member", record.ID, "why", "silent")
	}
	if expired != nil {
		m.publish(expired)
	}
}

// beginDrain starts the drain of a member whose record says that it is leaving. The drain of a non-primary takes effect
// at once; a primary's role is handed over first.
func (m *membership) beginDrain(record directory.Member, now float64) {
	if !record.Leaving || record.Draining || record.Tombstone {
		return
	}
	if _, ok := m.drainingSince[record.ID]; !ok {
		m.drainingSince[record.ID] = now
		m.log.Event(events.MemberDraining, "member", record.ID, "svc", record.Service, "role", int(record.Role))
	}
	if record.Role != directory.RolePrimary {
		m.enforceDrain(record.ID)
	}
}

// enforceDrains applies pending drains whose member is no longer a primary, or whose deadline has passed.
func (m *membership) enforceDrains(now float64) {
	for id, since := range m.drainingSince {
		record, ok := m.table.Get(id)
		switch {
		case !ok || !record.Leaving || record.Draining:
			delete(m.drainingSince, id)
		case record.Role != directory.RolePrimary || now-since > drainDeadlineMs:
			m.enforceDrain(id)
		}
	}
}

// enforceDrain publishes a leaving member's drain, so that it takes effect at drivers.
func (m *membership) enforceDrain(id string) {
	if record, ok := m.table.StartDraining(id); ok {
		m.publish([]directory.Member{record})
	}
}

// publishPending publishes the records in pendingRecords.
func (m *membership) publishPending() {
	var records []directory.Member
	for id := range m.pendingRecords {
		if record, ok := m.table.Get(id); ok {
			records = append(records, record)
		}
	}
	clear(m.pendingRecords)
	if records != nil {
		m.publish(records)
	}
}

// publish sends records to agents and to the other core machines.
func (m *membership) publish(records []directory.Member) {
	update := &controlmsg.StateUpdate{Members: records}
	m.agents.notify(update)
	m.peers.broadcast(&controlmsg.Frame{Update: update})
}

// live returns the members that have not ended, by service and sorted by id.
func (m *membership) live() map[string][]directory.Member {
	byService := map[string][]directory.Member{}
	for _, record := range m.table.Snapshot() {
		if !record.Tombstone {
			byService[record.Service] = append(byService[record.Service], record)
		}
	}
	return byService
}
