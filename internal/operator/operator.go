// Package operator reads the operators' file: what an installation switches on beside the platform's own
// configuration, in HCL. It owns names, types, defaults and their limits. It must never act on what it reads, and
// never let a name pass that it does not know.
package operator

import (
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// File is what an operators' file says, defaults filled in. The zero File is not one: use Default.
type File struct {
	Log   Log
	State *State // nil: nothing is kept on disk
	// Registry is where members stand beside the platform's discovery; nil for nowhere.
	Registry *Registry
	Peers    Peers
	Control  *Control // nil: no socket for hooks
	Ledger   *Ledger  // nil: outcomes of ops are not kept
	Fleet    *Fleet   // nil: the deployment's shape is as the platform's settings say
	// Membership is the drivers' own knowledge of each other; nil: they have none.
	Membership *Membership
	// Zones has drivers decide in common how zones stand in for each other; nil: each driver decides alone.
	Zones *Zones
}

// Membership is the block "membership": drivers find out who of them is there.
type Membership struct {
	Listen    string   // IP:port, for UDP and TCP; outgoing sockets are bound to this IP
	Advertise string   // IP:port at which fellows reach this driver; empty: Listen
	Seeds     []string // IP:port of fellows
	TokenFile string   // a secret that drivers show each other; empty: that of the control block
	Zone      string   // empty: the platform's
	Period    time.Duration
	// Expect is how many drivers there are to be before they first agree on a roster. 0: as many as the platform or the
	// fleet block says, and no fewer than the seeds.
	Expect int
	// Yield: a larger part takes over the share of those that it lost after so long.
	Yield time.Duration
	// Folder keeps the roster and this driver's votes on it, for its next process. Empty: nothing is kept.
	Folder string
}

// Zones is the block "zones": drivers that know each other agree on which zones serve whose reads.
type Zones struct {
	Regions  []Region
	Voters   int
	Beat     time.Duration // between two looks of who leads
	Lease    time.Duration // a plan holds for so long after it was certainly the newest
	Headroom int           // percent of a zone's room kept for one more loss
	Budget   int           // percent of all reads that may cross between zones
	Load     int           // percent of what members can do that reads take usually
	Doubt    time.Duration // a loss lasts so long before a zone is taken out
	Away     time.Duration // least stay before it returns
	Webhook  string        // called with each move of a primary that is asked for; empty: none
}

// Region is one with its zones, nearer to each other than to others.
type Region struct {
	Name  string
	Zones []string
}

// Fleet is the block "fleet": the shape of a deployment where it is not what the platform's settings say. Each
// field left out keeps the settings' own value, so a file without the block changes nothing.
type Fleet struct {
	// Peers false: drivers share nothing and send each other no word, even where the settings allow it.
	Peers *bool
	// Drivers is how many drivers there are in all (the settings' siblings); 0 keeps the settings' figure.
	Drivers int
	// DrainingBinds true: only a member listed as draining must get nothing new after the grace; one listed as
	// gone, or left out of the list, without a drain before it may still be sent to. Nil: as the settings' rules.
	DrainingBinds *bool
}

// Ledger is the block "ledger": outcomes of ops that name a key and must not run twice.
type Ledger struct {
	Folder  string
	Keep    time.Duration // behind its end a key is remembered for so long
	Keys    int           // at a time
	LimitMB int           // of all files together; keys and answers in memory take up to a quarter of it
}

// Control is the block "control": where hooks of the topology manager speak to the driver, and drivers to each other.
type Control struct {
	Socket    string   // a Unix socket for this machine
	Listen    string   // host:port for fellow drivers; empty for none
	Fellows   []string // their host:port
	TokenFile string   // a secret that drivers show each other
	// Lease is that of a hold that names none; Most of one with all its renewals. Opening: behind a release the old
	// primary stays out for so long, if nobody else is seen as primary.
	Lease, Most, Opening time.Duration
}

// Peers is the block "peers": the word between drivers.
type Peers struct {
	// Messages is how many of fellow drivers one takes a second, about. 0: the fewer the more drivers there are, as on
	// the platform, where messages have a price.
	Messages int
}

// Registry is the block "registry", whose label is the dialect.
type Registry struct {
	Dialect   string   // "etcd" or "consul"
	Endpoints []string // URLs, http or https
	Prefix    string   // of the members' keys
	Service   string   // consul: members are a service's instances, with their health, instead of keys
	// CredentialsFile holds name:password (etcd) or a token (consul); read anew for each connection. Empty for none.
	CredentialsFile string
	CAFile          string        // certificates that sign the endpoints'; empty for the system's
	TakeOver        time.Duration // so long after the registry fell silent discovery leads
	Confirm         time.Duration // a list that lost most members must say so again after so long
	// DriversPrefix is where drivers announce themselves and find their fellows; empty: they don't.
	DriversPrefix string
	Lease         time.Duration // of an announcement
	Silence       time.Duration // a watch that gives no sign for so long is left and resumed
}

// Log is the block "log".
type Log struct {
	Format string     // "text" or "json"
	Level  slog.Level // the least that is written
}

// State is the block "state": where learned state is kept across restarts.
type State struct {
	Folder    string
	SaveEvery time.Duration
	LimitMB   int // of all files together
	// SwitchLeast: no change of a primary takes less. 0: as long as the platform gives drivers to stop sending to a
	// member that drains.
	SwitchLeast time.Duration
}

// Default is what holds where there is no file.
func Default() File { return File{Log: Log{Format: "text", Level: slog.LevelInfo}} }

// Parse reads a file's text; name is for errors, which carry file, line and column, one a line.
func Parse(name string, text []byte) (File, error) {
	f := Default()
	syntax, problems := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	r := &reader{problems: problems}
	if !problems.HasErrors() {
		blocks := r.content(syntax.Body, &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{{Type: "log"}, {Type: "state"}, {Type: "peers"}, {Type: "control"}, {Type: "ledger"},
			{Type: "fleet"}, {Type: "membership"}, {Type: "zones"}, {Type: "registry", LabelNames: []string{"dialect"}}}})
		seen := map[string]*hcl.Range{}
		for _, b := range blocks.Blocks {
			if before := seen[b.Type]; before != nil {
				r.problem(b.DefRange, "The block %q stands twice; it stands already at line %d.", b.Type, before.Start.Line)
				continue
			}
			seen[b.Type] = &b.DefRange
			switch b.Type {
			case "log":
				f.Log = r.log(b)
			case "state":
				f.State = r.state(b)
			case "peers":
				f.Peers = Peers{Messages: r.whole(r.block(b, "messages_per_second"), "messages_per_second", 0, 0, 10000)}
			case "ledger":
				f.Ledger = r.ledger(b)
			case "control":
				f.Control = r.control(b)
			case "fleet":
				f.Fleet = r.fleet(b)
			case "membership":
				f.Membership = r.membership(b)
			case "zones":
				f.Zones = r.zones(b)
			case "registry":
				f.Registry = r.registry(b)
			}
		}
		if m := f.Membership; m != nil && m.TokenFile == "" {
			if f.Control != nil {
				m.TokenFile = f.Control.TokenFile
			}
			if m.TokenFile == "" {
				r.problem(*seen["membership"], "membership wants a token_file, its own or control's.")
			}
		}
		if f.Zones != nil && f.Membership == nil {
			r.problem(*seen["zones"], "zones want membership: drivers agree on them.")
		}
	}
	if r.problems.HasErrors() {
		return Default(), problemsError(r.problems)
	}
	return f, nil
}

