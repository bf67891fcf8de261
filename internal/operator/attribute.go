package operator

// This file defines the kinds of attributes: how a value is read into a field, validated and printed.

import (
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclwrite"
	"github.com/zclconf/go-cty/cty"
)

// attribute binds one attribute of a block to a field.
type attribute struct {
	name string
	// order is the position in reading: lower orders are read first, whatever the order of printing. It determines the
	// order in which the problems of a block are reported.
	order int
	// read sets the field, to the default if the attribute is missing or invalid. given reports that it is neither.
	read func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool)
	// print returns the value as HCL, or "" if the attribute is omitted.
	print func() string
}

// withOrder returns the attribute with an order, so that it is read after those of lower orders.
func (a attribute) withOrder(order int) attribute {
	a.order = order
	return a
}

// text returns an attribute for any string.
func text(name string, field *string, defaultValue string) attribute {
	return attribute{name: name,
		read: func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
			*field, at, given = r.text(attrs, name, defaultValue)
			return at, given
		},
		print: func() string { return quoted(*field) },
	}
}

// oneOf returns an attribute for one of the allowed strings.
func oneOf(name string, field *string, defaultValue string, allowed ...string) attribute {
	return attribute{name: name,
		read: func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
			*field, at, given = r.text(attrs, name, defaultValue)
			if !slices.Contains(allowed, *field) {
				r.problem(at, "%s is %q; it may be %s.", name, *field, strings.Join(allowed, ", "))
				*field, given = defaultValue, false
			}
			return at, given
		},
		print: func() string { return strconv.Quote(*field) },
	}
}

// level returns an attribute for a slog level.
func level(name string, field *slog.Level) attribute {
	var levelName string
	a := oneOf(name, &levelName, "info", "debug", "info", "warn", "error")
	read := a.read
	a.read = func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
		at, given = read(r, attrs)
		_ = field.UnmarshalText([]byte(levelName)) // only names that slog knows are allowed
		return at, given
	}
	a.print = func() string { return strconv.Quote(strings.ToLower(field.String())) }
	return a
}

// duration returns an attribute for a duration in Go's syntax, from lower to upper inclusive.
func duration(name string, field *time.Duration, defaultValue, lower, upper time.Duration) attribute {
	return attribute{name: name,
		read: func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
			value, at, given := r.text(attrs, name, defaultValue.String())
			d, err := time.ParseDuration(value)
			switch {
			case err != nil:
				r.problem(at, "%s is %q; it wants a time such as %q.", name, value, defaultValue)
			case d < lower || d > upper:
				r.problem(at, "%s is %s; it may be %s to %s.", name, d, lower, upper)
			default:
				*field = d
				return at, given
			}
			*field = defaultValue
			return at, false
		},
		print: func() string { return strconv.Quote(field.String()) },
	}
}

// integer returns an attribute for a whole number, from lower to upper inclusive.
func integer(name string, field *int, defaultValue, lower, upper int) attribute {
	return attribute{name: name,
		read: func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
			*field = defaultValue
			v, at, given := r.value(attrs, name, cty.Number)
			if !given {
				return at, false
			}
			f, _ := v.AsBigFloat().Float64()
			n := int(f)
			if float64(n) != f || n < lower || n > upper {
				r.problem(at, "%s is %g; it may be a whole number, %d to %d.", name, f, lower, upper)
				return at, false
			}
			*field = n
			return at, true
		},
		print: func() string { return strconv.Itoa(*field) },
	}
}

// positive returns an attribute for an integer that is not printed if it is 0.
func positive(name string, field *int, upper int) attribute {
	a := integer(name, field, 0, 0, upper)
	a.print = func() string {
		if *field > 0 {
			return strconv.Itoa(*field)
		}
		return ""
	}
	return a
}

// optional returns an attribute for a boolean that may be omitted, which is stored as nil.
func optional(name string, field **bool) attribute {
	return attribute{name: name,
		read: func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
			v, at, given := r.value(attrs, name, cty.Bool)
			if *field = nil; given {
				b := v.True()
				*field = &b
			}
			return at, given
		},
		print: func() string {
			if *field == nil {
				return ""
			}
			return strconv.FormatBool(**field)
		},
	}
}

// elementReader converts and validates an element of a list; false omits it.
type elementReader func(r *reader, at hcl.Range, value cty.Value) (string, bool)

// list returns an attribute for a list of strings.
func list(name string, field *[]string, element elementReader) attribute {
	return attribute{name: name,
		read: func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
			*field = nil
			value, at, given := r.value(attrs, name, cty.List(cty.String))
			if !given {
				return at, false
			}
			for _, e := range value.AsValueSlice() {
				if s, ok := element(r, at, e); ok {
					*field = append(*field, s)
				}
			}
			return at, true
		},
		print: func() string { return quotedList(*field) },
	}
}

// quoted returns a string as an HCL literal.
func quoted(content string) string {
	return string(hclwrite.TokensForValue(cty.StringVal(content)).Bytes())
}

// quotedList returns a list of strings as an HCL literal.
func quotedList(all []string) string {
	items := make([]string, len(all))
	for i, s := range all {
		items[i] = quoted(s)
	}
	return "[" + strings.Join(items, ", ") + "]"
}

// printBlock prints a block that holds only attributes.
func printBlock(b *strings.Builder, header string, attributes []attribute) {
	b.WriteString(header + " {\n")
	printAttributes(b, attributes)
	b.WriteString("}\n")
}

// printAttributes prints attributes, with their values aligned.
func printAttributes(b *strings.Builder, attributes []attribute) {
	width := 0
	for _, a := range attributes {
		width = max(width, len(a.name))
	}
	for _, a := range attributes {
		if value := a.print(); value != "" {
			fmt.Fprintf(b, "  %-*s = %s\n", width, a.name, value)
		}
	}
}
