package operator

// This file prints a file.

import (
	"fmt"
	"strings"
)

// String returns the effective settings in the file's own format, including defaults.
func (f File) String() string {
	var b strings.Builder
	printBlock(&b, "log", f.Log.attributes())
	if f.State != nil {
		printBlock(&b, "state", f.State.attributes())
	}
	if f.Peers.MessagesPerSecond > 0 {
		printBlock(&b, "peers", f.Peers.attributes())
	}
	if f.Fleet != nil {
		printBlock(&b, "fleet", f.Fleet.attributes())
	}
	if f.Ledger != nil {
		printBlock(&b, "ledger", f.Ledger.attributes())
	}
	if f.Control != nil {
		printBlock(&b, "control", f.Control.attributes())
	}
	if f.Membership != nil {
		printBlock(&b, "membership", f.Membership.attributes())
	}
	if f.Zones != nil {
		f.Zones.print(&b)
	}
	if f.Registry != nil {
		printBlock(&b, fmt.Sprintf("registry %q", f.Registry.Dialect), f.Registry.attributes())
	}
	return b.String()
}

func (z *Zones) print(b *strings.Builder) {
	b.WriteString("zones {\n")
	for _, region := range z.Regions {
		fmt.Fprintf(b, "  region %s {\n    zones = %s\n  }\n", quoted(region.Name), quotedList(region.Zones))
	}
	printAttributes(b, z.attributes())
	b.WriteString("}\n")
}
