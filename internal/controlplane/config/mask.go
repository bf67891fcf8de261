package config

// This file owns the masking of tenants' keys in what people and logs see. Keys are secrets, and short ones could be
// found from a digest: they are numbered, in the order in which they are met.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

const fieldKeys = "keys" // of a tenant

// keyMask has the numbers of keys: the same key has the same number wherever it stands.
type keyMask map[string]int

// text gives JSON without its white space and with its keys masked. What has keys has its fields in order.
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
	_ = encoder.Encode(value) // what was decoded can be encoded
	return strings.TrimSuffix(masked.String(), "\n")
}

// mask masks the keys within a decoded value in place, at any depth, and says whether there were any.
func (m keyMask) mask(value any) (found bool) {
	switch value := value.(type) {
	case map[string]any:
		for _, field := range slices.Sorted(maps.Keys(value)) { // in order, as keys are numbered
			if strings.EqualFold(field, fieldKeys) { // as the decoder compares names
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

// maskKeys gives the masked value of a field of keys, which need not be valid.
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

func (m keyMask) placeholder(key any) string {
	text := fmt.Sprint(key)
	if m[text] == 0 {
		m[text] = len(m) + 1
	}
	return fmt.Sprintf("key %d", m[text])
}
