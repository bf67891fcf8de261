// Command proxy is the proxy on a front machine: it takes clients' sessions and carries their statements to members.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/dataplane/proxy"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

func main() {
	os.Exit(process.Main(process.Role{Name: "proxy", Summary: "the proxy between clients and members", Run: proxy.Run,
		Check: func(s *settings.Settings) error {
			if s.FrontAddr == "" || s.ReadyAddr == "" {
				return oops.In("settings").Errorf("a proxy needs listen.front and listen.readyAddr")
			}
			return nil
		}}, os.Args[1:], os.Stdout))
}