// problemsError tells all that is wrong, one problem a line.
type problemsError hcl.Diagnostics

func (p problemsError) Error() string {
	var lines []string
	for _, d := range p {
		where := ""
		if d.Subject != nil {
			where = fmt.Sprintf("%s:%d,%d: ", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		lines = append(lines, where+strings.TrimSuffix(d.Summary, ".")+": "+strings.ReplaceAll(d.Detail, "\n", " "))
	}
	return strings.Join(lines, "\n")
}

// reader collects problems while it reads, so that all of a file are told at once.
type reader struct {
	problems hcl.Diagnostics
}

func (r *reader) problem(at hcl.Range, format string, args ...any) {
	r.problems = append(r.problems, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: "Bad value",
		Detail: fmt.Sprintf(format, args...), Subject: &at})
}

// content takes a body apart; names that the schema lacks are problems.
func (r *reader) content(body hcl.Body, schema *hcl.BodySchema) *hcl.BodyContent {
	c, problems := body.Content(schema)
	r.problems = append(r.problems, problems...)
	return c
}

// block reads a block that holds attributes alone.
func (r *reader) block(b *hcl.Block, names ...string) hcl.Attributes {
	schema := &hcl.BodySchema{}
	for _, n := range names {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: n})
	}
	return r.content(b.Body, schema).Attributes
}

