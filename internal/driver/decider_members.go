package driver

import (
	"maps"

	"weirwind/internal/discovery"
	"weirwind/logic"
)

// drainReasons is a set of reasons for which a member counts as draining, whatever phase the list has for it.
type drainReasons uint8

const (
	drainSwitchover drainReasons = 1 << iota // the primary role is moving to another member
	drainPeer                                // a peer reported the drain, and the driver's own list doesn't show it yet
)

var phases = map[string]logic.Phase{
	discovery.PhaseUp:       logic.Ready,
	discovery.PhaseDraining: logic.Draining,
	discovery.PhaseRemoved:  logic.Gone,
}

// updateMembership passes a list, changes of it, or the failure of a call for it to the module.
func (d *decider) updateMembership(kind logic.ListKind, entries []discovery.Entry) {
	ev := logic.Event{Kind: logic.EvMembers, List: kind}
	for _, entry := range entries {
		ev.Members = append(ev.Members, logic.ListEntry{
			Member:  entry.ID,
			Phase:   phases[entry.Phase],
			Zone:    entry.Zone,
			Started: entry.StartedAt,
			Group:   entry.Group,
			Primary: entry.Access == discovery.AccessWriter,
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, entry := range entries {
		d.groups[entry.Group] = true
		if listed := &ev.Members[i]; listed.Phase == logic.Gone {
			delete(d.members, listed.Member)
		} else if d.members[listed.Member] = *listed; d.drains[listed.Member] != 0 {
			listed.Phase = logic.Draining
		}
	}
	d.updateLocalGroups()
	d.stepLocked(ev)
}

// setDraining adds or removes a reason for which a member counts as draining. Without any reason its phase is the one
// in the list.
func (d *decider) setDraining(member string, reason drainReasons, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	reasonsBefore := d.drains[member]
	reasonsAfter := reasonsBefore | reason
	if !draining {
		reasonsAfter = reasonsBefore &^ reason
	}
	if d.drains[member] = reasonsAfter; reasonsAfter == 0 {
		delete(d.drains, member)
	}
	if entry, listed := d.members[member]; listed && entry.Phase == logic.Ready &&
		(reasonsBefore != 0) != (reasonsAfter != 0) {
		if reasonsAfter != 0 {
			entry.Phase = logic.Draining
		}
		d.stepLocked(logic.Event{Kind: logic.EvMembers, List: logic.ListChanges, Members: []logic.ListEntry{entry}})
	}
}

// knowsGroup reports whether a group has ever been listed.
func (d *decider) knowsGroup(group int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.groups[group]
}

// listedMembers returns the members as listed by their sources, without the drains for other reasons.
func (d *decider) listedMembers() map[string]logic.ListEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.members)
}

// setZoneAgent sets the zone agent, which counts attempts by zone from then on.
func (d *decider) setZoneAgent(zones *zoneAgent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zones = zones
	d.updateLocalGroups()
}

// updateLocalGroups finds the groups that have a member in the driver's own zone. The caller holds the lock.
func (d *decider) updateLocalGroups() {
	if d.zones == nil {
		return
	}
	d.localGroups = map[int64]bool{}
	for _, entry := range d.members {
		d.localGroups[entry.Group] = d.localGroups[entry.Group] || entry.Zone == d.zones.zone && entry.Phase == logic.Ready
	}
}
