package operator

// This file owns the reading of single values: each has a type and limits, and all problems are told at once.

import (
	"fmt"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

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
	switch {
	case err != nil:
		r.problem(at, "%s is %q; it wants a time such as %q.", name, s, otherwise)
	case d < least || d > most:
		r.problem(at, "%s is %s; it may be %s to %s.", name, d, least, most)
	default:
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

// flag gives a true or false that may be left out, as nil.
func (r *reader) flag(attrs hcl.Attributes, name string) *bool {
	v, _, ok := r.value(attrs, name, cty.Bool)
	if !ok {
		return nil
	}
	b := v.True()
	return &b
}
