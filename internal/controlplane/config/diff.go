package config

// This file owns what differs between two configurations, for people.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Diff says what differs between two configurations: lines with + for what only b has, - for what only a has, ~ for
// what changed.
func Diff(a, b []byte) ([]string, error) {
	x, y := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	if err := strict(a, &x); err != nil {
		return nil, err
	}
	if err := strict(b, &y); err != nil {
		return nil, err
	}
	keys := map[string]bool{}
	for k := range x {
		keys[k] = true
	}
	for k := range y {
		keys[k] = true
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		var old, now []json.RawMessage
		if json.Unmarshal(x[k], &old) == nil && json.Unmarshal(y[k], &now) == nil && (old != nil || now != nil) {
			out = append(out, diffList(k, old, now)...)
		} else if compact(x[k]) != compact(y[k]) {
			out = append(out, fmt.Sprintf("~ %s: %s -> %s", k, compact(x[k]), compact(y[k])))
		}
	}
	return out, nil
}

func diffList(list string, old, now []json.RawMessage) (out []string) {
	was := map[string]string{}
	for _, i := range old {
		was[itemName(i)] = compact(i)
	}
	for _, i := range now {
		name := itemName(i)
		text, known := was[name]
		switch {
		case !known:
			out = append(out, fmt.Sprintf("+ %s %s: %s", list, name, compact(i)))
		case text != compact(i):
			out = append(out, fmt.Sprintf("~ %s %s: %s -> %s", list, name, text, compact(i)))
		}
		delete(was, name)
	}
	for _, name := range slices.Sorted(maps.Keys(was)) {
		out = append(out, fmt.Sprintf("- %s %s", list, name))
	}
	return out
}

func compact(raw json.RawMessage) string {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return string(raw)
	}
	return b.String()
}
