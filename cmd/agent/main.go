// Command agent is the agent beside a proxy: it keeps the link to the core and feeds the proxy over loopback.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/controlplane/agent"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

func main() {
	os.Exit(process.Main(process.Role{Name: "agent", Summary: "the agent beside a proxy", Run: agent.Run,
		Check: func(s *settings.Settings) error {
			if len(s.Peers) == 0 {
				return oops.In("settings").Errorf("an agent needs peers")
			}
			return nil
		}}, os.Args[1:], os.Stdout))
}
