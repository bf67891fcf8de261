// Command britannia is the agent beside a proxy: it keeps the link to the core and feeds the proxy over loopback.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/britannia"
	"weirwind/internal/kungsleden"
	"weirwind/internal/solvay"
)

func main() {
	os.Exit(solvay.Main(solvay.Role{Name: "britannia", About: "the agent beside a proxy", Run: britannia.Run,
		Needs: func(s *kungsleden.Settings) error {
			if len(s.Peers) == 0 {
				return oops.In("settings").Errorf("an agent needs peers")
			}
			return nil
		}}, os.Args[1:], os.Stdout))
}
