// Command sessionedge runs an edge, to which clients connect their sessions with websockets: docs/sessions.md.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/session/edge"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

var role = process.Role{
	Name:    "sessionedge",
	Summary: "an edge of open sessions",
	Check:   checkSettings,
	Run:     edge.Run,
}

func main() { os.Exit(process.Main(role, os.Args[1:], os.Stdout)) }

func checkSettings(set *settings.Settings) error {
	if len(set.Peers) == 0 || set.FrontAddr == "" {
		return oops.In("settings").Errorf("an edge needs peers and listen.front")
	}
	return nil
}
