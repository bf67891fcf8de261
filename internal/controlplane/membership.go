package controlplane

import (
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/util/events"
)

// Times of members.
const (
	// memberTimeout is for how long a member may be silent before it expires, and for how long its tombstone is kept.
	memberTimeout = 60 * time.Second
	// drainDeadlineMs is when a primary's drain takes effect though its role was not handed over.
	drainDeadlineMs = 3500.0
	// newIncarnationIntervals is after how many heartbeat intervals of silence a lower sequence number begins a new
	// incarnation of the member. Before that it is a heartbeat that arrived late, and is dropped.
	newIncarnationIntervals = 3.0
	// replacedIntervals is after how many heartbeat intervals of silence a member ends because another one sends from
	// its address. One that was heard of since stays, so that a late heartbeat of the old one doesn't end the new one.
	replacedIntervals = 1.5
)

// membership is the table of members, and which of its records others have yet to be sent. It belongs to softState.
type membership struct {
	table *directory.Members

	// pendingRecords are the ids of members whose records are published at the next tick, as they are by then. When many
	// members start, each agent is sent a frame a tick, not one for each of them.
	pendingRecords map[string]bool
	// drainingSince is when each leaving member was first known to leave, until its drain takes effect at drivers.
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

// handleHeartbeat takes a member's own heartbeat. A change of its role, or a drain, is published at once, as
// statements wait for it; all else waits for the next tick.
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
		m.endReplaced(current, now)
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

// observe takes heartbeats that arrived at another core machine.
func (m *membership) observe(heartbeats []controlmsg.Heartbeat, now float64) {
	for _, h := range heartbeats {
		m.table.ObserveHeartbeat(h.MemberID, h.Incarnation, h.Seq, now)
	}
}

// merge takes records of another process, and notifies agents of those that are new here.
func (m *membership) merge(records []directory.Member, now float64) {
	changed := m.table.Merge(records, now)
	for _, record := range changed {
		m.beginDrain(record, now)
	}
	if changed != nil {
		m.agents.notify(&controlmsg.StateUpdate{Members: changed})
	}
}

// leave notes that a member left by its own word. It reports whether the member is known here.
func (m *membership) leave(id string, now float64) (known bool) {
	if record, ok := m.table.Leave(id, now); ok {
		m.publishEnd(record)
	}
	_, known = m.table.Get(id)
	return known
}

// remove notes that a member has ended, without its word: it comes back by a heartbeat if it hasn't.
func (m *membership) remove(id string, now float64) {
	if record, ok := m.table.Remove(id, now); ok {
		m.publishEnd(record)
	}
}

// publishEnd logs and publishes that a member has ended.
func (m *membership) publishEnd(record directory.Member) {
	m.log.Event(events.MemberRemoved, "member", record.ID, "why", "left")
	m.publish([]directory.Member{record})
}

// endReplaced notes the end of members whose address another now has: a member that crashed comes back with its log
// and another id. The old id stays on the roster until it may be removed, which takes a live primary, but nobody
// waits for it to expire.
func (m *membership) endReplaced(by directory.Member, now float64) {
	for _, old := range m.table.Snapshot() {
		sameAddress := old.Service == by.Service && old.Addr == by.Addr && old.ID != by.ID
		if sameAddress && !old.Tombstone && m.table.HeartbeatAge(old.ID, now) > replacedIntervals*m.heartbeatInterval {
			m.remove(old.ID, now)
		}
	}
}

// expire lets go of members that were silent for too long.
func (m *membership) expire(now float64) {
	expired := m.table.Expire(now, ms(memberTimeout))
	for _, record := range expired {
		m.log.Event(events.MemberRemoved, "member", record.ID, "why", "silent")
	}
	if expired != nil {
		m.publish(expired)
	}
}

// beginDrain follows a record of a member that is leaving. The drain of one that is no primary takes effect at once;
// a primary's role is handed over first.
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

// enforceDrains has drains take effect that wait for a hand-over no longer: the member is no primary any more, or its
// time is up.
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

// enforceDrain has a leaving member's drain take effect at drivers.
func (m *membership) enforceDrain(id string) {
	if record, ok := m.table.StartDraining(id); ok {
		m.publish([]directory.Member{record})
	}
}

// publishPending publishes the records that waited for the tick.
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

// live gives the members that have not ended, by service, in the order of their ids.
func (m *membership) live() map[string][]directory.Member {
	byService := map[string][]directory.Member{}
	for _, record := range m.table.Snapshot() {
		if !record.Tombstone {
			byService[record.Service] = append(byService[record.Service], record)
		}
	}
	return byService
}
