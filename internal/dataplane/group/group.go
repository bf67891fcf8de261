package group

import (
	"math"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/writerslot"
)

// Group is the state of one replication group in one proxy.
type Group struct {
	Service string
	// Members holds the members that the directory lists, draining ones included. A member that was removed is no
	// longer here, though its late answers may still be recorded.
	Members map[string]*Member
	// Slot names the believed primary by its id; the empty id is none. If it names a member, Members has it.
	Slot writerslot.Slot[string]
	// SlotReason says what caused the last change of the slot, for logs and operators.
	SlotReason string

	watermarks    watermarks
	nextProbe     float64 // no probe is due before
	probeInterval float64 // until the one after that; grows while nothing is found
	distanceTo    func(zone string) Distance
}

// NewGroup returns the group of a service without members. distanceTo says how far a zone is from this proxy's.
func NewGroup(service string, distanceTo func(zone string) Distance) *Group {
	return &Group{Service: service, Members: map[string]*Member{}, Slot: writerslot.NewSlot[string](),
		distanceTo: distanceTo, probeInterval: minProbeInterval}
}

// UpdateMember takes over a member's record from the directory at now, and what it says of the writer slot.
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
		m = &Member{replicaSeenAt: math.Inf(-1), laggedAt: math.Inf(-1), lastResponse: now,
			distance: g.distanceTo(record.Zone), latency: initialLatency}
		g.Members[record.ID] = m
	}
	restarted := record.Incarnation > m.Incarnation && m.Incarnation > 0
	m.Member = record
	if restarted {
		m.ejectedUntil = 0
	}
	switch {
	case record.Draining:
		g.vacateSlot(record.ID, now, "draining")
	case record.Role == directory.RolePrimary:
		g.offerSlot(m, now, "beat")
	case record.Role == directory.RoleReplica:
		m.replicaSeenAt = now
		g.vacateSlot(record.ID, now, "replica")
	}
}

// vacateSlot empties the slot if the member is in it, on evidence from the member or the control plane that it no
// longer leads: older evidence can't put it back.
func (g *Group) vacateSlot(id string, now float64, reason string) {
	if g.Slot.Holder == id {
		g.emptySlot(now, false, id+" "+reason)
	}
}

// emptySlot empties the slot and makes a probe due at once. silent: there is no evidence but missing answers, so that
// the member's next answer may put it back.
func (g *Group) emptySlot(now float64, silent bool, reason string) {
	g.Slot.Clear(now, silent)
	g.SlotReason = reason
	g.resetProbes(now)
}

// offerSlot puts a member into the slot if evidence of the time when allows it.
func (g *Group) offerSlot(member *Member, when float64, source string) {
	if !g.Slot.Accepts(member.ID, when, member.replicaSeenAt, member.Draining, true) {
		return
	}
	g.Slot.Fill(member.ID, when)
	g.SlotReason = member.ID + " by " + source
	member.Suspected, member.ejectedUntil = false, 0
	g.watermarks = nil // another primary's positions cover nothing that this one acknowledges
}

// SilentPrimary returns the id of the member that was taken out of the slot for its silence alone, and of which nothing
// was heard since that tells that it leads no longer; "" for none.
func (g *Group) SilentPrimary() string {
	if g.Slot.Holder != "" || !g.Slot.Unresponsive {
		return ""
	}
	if m := g.Members[g.Slot.LastHolder]; m != nil && m.replicaSeenAt > g.Slot.EmptiedAt {
		return ""
	}
	return g.Slot.LastHolder
}

// Primary returns the member in the writer slot, nil for none.
func (g *Group) Primary() *Member {
	if g.Slot.Holder == "" {
		return nil
	}
	return g.Members[g.Slot.Holder]
}
