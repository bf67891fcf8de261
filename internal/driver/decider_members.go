package driver

import (
	"maps"

	"weirwind/internal/discovery"
	"weirwind/logic"
)

// drainReasons are why a member counts as draining whatever the list says.
type drainReasons uint8

const (
	drainSwitchover drainReasons = 1 << iota // its role is moving to another member
	drainPeer                                // a peer was notified of its drain, and the own list doesn't show it yet
)

var phases = map[string]logic.Phase{
	discovery.PhaseUp:       logic.Ready,
	discovery.PhaseDraining: logic.Draining,
	discovery.PhaseRemoved:  logic.Gone,
}

// updateMembership gives the module a list, changes of it, or notice that a call for it failed.
func (d *decider) updateMembership(kind logic.ListKind, entries []discovery.Entry) {
	ev := logic.Event{Kind: logic.EvMembers, List: kind}
	for _, e := range entries {
		ev.Members = append(ev.Members, logic.ListEntry{
			Member:  e.ID,
			Phase:   phases[e.Phase],
			Zone:    e.Zone,
			Started: e.StartedAt,
			Group:   e.Group,
			Primary: e.Access == discovery.AccessWriter,
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, e := range entries {
		d.groups[e.Group] = true
		if l := &ev.Members[i]; l.Phase == logic.Gone {
			delete(d.members, l.Member)
		} else if d.members[l.Member] = *l; d.drains[l.Member] != 0 {
			l.Phase = logic.Draining
		}
	}
	d.findNearGroups()
	d.stepLocked(ev)
}

// setDraining makes a member count as draining for a reason, or no longer for that one. Without any reason it is as the
// list says again.
func (d *decider) setDraining(member string, reason drainReasons, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.drains[member]
	after := before | reason
	if !on {
		after = before &^ reason
	}
	if d.drains[member] = after; after == 0 {
		delete(d.drains, member)
	}
	if l, listed := d.members[member]; listed && l.Phase == logic.Ready && (before != 0) != (after != 0) {
		if after != 0 {
			l.Phase = logic.Draining
		}
		d.stepLocked(logic.Event{Kind: logic.EvMembers, List: logic.ListChanges, Members: []logic.ListEntry{l}})
	}
}

// servesGroup says whether a group was ever listed.
func (d *decider) servesGroup(group int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.groups[group]
}

// listedMembers is the list as its sources gave it, without drains of other reasons.
func (d *decider) listedMembers() map[string]logic.ListEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.members)
}

// countByZone has attempts counted by zone from here on.
func (d *decider) countByZone(zones *zoneAgent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zones = zones
	d.findNearGroups()
}

// findNearGroups finds the groups that have a member in the own zone. The caller holds the lock.
func (d *decider) findNearGroups() {
	if d.zones == nil {
		return
	}
	d.nearGroups = map[int64]bool{}
	for _, l := range d.members {
		d.nearGroups[l.Group] = d.nearGroups[l.Group] || l.Zone == d.zones.zone && l.Phase == logic.Ready
	}
}
