package operator

// This file defines the attributes of the blocks, with their defaults and limits, and the further checks of a block.

import (
	"time"

	"github.com/hashicorp/hcl/v2"
)

func (l *Log) attributes() []attribute {
	return []attribute{
		oneOf("format", &l.Format, "text", "text", "json"),
		level("level", &l.Level),
	}
}

func (p *Peers) attributes() []attribute {
	return []attribute{positive("messages_per_second", &p.MessagesPerSecond, 10000)}
}

func (f *Fleet) attributes() []attribute {
	return []attribute{
		optional("peers", &f.Peers),
		positive("drivers", &f.Drivers, 100000),
		optional("only_draining_binds", &f.OnlyDrainingBinds),
	}
}

func (s *State) attributes() []attribute {
	return []attribute{
		text("folder", &s.Folder, "").withOrder(1),
		duration("save_every", &s.SaveInterval, time.Second, 50*time.Millisecond, time.Minute),
		integer("limit_mb", &s.LimitMB, 16, 1, 1024),
		duration("switch_least", &s.MinSwitchTime, 0, 0, time.Minute),
	}
}

func (r *reader) state(b *hcl.Block) *State {
	s := &State{}
	r.attributes(b, s.attributes(), checks{
		"folder": func(at hcl.Range, _ bool) {
			if at.Filename == "" {
				at = b.DefRange
			}
			if s.Folder == "" {
				r.problem(at, "state wants a folder.")
			}
		},
	})
	return s
}

func (l *Ledger) attributes() []attribute {
	return []attribute{
		text("folder", &l.Folder, "").withOrder(1),
		duration("keep", &l.Retention, time.Hour, time.Second, 30*24*time.Hour),
		integer("keys", &l.MaxKeys, 100000, 1, 10000000),
		integer("limit_mb", &l.LimitMB, 64, 1, 16384),
	}
}

func (r *reader) ledger(b *hcl.Block) *Ledger {
	l := &Ledger{}
	r.attributes(b, l.attributes(), nil)
	if l.Folder == "" {
		r.problem(b.DefRange, "ledger wants a folder.")
	}
	return l
}

func (c *Control) attributes() []attribute {
	return []attribute{
		text("socket", &c.Socket, "").withOrder(1),
		text("listen", &c.Listen, "").withOrder(1),
		list("fellows", &c.Peers, hostPort).withOrder(2),
		text("token_file", &c.TokenFile, "").withOrder(1),
		duration("lease", &c.HoldLease, 5*time.Second, 100*time.Millisecond, 10*time.Minute),
		duration("most", &c.MaxHold, time.Minute, 100*time.Millisecond, time.Hour),
		duration("opening", &c.ReleaseTimeout, 10*time.Second, 0, time.Hour),
	}
}

func (r *reader) control(b *hcl.Block) *Control {
	c := &Control{}
	r.attributes(b, c.attributes(), nil)
	if c.Socket == "" {
		r.problem(b.DefRange, "control wants a socket.")
	}
	if (c.Listen != "" || len(c.Peers) > 0) && c.TokenFile == "" {
		r.problem(b.DefRange, "control with listen or fellows wants a token_file.")
	}
	return c
}

func (g *Registry) attributes() []attribute {
	minLease := time.Second
	if g.Dialect == "consul" {
		minLease = 10 * time.Second // the minimum that Consul grants
	}
	return []attribute{
		list("endpoints", &g.Endpoints, endpointURL),
		text("prefix", &g.Prefix, "weirwind/members/"),
		text("service", &g.Service, ""),
		text("credentials_file", &g.CredentialsFile, ""),
		text("ca_file", &g.CAFile, ""),
		duration("take_over", &g.FailoverAfter, 30*time.Second, 0, 24*time.Hour),
		duration("confirm", &g.ConfirmAfter, 3*time.Second, 0, 10*time.Minute),
		duration("silence", &g.WatchTimeout, 10*time.Second, 100*time.Millisecond, 10*time.Minute).withOrder(1),
		text("drivers_prefix", &g.DriversPrefix, ""),
		duration("lease", &g.LeaseTTL, 10*time.Second, minLease, 10*time.Minute),
	}
}

func (r *reader) registry(b *hcl.Block) *Registry {
	g := &Registry{Dialect: b.Labels[0]}
	schema := &hcl.BodySchema{Attributes: schemaOf(g.attributes())}
	attrs := r.content(b.Body, schema).Attributes
	if g.Dialect != "etcd" && g.Dialect != "consul" {
		r.problem(b.LabelRanges[0], "registry is %q; it may be etcd, consul.", g.Dialect)
	}
	r.values(attrs, g.attributes(), checks{
		"endpoints": func(at hcl.Range, given bool) {
			if !given {
				at = b.DefRange
			}
			if len(g.Endpoints) == 0 {
				r.problem(at, "registry wants endpoints.")
			}
		},
		"service": func(at hcl.Range, _ bool) {
			if g.Service != "" && g.Dialect != "consul" {
				r.problem(at, "service is consul's alone.")
			}
		},
	})
	return g
}
