package soak

// This file owns the names of processes and members in schedules.

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

// Members that an event disturbs, looked up when it comes.
const (
	targetPrimary = "primary"
	targetReplica = "replica"
)

// machine is the machine of a process: of agent and proxy of one number it is the same.
func machine(process string) string {
	if strings.HasPrefix(process, prefixCore) {
		return process
	}
	return "front" + strings.TrimLeft(process, "agentproxy")
}

func proxyName(n int) string { return prefixProxy + strconv.Itoa(n) }
