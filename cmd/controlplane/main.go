// Command controlplane is a machine of the core: the control plane that keeps the operator's word, knows members and drivers, and
// has primaries replaced.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/controlplane"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

func main() {
	os.Exit(process.Main(process.Role{Name: "controlplane", Summary: "a machine of the core, the control plane", Run: controlplane.Run,
		Check: func(s *settings.Settings) error {
			if s.ControlAddr == "" || s.DataDir == "" {
				return oops.In("settings").Errorf("a machine of the core needs listen.ctl and datadir")
			}
			return nil
		}}, os.Args[1:], os.Stdout))
}