// value gives an attribute as the type wanted; ok is false where it is not there or a problem.
func (r *reader) value(attrs hcl.Attributes, name string, want cty.Type) (v cty.Value, at hcl.Range, ok bool) {
	a := attrs[name]
	if a == nil {
		return v, at, false
	}
	at = a.Expr.Range()
	v, problems := a.Expr.Value(nil)
	if r.problems = append(r.problems, problems...); problems.HasErrors() {
		return v, at, false
	}
	v, err := convert.Convert(v, want)
	if err != nil || v.IsNull() || !v.IsKnown() {
		r.problem(at, "%s wants a %s.", name, want.FriendlyName())
		return v, at, false
	}
	return v, at, true
}

func (r *reader) text(attrs hcl.Attributes, name, otherwise string) (string, hcl.Range) {
	if v, at, ok := r.value(attrs, name, cty.String); ok {
		return v.AsString(), at
	}
	return otherwise, hcl.Range{}
}

func (r *reader) oneOf(attrs hcl.Attributes, name, otherwise string, words ...string) string {
	s, at := r.text(attrs, name, otherwise)
	for _, w := range words {
		if s == w {
			return s
		}
	}
	r.problem(at, "%s is %q; it may be %s.", name, s, strings.Join(words, ", "))
	return otherwise
}

func (r *reader) duration(attrs hcl.Attributes, name string, otherwise, least, most time.Duration) time.Duration {
	s, at := r.text(attrs, name, otherwise.String())
	d, err := time.ParseDuration(s)
	if err != nil {
		r.problem(at, "%s is %q; it wants a time such as %q.", name, s, otherwise)
	} else if d < least || d > most {
		r.problem(at, "%s is %s; it may be %s to %s.", name, d, least, most)
	} else {
		return d
	}
	return otherwise
}

func (r *reader) whole(attrs hcl.Attributes, name string, otherwise, least, most int) int {
	v, at, ok := r.value(attrs, name, cty.Number)
	if !ok {
		return otherwise
	}
	f, _ := v.AsBigFloat().Float64()
	if n := int(f); float64(n) == f && n >= least && n <= most {
		return n
	}
	r.problem(at, "%s is %g; it may be a whole number, %d to %d.", name, f, least, most)
	return otherwise
}

func (r *reader) log(b *hcl.Block) Log {
	attrs := r.block(b, "format", "level")
	l := Log{Format: r.oneOf(attrs, "format", "text", "text", "json")}
	l.Level.UnmarshalText([]byte(r.oneOf(attrs, "level", "info", "debug", "info", "warn", "error")))
	return l
}

