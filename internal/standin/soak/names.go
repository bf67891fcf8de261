package soak

// This file has the names of processes and members in schedules.

import (
	"strconv"
	"strings"
)

// Prefixes of processes' names, as in package cluster.
const (
	prefixCore  = "core"
	prefixAgent = "agent"
	prefixProxy = "proxy"
)

// Targets that are determined when the event is executed: members, and the core machine that leads.
const (
	targetPrimary = "primary"
	targetReplica = "replica"
	targetLeader  = prefixCore + " leader"
)

// machine returns the machine of a process; the agent and the proxy of the same number share one.
func machine(process string) string {
	if strings.HasPrefix(process, prefixCore) {
		return process
	}
	return "front" + strings.TrimLeft(process, "agentproxy")
}

func proxyName(n int) string { return prefixProxy + strconv.Itoa(n) }
