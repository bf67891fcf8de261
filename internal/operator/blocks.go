package operator

// This file owns the blocks: names, defaults and limits of what each may say.

import (
	"net"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
)

const maxZoneBytes = 64 // of a zone's name

func (r *reader) log(b *hcl.Block) Log {
	attrs := r.block(b, "format", "level")
	l := Log{Format: r.oneOf(attrs, "format", "text", "text", "json")}
	// oneOf lets only levels through that slog knows.
	_ = l.Level.UnmarshalText([]byte(r.oneOf(attrs, "level", "info", "debug", "info", "warn", "error")))
	return l
}

func (r *reader) state(b *hcl.Block) *State {
	attrs := r.block(b, "folder", "save_every", "limit_mb", "switch_least")
	s := &State{
		SaveInterval:  r.duration(attrs, "save_every", time.Second, 50*time.Millisecond, time.Minute),
		LimitMB:       r.whole(attrs, "limit_mb", 16, 1, 1024),
		MinSwitchTime: r.duration(attrs, "switch_least", 0, 0, time.Minute),
	}
	var at hcl.Range
	if s.Folder, at = r.text(attrs, "folder", ""); s.Folder == "" {
		if at.Filename == "" {
			at = b.DefRange
		}
		r.problem(at, "state wants a folder.")
	}
	return s
}

func (r *reader) ledger(b *hcl.Block) *Ledger {
	attrs := r.block(b, "folder", "keep", "keys", "limit_mb")
	l := &Ledger{Retention: r.duration(attrs, "keep", time.Hour, time.Second, 30*24*time.Hour),
		MaxKeys: r.whole(attrs, "keys", 100000, 1, 10000000),
		LimitMB: r.whole(attrs, "limit_mb", 64, 1, 16384)}
	if l.Folder, _ = r.text(attrs, "folder", ""); l.Folder == "" {
		r.problem(b.DefRange, "ledger wants a folder.")
	}
	return l
}

func (r *reader) fleet(b *hcl.Block) *Fleet {
	attrs := r.block(b, "peers", "drivers", "only_draining_binds")
	return &Fleet{Peers: r.flag(attrs, "peers"), Drivers: r.whole(attrs, "drivers", 0, 0, 100000),
		OnlyDrainingBinds: r.flag(attrs, "only_draining_binds")}
}

func (r *reader) control(b *hcl.Block) *Control {
	attrs := r.block(b, "socket", "listen", "fellows", "token_file", "lease", "most", "opening")
	c := &Control{HoldLease: r.duration(attrs, "lease", 5*time.Second, 100*time.Millisecond, 10*time.Minute),
		MaxHold:        r.duration(attrs, "most", time.Minute, 100*time.Millisecond, time.Hour),
		ReleaseTimeout: r.duration(attrs, "opening", 10*time.Second, 0, time.Hour)}
	c.Socket, _ = r.text(attrs, "socket", "")
	c.Listen, _ = r.text(attrs, "listen", "")
	c.TokenFile, _ = r.text(attrs, "token_file", "")
	if v, at, ok := r.value(attrs, "fellows", cty.List(cty.String)); ok {
		for _, f := range v.AsValueSlice() {
			if _, _, err := net.SplitHostPort(f.AsString()); err != nil {
				r.problem(at, "%q is no host:port of a driver.", f.AsString())
			}
			c.Peers = append(c.Peers, f.AsString())
		}
	}
	if c.Socket == "" {
		r.problem(b.DefRange, "control wants a socket.")
	}
	if (c.Listen != "" || len(c.Peers) > 0) && c.TokenFile == "" {
		r.problem(b.DefRange, "control with listen or fellows wants a token_file.")
	}
	return c
}

func (r *reader) peers(b *hcl.Block) Peers {
	attrs := r.block(b, "messages_per_second")
	return Peers{MessagesPerSecond: r.whole(attrs, "messages_per_second", 0, 0, 10000)}
}

func (r *reader) membership(b *hcl.Block) *Membership {
	attrs := r.block(b, "listen", "advertise", "seeds", "token_file", "zone", "period", "expect", "yield", "folder")
	m := &Membership{
		ProtocolPeriod:  r.duration(attrs, "period", 500*time.Millisecond, 50*time.Millisecond, time.Minute),
		ExpectedDrivers: r.whole(attrs, "expect", 0, 0, 20000),
		TakeOverAfter:   r.duration(attrs, "yield", 15*time.Second, time.Second, time.Hour),
	}
	m.Folder, _ = r.text(attrs, "folder", "")
	var at hcl.Range
	if m.Listen, at = r.text(attrs, "listen", ""); m.Listen == "" {
		r.problem(b.DefRange, "membership wants listen.")
	} else {
		r.address(at, "listen", m.Listen)
	}
	if m.Advertise, at = r.text(attrs, "advertise", ""); m.Advertise != "" {
		r.address(at, "advertise", m.Advertise)
	} else if a, err := netip.ParseAddrPort(m.Listen); err == nil && a.Addr().IsUnspecified() {
		r.problem(b.DefRange, "membership that listens at %q wants advertise.", m.Listen)
	}
	m.Seeds = r.seeds(attrs)
	m.TokenFile, _ = r.text(attrs, "token_file", "")
	if m.Zone, at = r.text(attrs, "zone", ""); len(m.Zone) > maxZoneBytes {
		r.problem(at, "zone has %d bytes; %d at most.", len(m.Zone), maxZoneBytes)
	}
	return m
}

