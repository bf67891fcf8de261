package group

import (
	"math"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/writerslot"
)

// Group is the state of one replication group in one proxy.
type Group struct {
	Service string
	// Members holds the members that the directory lists, including draining ones. A member that was removed is not in it,
	// though its late answers may still be recorded.
	Members map[string]*Member
	// Slot names the believed primary by its ID, empty for none. A member in the slot is always in Members.
	Slot writerslot.Slot[string]
	// SlotReason is the cause of the last change of the slot, for logs and operators.
	SlotReason string
	slotFillAt float64 // time of the evidence on which the slot was last filled

	watermarks    watermarks
	nextProbe     float64 // no probe is due before this time
	probeInterval float64 // time from the next probe to the one after it
	distanceTo    func(zone string) Distance

	// MayWrite reports whether writes may be sent to a member, according to the control plane. If it is nil, they may.
	MayWrite func(memberID string) bool
}

// NewGroup returns the group of a service, without members. distanceTo returns the distance of a zone from this
// proxy's.
func NewGroup(service string, distanceTo func(zone string) Distance) *Group {
	return &Group{Service: service, Members: map[string]*Member{}, Slot: writerslot.NewSlot[string](),
		distanceTo: distanceTo, probeInterval: minProbeInterval}
}

// UpdateMember applies a member's record from the directory, which may change the writer slot.
func (g *Group) UpdateMember(record directory.Member, now float64) {
	m := g.Members[record.ID]
	if record.Tombstone {
		if m != nil {
			delete(g.Members, record.ID)
			g.vacateSlot(record.ID, now, "gone")
		}
		return
	}
	if m == nil {
		m = &Member{replicaSeenAt: math.Inf(-1), laggedAt: math.Inf(-1), lastResponse: now, KnownSince: now,
			distance: g.distanceTo(record.Zone), latency: initialLatency}
		g.Members[record.ID] = m
	}
	restarted := record.Incarnation > m.Incarnation && m.Incarnation > 0
	m.Member = record
	if restarted {
		m.ejectedUntil, m.KnownSince = 0, now
	}
	switch {
	case record.Draining:
		g.vacateSlot(record.ID, now, "draining")
	case record.Role == directory.RolePrimary:
		g.offerSlot(m, now, "beat")
	case record.Role == directory.RoleReplica:
		g.recordReplica(m, now, now, "replica")
	}
}

// recordReplica processes evidence that a member is a replica: a heartbeat, or an answer to a request that was sent at
// evidenceAt. Evidence from before the member was put into the slot does not empty it: it has been promoted since.
func (g *Group) recordReplica(member *Member, evidenceAt, now float64, reason string) {
	member.replicaSeenAt = max(member.replicaSeenAt, evidenceAt)
	if evidenceAt >= g.slotFillAt {
		g.vacateSlot(member.ID, now, reason)
	}
}

// vacateSlot empties the slot if the member is in it, on evidence from the member or the control plane that it is no
// longer the primary: older evidence can't put it back.
func (g *Group) vacateSlot(id string, now float64, reason string) {
	if g.Slot.Holder == id {
		g.emptySlot(now, false, id+" "+reason)
	}
}

// emptySlot empties the slot and makes a probe due at once. silent means that the only evidence is missing answers, so
// that the member's next answer may put it back.
func (g *Group) emptySlot(now float64, silent bool, reason string) {
	g.Slot.Clear(now, silent)
	g.SlotReason = reason
	g.resetProbes(now)
}

// offerSlot puts a member into the slot if evidence of the time evidenceAt allows it. A member that was removed from
// the directory, and whose answer is late, is not put into it.
func (g *Group) offerSlot(member *Member, evidenceAt float64, source string) {
	if g.Members[member.ID] != member {
		return
	}
	if !g.Slot.Accepts(member.ID, evidenceAt, member.replicaSeenAt, member.Draining, true) {
		return
	}
	g.Slot.Fill(member.ID, evidenceAt)
	g.slotFillAt = evidenceAt
	g.SlotReason = member.ID + " by " + source
	member.Suspected, member.ejectedUntil = false, 0
	g.watermarks = nil // a former primary's positions don't cover what this one acknowledges
}

// LastUnresponsivePrimary returns the ID of the member that was last in the slot, if the slot is empty only because
// that member stopped answering and no later evidence shows that it became a replica. Otherwise it returns "".
func (g *Group) LastUnresponsivePrimary() string {
	if g.Slot.Holder != "" || !g.Slot.Unresponsive {
		return ""
	}
	if m := g.Members[g.Slot.LastHolder]; m != nil && m.replicaSeenAt > g.Slot.EmptiedAt {
		return ""
	}
	return g.Slot.LastHolder
}

// mayWrite reports whether writes may be sent to a member.
func (g *Group) mayWrite(member *Member) bool { return g.MayWrite == nil || g.MayWrite(member.ID) }

// Primary returns the member in the writer slot, or nil.
func (g *Group) Primary() *Member {
	if g.Slot.Holder == "" {
		return nil
	}
	return g.Members[g.Slot.Holder]
}
