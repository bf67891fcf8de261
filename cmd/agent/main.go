// Command agent is the agent beside a proxy: it renews the driver's lease at the control plane, and sends updates to
// the proxy over loopback.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/controlplane/agent"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

var role = process.Role{
	Name:          "agent",
	Summary:       "the agent beside a proxy",
	Check:         checkSettings,
	ServesMetrics: true,
	Run:           agent.Run,
}

func main() { os.Exit(process.Main(role, os.Args[1:], os.Stdout)) }

func checkSettings(set *settings.Settings) error {
	if len(set.Peers) == 0 {
		return oops.In("settings").Errorf("an agent needs peers")
	}
	return nil
}
