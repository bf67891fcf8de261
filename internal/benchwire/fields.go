package benchwire

// This file parses lines into names and values.

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"weirwind/logic"
)

// fields is one parsed line. err is the first error of a value, so that callers can read several values and check once.
type fields struct {
	name  string
	pairs []pair
	err   error
}

type pair struct{ key, value string }

// parseLine parses a line. The values of 'setup' and 'line' are text that extends to its end.
func parseLine(text string) (fields, error) {
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

// get returns a value, or "" if it is missing.
func (f *fields) get(key string) string {
	for _, p := range f.pairs {
		if p.key == key {
			return p.value
		}
	}
	return ""
}

// required returns a value, and records an error if it is missing.
func (f *fields) required(key string) string {
	value := f.get(key)
	if value == "" {
		f.fail("%s lacks %s", f.name, key)
	}
	return value
}

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, args...)
	}
}

// number returns a number, and records an error if it is missing.
func (f *fields) number(key string) float64 {
	f.required(key)
	return f.optional(key)
}

// optional returns a number, or 0 if it is missing. It may have a fraction.
func (f *fields) optional(key string) float64 {
	value := f.get(key)
	if value == "" {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		f.fail("%s: %s is not a number: %q", f.name, key, value)
	}
	return number
}

// flag reports whether an optional number is present and not 0.
func (f *fields) flag(key string) bool { return f.optional(key) != 0 }

func (f *fields) outcome() logic.Outcome {
	outcome, known := outcomes[f.required("result")]
	if !known {
		f.fail("%s has the unknown result %q", f.name, f.get("result"))
	}
	return outcome
}

// report parses a member's report: x0 is its position in seconds, x1 is 1 for a primary. Other names are ignored.
func (f *fields) report() logic.Sight {
	var report logic.Sight
	text := f.get("usage")
	for text != "" {
		var item string
		item, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(item, ":")
		if name != "x0" && name != "x1" {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			f.fail("%s: report value %s is not a number: %q", f.name, name, value)
		}
		if name == "x0" {
			report.Position = number * 1000
		} else if report.Role = logic.Replica; number == 1 {
			report.Role = logic.Primary
		}
	}
	return report
}
