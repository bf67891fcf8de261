// Command sessionsite runs a site, which stores open websocket sessions and their queued messages: docs/sessions.md.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/session/site"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

var role = process.Role{
	Name:    "sessionsite",
	Summary: "a site of open sessions",
	Check:   checkSettings,
	Run:     site.Run,
}

func main() { os.Exit(process.Main(role, os.Args[1:], os.Stdout)) }

func checkSettings(set *settings.Settings) error {
	if len(set.Peers) == 0 || set.ReadyAddr == "" {
		return oops.In("settings").Errorf("a site needs peers and listen.readyAddr")
	}
	return nil
}
