// Command konkordia is a machine of the core: the control plane that keeps the operator's word, knows members and drivers, and
// has primaries replaced.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/konkordia"
	"weirwind/internal/kungsleden"
	"weirwind/internal/solvay"
)

func main() {
	os.Exit(solvay.Main(solvay.Role{Name: "konkordia", About: "a machine of the core, the control plane", Run: konkordia.Run,
		Needs: func(s *kungsleden.Settings) error {
			if s.Ctl == "" || s.DataDir == "" {
				return oops.In("settings").Errorf("a machine of the core needs listen.ctl and datadir")
			}
			return nil
		}}, os.Args[1:], os.Stdout))
}
