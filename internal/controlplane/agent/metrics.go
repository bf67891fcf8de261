package agent

import (
	"context"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
)

// This file has the agent's Prometheus metrics.

// snapshot is a copy of the agent's state that metrics are written from.
type snapshot struct {
	configVersion, shardMapVersion          uint64
	members, drivers, cores, proxies, peers int
	coreLinked                              bool
	failedAttempts                          int
}

func (a *Agent) snapshot() snapshot {
	s := snapshot{configVersion: a.configVersion, members: len(a.members.Snapshot()), drivers: len(a.drivers),
		cores: len(a.coreAddrs), proxies: len(a.proxies), peers: len(a.peers), coreLinked: a.core != nil,
		failedAttempts: a.attempts}
	if a.shardMap != nil {
		s.shardMapVersion = a.shardMap.Version
	}
	return s
}

// writeMetrics writes the agent's metrics. Those of the state are left out if the loop doesn't answer in time.
func (a *Agent) writeMetrics(set metrics.Set) {
	events.WriteMetrics(a.log, set)
	controlmsg.WriteMetrics(set, "weirwind_agent", "core", &CoreTraffic)
	controlmsg.WriteMetrics(set, "weirwind_agent", "peers", &PeerTraffic)
	controlmsg.WriteMetrics(set, "weirwind_agent", "proxy", &ProxyTraffic)
	ctx, stop := context.WithTimeout(a.ctx, metrics.OwnerTimeout)
	defer stop()
	s, err := commandqueue.Call(ctx, a.commands, a.snapshot)
	if err != nil {
		return
	}
	set.Flag("weirwind_agent_core_linked", "1 while a core machine serves this agent.", s.coreLinked)
	set.Gauge("weirwind_agent_core_attempts", "Attempts to reach a core machine since a link was stable.",
		float64(s.failedAttempts))
	set.Gauge("weirwind_agent_config_version", "Newest configuration that is known; 0: none.", float64(s.configVersion))
	set.Gauge("weirwind_agent_shard_map_version", "Newest shard map that is known; 0: none.", float64(s.shardMapVersion))
	set.Gauge("weirwind_agent_members", "Members that are known, those that ended of late included.", float64(s.members))
	set.Gauge("weirwind_agent_drivers", "Drivers that are known.", float64(s.drivers))
	set.Gauge("weirwind_agent_core_machines", "Core machines that are known.", float64(s.cores))
	set.Gauge("weirwind_agent_proxies", "Proxies that are fed; 1 while the machine's own is up.", float64(s.proxies))
	set.Gauge("weirwind_agent_peers", "Agents to which a link is kept.", float64(s.peers))
}
