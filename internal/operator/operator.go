// Package operator reads the operators' file: what an installation switches on beside the platform's own
// configuration, in HCL. It owns names, types, defaults and their limits. It must never act on what it reads, and
// never let a name pass that it does not know.
package operator

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Parse reads a file's text; name is for errors, which carry file, line and column, one a line.
func Parse(name string, text []byte) (File, error) {
	f := Default()
	syntax, problems := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	r := &reader{problems: problems}
	if !problems.HasErrors() {
		r.file(syntax.Body, &f)
	}
	if r.problems.HasErrors() {
		return Default(), problemsError(r.problems)
	}
	return f, nil
}

// blockTypes are all blocks that a file may hold.
var blockTypes = &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{
	{Type: "log"}, {Type: "state"}, {Type: "peers"}, {Type: "control"}, {Type: "ledger"}, {Type: "fleet"},
	{Type: "membership"}, {Type: "zones"}, {Type: "registry", LabelNames: []string{"dialect"}},
}}

// file reads all blocks, and what they want of each other.
func (r *reader) file(body hcl.Body, f *File) {
	seen := map[string]*hcl.Range{}
	for _, b := range r.content(body, blockTypes).Blocks {
		if before := seen[b.Type]; before != nil {
			r.problem(b.DefRange, "The block %q stands twice; it stands already at line %d.", b.Type, before.Start.Line)
			continue
		}
		seen[b.Type] = &b.DefRange
		r.into(b, f)
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

// into reads one block.
func (r *reader) into(b *hcl.Block, f *File) {
	switch b.Type {
	case "log":
		f.Log = r.log(b)
	case "state":
		f.State = r.state(b)
	case "peers":
		f.Peers = r.peers(b)
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
