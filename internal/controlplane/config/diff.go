package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Diff returns the differences between two configurations as lines for operators, which begin with + for an added item,
// - for a removed one, and ~ for a changed one. Fields are sorted by name; items are in the order of after, followed by
// the removed ones sorted by name. Keys of tenants are masked.
func Diff(before, after []byte) ([]string, error) {
	oldDoc, newDoc := map[string]json.RawMessage{}, map[string]json.RawMessage{}
	if err := decodeStrict(before, &oldDoc); err != nil {
		return nil, err
	}
	if err := decodeStrict(after, &newDoc); err != nil {
		return nil, err
	}
	keys := map[string]json.RawMessage{} // not a clone: a document that is null decodes to a nil map
	maps.Copy(keys, oldDoc)
	maps.Copy(keys, newDoc)
	mask := keyMask{}
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		lines = append(lines, diffKey(mask, key, oldDoc[key], newDoc[key])...)
	}
	return lines, nil
}

// diffKey compares two values of a top-level key, item by item if both are lists.
func diffKey(mask keyMask, key string, before, after json.RawMessage) []string {
	var oldItems, newItems []json.RawMessage
	lists := json.Unmarshal(before, &oldItems) == nil && json.Unmarshal(after, &newItems) == nil
	if lists && (oldItems != nil || newItems != nil) {
		return diffList(mask, key, oldItems, newItems)
	}
	if compact(before) != compact(after) {
		return []string{fmt.Sprintf("~ %s: %s -> %s", key, mask.format(before), mask.format(after))}
	}
	return nil
}

func diffList(mask keyMask, list string, oldItems, newItems []json.RawMessage) (lines []string) {
	removed := map[string]json.RawMessage{} // by name
	for _, item := range oldItems {
		removed[itemName(item)] = item
	}
	for _, item := range newItems {
		name := itemName(item)
		oldItem, found := removed[name]
		switch {
		case !found:
			lines = append(lines, fmt.Sprintf("+ %s %s: %s", list, name, mask.format(item)))
		case compact(oldItem) != compact(item):
			lines = append(lines, fmt.Sprintf("~ %s %s: %s -> %s", list, name, mask.format(oldItem), mask.format(item)))
		}
		delete(removed, name)
	}
	for _, name := range slices.Sorted(maps.Keys(removed)) {
		lines = append(lines, fmt.Sprintf("- %s %s", list, name))
	}
	return lines
}

// compact returns JSON without insignificant white space. Input that is not JSON is returned unchanged.
func compact(raw json.RawMessage) string {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return string(raw)
	}
	return b.String()
}