func (r *reader) state(b *hcl.Block) *State {
	attrs := r.block(b, "folder", "save_every", "limit_mb", "switch_least")
	s := &State{
		SaveEvery:   r.duration(attrs, "save_every", time.Second, 50*time.Millisecond, time.Minute),
		LimitMB:     r.whole(attrs, "limit_mb", 16, 1, 1024),
		SwitchLeast: r.duration(attrs, "switch_least", 0, 0, time.Minute),
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
	l := &Ledger{Keep: r.duration(attrs, "keep", time.Hour, time.Second, 30*24*time.Hour), Keys: r.whole(attrs, "keys", 100000, 1, 10000000),
		LimitMB: r.whole(attrs, "limit_mb", 64, 1, 16384)}
	if l.Folder, _ = r.text(attrs, "folder", ""); l.Folder == "" {
		r.problem(b.DefRange, "ledger wants a folder.")
	}
	return l
}

func (r *reader) fleet(b *hcl.Block) *Fleet {
	attrs := r.block(b, "peers", "drivers", "only_draining_binds")
	return &Fleet{Peers: r.flag(attrs, "peers"), Drivers: r.whole(attrs, "drivers", 0, 0, 100000),
		DrainingBinds: r.flag(attrs, "only_draining_binds")}
}

// flag gives a true or false that may be left out, as nil.
func (r *reader) flag(attrs hcl.Attributes, name string) *bool {
	v, _, ok := r.value(attrs, name, cty.Bool)
	if !ok {
		return nil
	}
	b := v.True()
	return &b
}

func (r *reader) control(b *hcl.Block) *Control {
	attrs := r.block(b, "socket", "listen", "fellows", "token_file", "lease", "most", "opening")
	c := &Control{Lease: r.duration(attrs, "lease", 5*time.Second, 100*time.Millisecond, 10*time.Minute),
		Most: r.duration(attrs, "most", time.Minute, 100*time.Millisecond, time.Hour), Opening: r.duration(attrs, "opening", 10*time.Second, 0, time.Hour)}
	c.Socket, _ = r.text(attrs, "socket", "")
	c.Listen, _ = r.text(attrs, "listen", "")
	c.TokenFile, _ = r.text(attrs, "token_file", "")
	if v, at, ok := r.value(attrs, "fellows", cty.List(cty.String)); ok {
		for _, f := range v.AsValueSlice() {
			if _, _, err := net.SplitHostPort(f.AsString()); err != nil {
				r.problem(at, "%q is no host:port of a driver.", f.AsString())
			}
			c.Fellows = append(c.Fellows, f.AsString())
		}
	}
	if c.Socket == "" {
		r.problem(b.DefRange, "control wants a socket.")
	}
	if (c.Listen != "" || len(c.Fellows) > 0) && c.TokenFile == "" {
		r.problem(b.DefRange, "control with listen or fellows wants a token_file.")
	}
	return c
}

func (r *reader) membership(b *hcl.Block) *Membership {
	attrs := r.block(b, "listen", "advertise", "seeds", "token_file", "zone", "period", "expect", "yield", "folder")
	m := &Membership{Period: r.duration(attrs, "period", 500*time.Millisecond, 50*time.Millisecond, time.Minute),
		Expect: r.whole(attrs, "expect", 0, 0, 20000), Yield: r.duration(attrs, "yield", 15*time.Second, time.Second, time.Hour)}
	m.Folder, _ = r.text(attrs, "folder", "")
	literal := func(at hcl.Range, name, text string) {
		if a, err := netip.ParseAddrPort(text); err != nil {
			r.problem(at, "%s: %q is no IP:port, such as 10.0.0.5:7434.", name, text)
		} else if name != "listen" && (a.Port() == 0 || a.Addr().IsUnspecified()) {
			r.problem(at, "%s: nobody can be reached at %q.", name, text)
		}
	}
	var at hcl.Range
	if m.Listen, at = r.text(attrs, "listen", ""); m.Listen == "" {
		r.problem(b.DefRange, "membership wants listen.")
	} else {
		literal(at, "listen", m.Listen)
	}
	if m.Advertise, at = r.text(attrs, "advertise", ""); m.Advertise != "" {
		literal(at, "advertise", m.Advertise)
	} else if a, err := netip.ParseAddrPort(m.Listen); err == nil && a.Addr().IsUnspecified() {
		r.problem(b.DefRange, "membership that listens at %q wants advertise.", m.Listen)
	}
	if v, at, ok := r.value(attrs, "seeds", cty.List(cty.String)); ok {
		for _, s := range v.AsValueSlice() {
			if s.IsNull() {
				r.problem(at, "seeds: null is no IP:port.")
				continue
			}
			literal(at, "seeds", s.AsString())
			m.Seeds = append(m.Seeds, s.AsString())
		}
	}
	m.TokenFile, _ = r.text(attrs, "token_file", "")
	if m.Zone, at = r.text(attrs, "zone", ""); len(m.Zone) > 64 {
		r.problem(at, "zone has %d bytes; 64 at most.", len(m.Zone))
	}
	return m
}

func (r *reader) zones(b *hcl.Block) *Zones {
	names := []string{"voters", "beat", "lease", "headroom", "budget", "load", "doubt", "away", "webhook"}
	schema := &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{{Type: "region", LabelNames: []string{"name"}}}}
	for _, n := range names {
		schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: n})
	}
	content := r.content(b.Body, schema)
	attrs := content.Attributes
	z := &Zones{Voters: r.whole(attrs, "voters", 5, 1, 9), Beat: r.duration(attrs, "beat", time.Second, 100*time.Millisecond, time.Minute),
		Lease: r.duration(attrs, "lease", 15*time.Second, time.Second, 10*time.Minute), Headroom: r.whole(attrs, "headroom", 15, 0, 90),
		Budget: r.whole(attrs, "budget", 100, 0, 100), Load: r.whole(attrs, "load", 60, 1, 100), Doubt: r.duration(attrs, "doubt", time.Second, 0, time.Minute),
		Away: r.duration(attrs, "away", 10*time.Second, time.Second, time.Hour)}
	z.Webhook, _ = r.text(attrs, "webhook", "")
	of := map[string]string{}
	for _, g := range content.Blocks {
		attrs := r.block(g, "zones")
		region := Region{Name: g.Labels[0]}
		if v, at, ok := r.value(attrs, "zones", cty.List(cty.String)); ok {
			for _, s := range v.AsValueSlice() {
				if s.IsNull() || s.AsString() == "" || len(s.AsString()) > 64 {
					r.problem(at, "zones: a name has 1 to 64 bytes.")
				} else if other, twice := of[s.AsString()]; twice {
					r.problem(at, "zones: %q stands in region %q already.", s.AsString(), other)
				} else {
					of[s.AsString()] = region.Name
					region.Zones = append(region.Zones, s.AsString())
				}
			}
		}
		z.Regions = append(z.Regions, region)
	}
	if z.Lease < 3*z.Beat {
		r.problem(b.DefRange, "zones: a lease of %v is under three beats of %v.", z.Lease, z.Beat)
	}
	return z
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
	g.TakeOver = r.duration(attrs, "take_over", 30*time.Second, 0, 24*time.Hour)
	g.Confirm = r.duration(attrs, "confirm", 3*time.Second, 0, 10*time.Minute)
	g.DriversPrefix, _ = r.text(attrs, "drivers_prefix", "")
	least := time.Second
	if g.Dialect == "consul" {
		least = 10 * time.Second // it grants no less
	}
	g.Lease = r.duration(attrs, "lease", 10*time.Second, least, 10*time.Minute)
	g.Silence = r.duration(attrs, "silence", 10*time.Second, 100*time.Millisecond, 10*time.Minute)
	return g
}

