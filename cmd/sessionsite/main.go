// Command sessionsite is a site that holds open websocket sessions with what is queued for them. docs/sessions.md.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/session/site"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

func main() {
	os.Exit(process.Main(process.Role{Name: "sessionsite", Summary: "a site of open sessions", Run: site.Run,
		Check: func(s *settings.Settings) error {
			if len(s.Peers) == 0 || s.ReadyAddr == "" {
				return oops.In("settings").Errorf("a site needs peers and listen.readyAddr")
			}
			return nil
		}}, os.Args[1:], os.Stdout))
}
