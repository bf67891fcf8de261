package operator

// This file reads bodies and values of HCL. It collects the problems, so that all of a file are reported together.

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// reader reads one file.
type reader struct {
	problems hcl.Diagnostics
}

func (r *reader) problem(at hcl.Range, format string, args ...any) {
	r.problems = append(r.problems, &hcl.Diagnostic{
		Severity: hcl.DiagError,
		Summary:  "Bad value",
		Detail:   fmt.Sprintf(format, args...),
		Subject:  &at,
	})
}

// content decodes a body; names that the schema lacks are problems.
func (r *reader) content(body hcl.Body, schema *hcl.BodySchema) *hcl.BodyContent {
	c, problems := body.Content(schema)
	r.problems = append(r.problems, problems...)
	return c
}

// checks are called, by the name of an attribute, after it has been read.
type checks map[string]func(at hcl.Range, given bool)

// attributes reads a block that holds only attributes.
func (r *reader) attributes(b *hcl.Block, attributes []attribute, checksByName checks) {
	r.values(r.content(b.Body, &hcl.BodySchema{Attributes: schemaOf(attributes)}).Attributes, attributes, checksByName)
}

func schemaOf(attributes []attribute) (schema []hcl.AttributeSchema) {
	for _, a := range attributes {
		schema = append(schema, hcl.AttributeSchema{Name: a.name})
	}
	return schema
}

// values reads attributes in their order.
func (r *reader) values(attrs hcl.Attributes, attributes []attribute, checksByName checks) {
	inOrder := slices.Clone(attributes)
	slices.SortStableFunc(inOrder, func(a, b attribute) int { return cmp.Compare(a.order, b.order) })
	for _, a := range inOrder {
		at, given := a.read(r, attrs)
		if check := checksByName[a.name]; check != nil {
			check(at, given)
		}
	}
}

// value returns an attribute as the wanted type. given is false, and at is zero, if it is missing or a problem.
func (r *reader) value(attrs hcl.Attributes, name string, want cty.Type) (value cty.Value, at hcl.Range, given bool) {
	attr := attrs[name]
	if attr == nil {
		return value, at, false
	}
	value, problems := attr.Expr.Value(nil)
	if r.problems = append(r.problems, problems...); problems.HasErrors() {
		return value, at, false
	}
	value, err := convert.Convert(value, want)
	if err != nil || value.IsNull() || !value.IsKnown() {
		r.problem(attr.Expr.Range(), "%s wants a %s.", name, want.FriendlyName())
		return value, at, false
	}
	return value, attr.Expr.Range(), true
}

// text returns a string attribute, or the default.
func (r *reader) text(attrs hcl.Attributes, name, defaultValue string) (content string, at hcl.Range, given bool) {
	value, at, given := r.value(attrs, name, cty.String)
	if !given {
		return defaultValue, at, false
	}
	return value.AsString(), at, true
}