// String is the file as it is in force, defaults included, in its own form.
func (f File) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "log {\n  format = %q\n  level  = %q\n}\n", f.Log.Format, strings.ToLower(f.Log.Level.String()))
	if s := f.State; s != nil {
		fmt.Fprintf(&b, "state {\n  folder       = %s\n  save_every   = %q\n  limit_mb     = %d\n  switch_least = %q\n}\n",
			hclwrite.TokensForValue(cty.StringVal(s.Folder)).Bytes(), s.SaveEvery, s.LimitMB, s.SwitchLeast)
	}
	if f.Peers.Messages > 0 {
		fmt.Fprintf(&b, "peers {\n  messages_per_second = %d\n}\n", f.Peers.Messages)
	}
	quoted := func(s string) string { return string(hclwrite.TokensForValue(cty.StringVal(s)).Bytes()) }
	list := func(all []string) []string {
		ends := make([]string, len(all))
		for i, e := range all {
			ends[i] = quoted(e)
		}
		return ends
	}
	if l := f.Fleet; l != nil {
		b.WriteString("fleet {\n")
		if l.Peers != nil {
			fmt.Fprintf(&b, "  peers               = %t\n", *l.Peers)
		}
		if l.Drivers > 0 {
			fmt.Fprintf(&b, "  drivers             = %d\n", l.Drivers)
		}
		if l.DrainingBinds != nil {
			fmt.Fprintf(&b, "  only_draining_binds = %t\n", *l.DrainingBinds)
		}
		b.WriteString("}\n")
	}
	if l := f.Ledger; l != nil {
		fmt.Fprintf(&b, "ledger {\n  folder   = %s\n  keep     = %q\n  keys     = %d\n  limit_mb = %d\n}\n", quoted(l.Folder), l.Keep, l.Keys, l.LimitMB)
	}
	if c := f.Control; c != nil {
		fmt.Fprintf(&b, "control {\n  socket     = %s\n  listen     = %s\n  fellows    = [%s]\n  token_file = %s\n  lease      = %q\n  most       = %q\n  opening    = %q\n}\n",
			quoted(c.Socket), quoted(c.Listen), strings.Join(list(c.Fellows), ", "), quoted(c.TokenFile), c.Lease, c.Most, c.Opening)
	}
	if m := f.Membership; m != nil {
		fmt.Fprintf(&b, "membership {\n  listen     = %s\n  advertise  = %s\n  seeds      = [%s]\n  token_file = %s\n  zone       = %s\n  period     = %q\n  expect     = %d\n  yield      = %q\n  folder     = %s\n}\n",
			quoted(m.Listen), quoted(m.Advertise), strings.Join(list(m.Seeds), ", "), quoted(m.TokenFile), quoted(m.Zone), m.Period, m.Expect, m.Yield, quoted(m.Folder))
	}
	if z := f.Zones; z != nil {
		b.WriteString("zones {\n")
		for _, g := range z.Regions {
			fmt.Fprintf(&b, "  region %s {\n    zones = [%s]\n  }\n", quoted(g.Name), strings.Join(list(g.Zones), ", "))
		}
		fmt.Fprintf(&b, "  voters   = %d\n  beat     = %q\n  lease    = %q\n  headroom = %d\n  budget   = %d\n  load     = %d\n  doubt    = %q\n  away     = %q\n  webhook  = %s\n}\n",
			z.Voters, z.Beat, z.Lease, z.Headroom, z.Budget, z.Load, z.Doubt, z.Away, quoted(z.Webhook))
	}
	if g := f.Registry; g != nil {
		ends := list(g.Endpoints)
		fmt.Fprintf(&b, "registry %q {\n  endpoints        = [%s]\n  prefix           = %s\n  service          = %s\n  credentials_file = %s\n"+
			"  ca_file          = %s\n  take_over        = %q\n  confirm          = %q\n  silence          = %q\n  drivers_prefix   = %s\n  lease            = %q\n}\n", g.Dialect,
			strings.Join(ends, ", "), quoted(g.Prefix), quoted(g.Service), quoted(g.CredentialsFile), quoted(g.CAFile), g.TakeOver,
			g.Confirm, g.Silence, quoted(g.DriversPrefix), g.Lease)
	}
	return b.String()
}
