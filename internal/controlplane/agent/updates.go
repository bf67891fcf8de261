package agent

// This file merges updates from the core and from peers into the agent's state, and passes on what was new.

import (
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// applyUpdate merges an update and passes on what was new to the proxy and to peers.
func (a *Agent) applyUpdate(update *controlmsg.StateUpdate) {
	changes := a.merge(update)
	driversChanged := a.mergeDrivers(update)
	changed := changes.ConfigVersion > 0 || changes.Members != nil || changes.ShardMap != nil ||
		changes.Writers != nil
	if changed {
		a.sendChangesToPeers(changes)
	}
	if changed || driversChanged {
		a.sendChangesToProxies(changes)
	}
}

// merge merges the configuration, the shard map, members and core addresses. It returns what was new and must be passed
// on.
func (a *Agent) merge(update *controlmsg.StateUpdate) *controlmsg.StateUpdate {
	changes := &controlmsg.StateUpdate{}
	if update.ConfigVersion > a.configVersion {
		a.configVersion, a.config = update.ConfigVersion, update.Config
		changes.ConfigVersion, changes.Config = update.ConfigVersion, update.Config
	}
	if update.Members != nil {
		changes.Members = a.members.Merge(update.Members, a.now())
	}
	if update.ShardMap != nil && (a.shardMap == nil || update.ShardMap.Version > a.shardMap.Version) {
		a.shardMap, changes.ShardMap = update.ShardMap, update.ShardMap
	}
	changes.Writers = a.writers.Merge(update.Writers)
	if update.CoreAddrs != nil {
		a.coreAddrs = update.CoreAddrs
	}
	return changes
}

// mergeDrivers applies a list of drivers or a difference to it, and reports whether the update had either.
func (a *Agent) mergeDrivers(update *controlmsg.StateUpdate) bool {
	drivers := update.Drivers
	if update.DriversAdded != nil || update.DriversRemoved != nil {
		drivers = directory.ApplyDiff(a.drivers, update.DriversAdded, update.DriversRemoved)
	}
	if drivers == nil {
		return false
	}
	a.drivers = drivers
	a.choosePeers()
	return true
}

// sendChangesToPeers sends members in full, but only a digest for a new configuration or shard map: they are large, and
// most peers already have them from the core. A peer that lacks them answers the digest.
func (a *Agent) sendChangesToPeers(changes *controlmsg.StateUpdate) {
	frame := &controlmsg.Frame{}
	if changes.Members != nil || changes.Writers != nil {
		frame.Update = &controlmsg.StateUpdate{Members: changes.Members, Writers: changes.Writers}
	}
	if changes.ConfigVersion > 0 || changes.ShardMap != nil {
		digest := a.digest()
		frame.Digest = &digest
	}
	a.sendToPeers(frame)
}
