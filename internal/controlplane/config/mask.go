package config

// This file masks tenants' keys in output for operators and in logs. Keys are secrets, and short ones could be
// recovered from a digest by brute force, so each key is replaced by a number, in order of appearance.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

const fieldKeys = "keys" // JSON field of a tenant

// keyMask maps keys to their numbers: a key has the same number wherever it appears.
type keyMask map[string]int

// format returns JSON without insignificant white space and with its keys masked. If there are any keys, the fields are
// sorted by name.
func (m keyMask) format(raw json.RawMessage) string {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil || !m.mask(value) {
		return compact(raw)
	}
	var masked bytes.Buffer
	encoder := json.NewEncoder(&masked)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value) // can't fail: the value was decoded from JSON
	return strings.TrimSuffix(masked.String(), "\n")
}

// mask replaces the keys within a decoded value in place, at any depth, and reports whether there were any.
func (m keyMask) mask(value any) (found bool) {
	switch value := value.(type) {
	case map[string]any:
		for _, field := range slices.Sorted(maps.Keys(value)) { // sorted, so that the numbers are deterministic
			if strings.EqualFold(field, fieldKeys) { // encoding/json matches field names like this
				value[field], found = m.maskKeys(value[field]), true
			} else if m.mask(value[field]) {
				found = true
			}
		}
	case []any:
		for _, item := range value {
			found = m.mask(item) || found
		}
	}
	return found
}

// maskKeys returns the masked value of a keys field, which may be of any type.
func (m keyMask) maskKeys(value any) any {
	keys, isList := value.([]any)
	if !isList {
		return m.placeholder(value)
	}
	for i, key := range keys {
		keys[i] = m.placeholder(key)
	}
	return keys
}

// placeholder returns the text that replaces a key.
func (m keyMask) placeholder(key any) string {
	text := fmt.Sprint(key)
	if m[text] == 0 {
		m[text] = len(m) + 1
	}
	return fmt.Sprintf("key %d", m[text])
}
