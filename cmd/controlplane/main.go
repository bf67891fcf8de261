// Command controlplane is a machine of the control plane, a core machine: it replicates the operator's configuration,
// keeps the directory of members and drivers, and fails over primaries.
package main

import (
	"os"

	"github.com/samber/oops"

	"weirwind/internal/controlplane"
	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

var role = process.Role{
	Name:          "controlplane",
	Summary:       "a machine of the core, the control plane",
	Check:         checkSettings,
	ServesMetrics: true,
	Run:           controlplane.Run,
}

func main() { os.Exit(process.Main(role, os.Args[1:], os.Stdout)) }

func checkSettings(set *settings.Settings) error {
	if set.ControlAddr == "" || set.DataDir == "" {
		return oops.In("settings").Errorf("a machine of the core needs listen.ctl and datadir")
	}
	return nil
}
