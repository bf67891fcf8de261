// Command sessionedge is an edge, where the websockets of open sessions end. docs/sessions.md.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/session/edge"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

func main() {
	os.Exit(process.Main(process.Role{Name: "sessionedge", Summary: "an edge of open sessions", Run: edge.Run,
		Check: func(s *settings.Settings) error {
			if len(s.Peers) == 0 || s.FrontAddr == "" {
				return oops.In("settings").Errorf("an edge needs peers and listen.front")
			}
			return nil
		}}, os.Args[1:], os.Stdout))
}
