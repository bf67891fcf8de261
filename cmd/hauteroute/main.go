// Command hauteroute is the proxy on a front machine: it takes clients' sessions and carries their statements to members.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/hauteroute"
	"weirwind/internal/kungsleden"
	"weirwind/internal/solvay"
)

func main() {
	os.Exit(solvay.Main(solvay.Role{Name: "hauteroute", About: "the proxy between clients and members", Run: hauteroute.Run,
		Needs: func(s *kungsleden.Settings) error {
			if s.Front == "" || s.Ready == "" {
				return oops.In("settings").Errorf("a proxy needs listen.front and listen.readyAddr")
			}
			return nil
		}}, os.Args[1:], os.Stdout))
}
