package operator

// This file owns the kinds of attributes: how a value is read into a field, within its limits, and printed.

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
	// order is the attribute's turn in reading: those of a lower one come first, whatever the order of printing. It
	// decides in which order the problems of a block are reported.
	order int
	// read sets the field, to the default where the attribute is missing or wrong. given says that it is neither.
	read func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool)
	// print returns the value as HCL; empty where the attribute is left out.
	print func() string
}

// after moves an attribute's reading behind those of lower orders.
func (a attribute) after(order int) attribute {
	a.order = order
	return a
}

// text is a string of any content.
func text(name string, field *string, otherwise string) attribute {
	return attribute{name: name,
		read: func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
			*field, at, given = r.text(attrs, name, otherwise)
			return at, given
		},
		print: func() string { return quoted(*field) },
	}
}

// oneOf is one of a few strings.
func oneOf(name string, field *string, otherwise string, allowed ...string) attribute {
	return attribute{name: name,
		read: func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
			*field, at, given = r.text(attrs, name, otherwise)
			if !slices.Contains(allowed, *field) {
				r.problem(at, "%s is %q; it may be %s.", name, *field, strings.Join(allowed, ", "))
				*field, given = otherwise, false
			}
			return at, given
		},
		print: func() string { return strconv.Quote(*field) },
	}
}

// level is a level of slog.
func level(name string, field *slog.Level) attribute {
	var word string
	a := oneOf(name, &word, "info", "debug", "info", "warn", "error")
	read := a.read
	a.read = func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
		at, given = read(r, attrs)
		_ = field.UnmarshalText([]byte(word)) // only levels that slog knows are allowed
		return at, given
	}
	a.print = func() string { return strconv.Quote(strings.ToLower(field.String())) }
	return a
}

// duration is a time in Go's form, from lower to upper, both included.
func duration(name string, field *time.Duration, otherwise, lower, upper time.Duration) attribute {
	return attribute{name: name,
		read: func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
			word, at, given := r.text(attrs, name, otherwise.String())
			d, err := time.ParseDuration(word)
			switch {
			case err != nil:
				r.problem(at, "%s is %q; it wants a time such as %q.", name, word, otherwise)
			case d < lower || d > upper:
				r.problem(at, "%s is %s; it may be %s to %s.", name, d, lower, upper)
			default:
				*field = d
				return at, given
			}
			*field = otherwise
			return at, false
		},
		print: func() string { return strconv.Quote(field.String()) },
	}
}

// integer is a whole number, from lower to upper, both included.
func integer(name string, field *int, otherwise, lower, upper int) attribute {
	return attribute{name: name,
		read: func(r *reader, attrs hcl.Attributes) (at hcl.Range, given bool) {
			*field = otherwise
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

// positive is an integer that is not printed where it is 0.
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

// optional is a boolean that may be left out, as nil.
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

// elementReader converts and checks an element of a list; false leaves it out.
type elementReader func(r *reader, at hcl.Range, value cty.Value) (string, bool)

// list is a list of strings.
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

// quoted is a string as HCL writes it.
func quoted(content string) string {
	return string(hclwrite.TokensForValue(cty.StringVal(content)).Bytes())
}

// quotedList is a list of strings as HCL writes it.
func quotedList(all []string) string {
	items := make([]string, len(all))
	for i, s := range all {
		items[i] = quoted(s)
	}
	return "[" + strings.Join(items, ", ") + "]"
}

// printBlock prints a block that holds attributes alone.
func printBlock(b *strings.Builder, header string, attributes []attribute) {
	b.WriteString(header + " {\n")
	printAttributes(b, attributes)
	b.WriteString("}\n")
}

// printAttributes prints attributes with their values in one column.
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
