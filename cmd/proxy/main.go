// Command proxy is the proxy on a front machine: it accepts clients' sessions and forwards their statements to members,
// the database servers.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/dataplane/proxy"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

var role = process.Role{
	Name:          "proxy",
	Summary:       "the proxy between clients and members",
	Check:         checkSettings,
	ServesMetrics: true,
	Run:           proxy.Run,
}

func main() { os.Exit(process.Main(role, os.Args[1:], os.Stdout)) }

func checkSettings(set *settings.Settings) error {
	if set.FrontAddr == "" || set.ReadyAddr == "" {
		return oops.In("settings").Errorf("a proxy needs listen.front and listen.readyAddr")
	}
	return nil
}