// address wants an IP and a port, which others can reach unless it is the one to listen at.
func (r *reader) address(at hcl.Range, name, text string) {
	if a, err := netip.ParseAddrPort(text); err != nil {
		r.problem(at, "%s: %q is no IP:port, such as 10.0.0.5:7434.", name, text)
	} else if name != "listen" && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		r.problem(at, "%s: nobody can be reached at %q.", name, text)
	}
}

func (r *reader) seeds(attrs hcl.Attributes) (seeds []string) {
	v, at, ok := r.value(attrs, "seeds", cty.List(cty.String))
	if !ok {
		return nil
	}
	for _, s := range v.AsValueSlice() {
		if s.IsNull() {
			r.problem(at, "seeds: null is no IP:port.")
			continue
		}
		r.address(at, "seeds", s.AsString())
		seeds = append(seeds, s.AsString())
	}
	return seeds
}

func (r *reader) zones(b *hcl.Block) *Zones {
	names := []string{"voters", "beat", "lease", "headroom", "budget", "load", "doubt", "away", "webhook"}
	schema := &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{{Type: "region", LabelNames: []string{"name"}}}}
	for _, n := range names {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: n})
	}
	content := r.content(b.Body, schema)
	attrs := content.Attributes
	z := &Zones{
		Voters:            r.whole(attrs, "voters", 5, 1, 9),
		HeartbeatInterval: r.duration(attrs, "beat", time.Second, 100*time.Millisecond, time.Minute),
		PlanLease:         r.duration(attrs, "lease", 15*time.Second, time.Second, 10*time.Minute),
		Headroom:          r.whole(attrs, "headroom", 15, 0, 90),
		CrossZoneBudget:   r.whole(attrs, "budget", 100, 0, 100),
		TargetLoad:        r.whole(attrs, "load", 60, 1, 100),
		EjectAfter:        r.duration(attrs, "doubt", time.Second, 0, time.Minute),
		MinEjectionTime:   r.duration(attrs, "away", 10*time.Second, time.Second, time.Hour),
	}
	z.Webhook, _ = r.text(attrs, "webhook", "")
	z.Regions = r.regions(content.Blocks)
	if z.PlanLease < 3*z.HeartbeatInterval {
		r.problem(b.DefRange, "zones: a lease of %v is under three beats of %v.", z.PlanLease, z.HeartbeatInterval)
	}
	return z
}

// regions reads the blocks of regions; a zone is of one region at most.
func (r *reader) regions(blocks hcl.Blocks) (regions []Region) {
	of := map[string]string{}
	for _, g := range blocks {
		attrs := r.block(g, "zones")
		region := Region{Name: g.Labels[0]}
		v, at, ok := r.value(attrs, "zones", cty.List(cty.String))
		if ok {
			for _, s := range v.AsValueSlice() {
				if s.IsNull() || s.AsString() == "" || len(s.AsString()) > maxZoneBytes {
					r.problem(at, "zones: a name has 1 to %d bytes.", maxZoneBytes)
				} else if other, twice := of[s.AsString()]; twice {
					r.problem(at, "zones: %q stands in region %q already.", s.AsString(), other)
				} else {
					of[s.AsString()] = region.Name
					region.Zones = append(region.Zones, s.AsString())
				}
			}
		}
		regions = append(regions, region)
	}
	return regions
}

func (r *reader) registry(b *hcl.Block) *Registry {
	attrs := r.block(b, "endpoints", "prefix", "service", "credentials_file", "ca_file", "take_over", "confirm", "silence",
		"drivers_prefix", "lease")
	g := &Registry{Dialect: b.Labels[0]}
	if g.Dialect != "etcd" && g.Dialect != "consul" {
		r.problem(b.LabelRanges[0], "registry is %q; it may be etcd, consul.", g.Dialect)
	}
	v, at, ok := r.value(attrs, "endpoints", cty.List(cty.String))
	if !ok {
		at = b.DefRange
	} else {
		for _, e := range v.AsValueSlice() {
			u, err := url.Parse(e.AsString())
			if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || strings.Trim(u.Path, "/") != "" {
				r.problem(at, "%q is no URL of an endpoint, such as https://10.0.0.5:2379.", e.AsString())
			}
			g.Endpoints = append(g.Endpoints, strings.TrimSuffix(e.AsString(), "/"))
		}
	}
	if len(g.Endpoints) == 0 {
		r.problem(at, "registry wants endpoints.")
	}
	var of hcl.Range
	g.Prefix, _ = r.text(attrs, "prefix", "weirwind/members/")
	if g.Service, of = r.text(attrs, "service", ""); g.Service != "" && g.Dialect != "consul" {
		r.problem(of, "service is consul's alone.")
	}
	g.CredentialsFile, _ = r.text(attrs, "credentials_file", "")
	g.CAFile, _ = r.text(attrs, "ca_file", "")
	g.FailoverAfter = r.duration(attrs, "take_over", 30*time.Second, 0, 24*time.Hour)
	g.ConfirmAfter = r.duration(attrs, "confirm", 3*time.Second, 0, 10*time.Minute)
	g.DriversPrefix, _ = r.text(attrs, "drivers_prefix", "")
	least := time.Second
	if g.Dialect == "consul" {
		least = 10 * time.Second // it grants no less
	}
	g.LeaseTTL = r.duration(attrs, "lease", 10*time.Second, least, 10*time.Minute)
	g.WatchTimeout = r.duration(attrs, "silence", 10*time.Second, 100*time.Millisecond, 10*time.Minute)
	return g
}
