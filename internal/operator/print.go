package operator

// This file owns the form in which a file is shown, defaults filled in.

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"
)

// String is the file as it is in force, defaults included, in its own form.
func (f File) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "log {\n  format = %q\n  level  = %q\n}\n", f.Log.Format, strings.ToLower(f.Log.Level.String()))
	f.State.print(&b)
	if f.Peers.MessagesPerSecond > 0 {
		fmt.Fprintf(&b, "peers {\n  messages_per_second = %d\n}\n", f.Peers.MessagesPerSecond)
	}
	f.Fleet.print(&b)
	f.Ledger.print(&b)
	f.Control.print(&b)
	f.Membership.print(&b)
	f.Zones.print(&b)
	f.Registry.print(&b)
	return b.String()
}

// quoted is a text as HCL writes it.
func quoted(s string) string { return string(hclwrite.TokensForValue(cty.StringVal(s)).Bytes()) }

// list is a list of texts as HCL writes it.
func list(all []string) string {
	items := make([]string, len(all))
	for i, e := range all {
		items[i] = quoted(e)
	}
	return "[" + strings.Join(items, ", ") + "]"
}

func (s *State) print(b *strings.Builder) {
	if s == nil {
		return
	}
	fmt.Fprintf(b, "state {\n  folder       = %s\n  save_every   = %q\n", quoted(s.Folder), s.SaveInterval)
	fmt.Fprintf(b, "  limit_mb     = %d\n  switch_least = %q\n}\n", s.LimitMB, s.MinSwitchTime)
}

func (l *Fleet) print(b *strings.Builder) {
	if l == nil {
		return
	}
	b.WriteString("fleet {\n")
	if l.Peers != nil {
		fmt.Fprintf(b, "  peers               = %t\n", *l.Peers)
	}
	if l.Drivers > 0 {
		fmt.Fprintf(b, "  drivers             = %d\n", l.Drivers)
	}
	if l.OnlyDrainingBinds != nil {
		fmt.Fprintf(b, "  only_draining_binds = %t\n", *l.OnlyDrainingBinds)
	}
	b.WriteString("}\n")
}

func (l *Ledger) print(b *strings.Builder) {
	if l == nil {
		return
	}
	fmt.Fprintf(b, "ledger {\n  folder   = %s\n  keep     = %q\n", quoted(l.Folder), l.Retention)
	fmt.Fprintf(b, "  keys     = %d\n  limit_mb = %d\n}\n", l.MaxKeys, l.LimitMB)
}

func (c *Control) print(b *strings.Builder) {
	if c == nil {
		return
	}
	fmt.Fprintf(b, "control {\n  socket     = %s\n  listen     = %s\n", quoted(c.Socket), quoted(c.Listen))
	fmt.Fprintf(b, "  fellows    = %s\n  token_file = %s\n", list(c.Peers), quoted(c.TokenFile))
	fmt.Fprintf(b, "  lease      = %q\n  most       = %q\n  opening    = %q\n}\n", c.HoldLease, c.MaxHold, c.ReleaseTimeout)
}

func (m *Membership) print(b *strings.Builder) {
	if m == nil {
		return
	}
	fmt.Fprintf(b, "membership {\n  listen     = %s\n  advertise  = %s\n", quoted(m.Listen), quoted(m.Advertise))
	fmt.Fprintf(b, "  seeds      = %s\n  token_file = %s\n", list(m.Seeds), quoted(m.TokenFile))
	fmt.Fprintf(b, "  zone       = %s\n  period     = %q\n", quoted(m.Zone), m.ProtocolPeriod)
	fmt.Fprintf(b, "  expect     = %d\n  yield      = %q\n  folder     = %s\n}\n", m.ExpectedDrivers, m.TakeOverAfter, quoted(m.Folder))
}

func (z *Zones) print(b *strings.Builder) {
	if z == nil {
		return
	}
	b.WriteString("zones {\n")
	for _, g := range z.Regions {
		fmt.Fprintf(b, "  region %s {\n    zones = %s\n  }\n", quoted(g.Name), list(g.Zones))
	}
	fmt.Fprintf(b, "  voters   = %d\n  beat     = %q\n  lease    = %q\n", z.Voters, z.HeartbeatInterval, z.PlanLease)
	fmt.Fprintf(b, "  headroom = %d\n  budget   = %d\n  load     = %d\n", z.Headroom, z.CrossZoneBudget, z.TargetLoad)
	fmt.Fprintf(b, "  doubt    = %q\n  away     = %q\n  webhook  = %s\n}\n", z.EjectAfter, z.MinEjectionTime, quoted(z.Webhook))
}

func (g *Registry) print(b *strings.Builder) {
	if g == nil {
		return
	}
	fmt.Fprintf(b, "registry %q {\n  endpoints        = %s\n", g.Dialect, list(g.Endpoints))
	fmt.Fprintf(b, "  prefix           = %s\n  service          = %s\n", quoted(g.Prefix), quoted(g.Service))
	fmt.Fprintf(b, "  credentials_file = %s\n  ca_file          = %s\n", quoted(g.CredentialsFile), quoted(g.CAFile))
	fmt.Fprintf(b, "  take_over        = %q\n  confirm          = %q\n", g.FailoverAfter, g.ConfirmAfter)
	fmt.Fprintf(b, "  silence          = %q\n  drivers_prefix   = %s\n", g.WatchTimeout, quoted(g.DriversPrefix))
	fmt.Fprintf(b, "  lease            = %q\n}\n", g.LeaseTTL)
}
