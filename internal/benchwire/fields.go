package benchwire

// This file owns the form of lines.

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"weirwind/logic"
)

// fields is one parsed line. err is the first error about a value, so that callers may check it once.
type fields struct {
	name  string
	pairs []pair
	err   error
}

type pair struct{ key, value string }

// split parses a line. The values of 'setup' and 'line' are text and reach to its end.
func split(text string) (fields, error) {
	name, rest, _ := strings.Cut(text, " ")
	f := fields{name: name}
	for rest != "" {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.Contains(key, " ") {
			return f, fmt.Errorf("%s: not a name=value part: %.60q", name, rest)
		}
		value := after
		rest = ""
		if key != "setup" && key != "line" {
			value, rest, _ = strings.Cut(after, " ")
		}
		f.pairs = append(f.pairs, pair{key, value})
	}
	return f, nil
}

// get returns a value; empty where it is missing.
func (f *fields) get(key string) string {
	for _, p := range f.pairs {
		if p.key == key {
			return p.value
		}
	}
	return ""
}

// required returns a value that must be there.
func (f *fields) required(key string) string {
	v := f.get(key)
	if v == "" {
		f.fail("%s lacks %s", f.name, key)
	}
	return v
}

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// number returns a number that must be there.
func (f *fields) number(key string) float64 {
	f.required(key)
	return f.optional(key)
}

// optional returns a number that may be missing, as 0. It may have a fraction.
func (f *fields) optional(key string) float64 {
	v := f.get(key)
	if v == "" {
		return 0
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail("%s: %s is not a number: %q", f.name, key, v)
	}
	return n
}

// flag returns a number that may be missing as a boolean.
func (f *fields) flag(key string) bool { return f.optional(key) != 0 }

func (f *fields) outcome() logic.Outcome {
	o, known := outcomes[f.required("result")]
	if !known {
		f.fail("%s has the unknown result %q", f.name, f.get("result"))
	}
	return o
}

// report reads a member's report of its position and role. Values of other names are ignored.
func (f *fields) report() logic.Sight {
	var r logic.Sight
	text := f.get("usage")
	for text != "" {
		var item string
		item, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(item, ":")
		if name != "x0" && name != "x1" {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			f.fail("%s: report value %s is not a number: %q", f.name, name, value)
		}
		if name == "x0" {
			r.Position = n * 1000
		} else if r.Role = logic.Replica; n == 1 {
			r.Role = logic.Primary
		}
	}
	return r
}
