package operator

// This file reads a file: its blocks, and the requirements between them.

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// InvalidError holds all problems of a file.
type InvalidError hcl.Diagnostics

// Error lists the problems, one per line, with file, line and column.
func (e InvalidError) Error() string {
	var lines []string
	for _, d := range e {
		position := ""
		if d.Subject != nil {
			position = fmt.Sprintf("%s:%d,%d: ", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		summary, detail := strings.TrimSuffix(d.Summary, "."), strings.ReplaceAll(d.Detail, "\n", " ")
		lines = append(lines, position+summary+": "+detail)
	}
	return strings.Join(lines, "\n")
}

// Parse reads a file; name is its name in errors. If the error is an InvalidError, the returned file is the default.
func Parse(name string, text []byte) (File, error) {
	f := Default()
	syntax, problems := hclsyntax.ParseConfig(text, name, hcl.InitialPos)
	r := &reader{problems: problems}
	if !problems.HasErrors() {
		r.file(syntax.Body, &f)
	}
	if r.problems.HasErrors() {
		return Default(), InvalidError(r.problems)
	}
	return f, nil
}

// blockTypes lists all blocks that a file may hold.
var blockTypes = &hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{
	{Type: "log"}, {Type: "state"}, {Type: "peers"}, {Type: "control"}, {Type: "ledger"}, {Type: "fleet"},
	{Type: "membership"}, {Type: "zones"}, {Type: "registry", LabelNames: []string{"dialect"}},
}}

// file reads all blocks, each of which may occur once.
func (r *reader) file(body hcl.Body, file *File) {
	seen := map[string]*hcl.Range{}
	for _, b := range r.content(body, blockTypes).Blocks {
		if first := seen[b.Type]; first != nil {
			r.problem(b.DefRange, "The block %q stands twice; it stands already at line %d.", b.Type, first.Start.Line)
			continue
		}
		seen[b.Type] = &b.DefRange
		r.block(b, file)
	}
	if m := file.Membership; m != nil && m.TokenFile == "" {
		if file.Control != nil {
			m.TokenFile = file.Control.TokenFile
		}
		if m.TokenFile == "" {
			r.problem(*seen["membership"], "membership wants a token_file, its own or control's.")
		}
	}
	if file.Zones != nil && file.Membership == nil {
		r.problem(*seen["zones"], "zones want membership: drivers agree on them.")
	}
}

func (r *reader) block(b *hcl.Block, file *File) {
	switch b.Type {
	case "log":
		r.attributes(b, file.Log.attributes(), nil)
	case "peers":
		r.attributes(b, file.Peers.attributes(), nil)
	case "fleet":
		file.Fleet = &Fleet{}
		r.attributes(b, file.Fleet.attributes(), nil)
	case "state":
		file.State = r.state(b)
	case "ledger":
		file.Ledger = r.ledger(b)
	case "control":
		file.Control = r.control(b)
	case "membership":
		file.Membership = r.membership(b)
	case "zones":
		file.Zones = r.zones(b)
	case "registry":
		file.Registry = r.registry(b)
	}
}
