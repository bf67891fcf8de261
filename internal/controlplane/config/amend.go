package config

// This file implements amendments, which change named items of the current configuration.

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/samber/oops"
)

// amendment adds or replaces items by name, and then deletes others, in each of the configuration's lists. The names of
// the type and of its JSON fields appear in errors that operators see.
type amendment struct {
	Version *uint64                      `json:"gen"`
	Upsert  map[string][]json.RawMessage `json:"upsert"` // by list
	Delete  map[string][]string          `json:"del"`    // names by list
}

func parseAmendment(body []byte) (*amendment, error) {
	var a amendment
	if err := decodeStrict(body, &a); err != nil {
		return nil, invalid(reasonTruncated, "the change can't be read in full: %v", err)
	}
	if a.Version == nil {
		return nil, invalid(reasonInvalidField, "a change needs its gen")
	}
	return &a, nil
}

// changedLists returns the names of the lists that the amendment changes.
func (a *amendment) changedLists() map[string]bool {
	lists := map[string]bool{}
	for list := range a.Upsert {
		lists[list] = true
	}
	for list := range a.Delete {
		lists[list] = true
	}
	return lists
}

// applyAmendment returns the current configuration with an amendment applied, validated as a whole. Items and fields
// unknown to this version of the software are kept.
func (s *State) applyAmendment(body []byte) ([]byte, error) {
	a, err := parseAmendment(body)
	if err != nil {
		return nil, err
	}
	if s.Version == 0 {
		return nil, reject(ErrBaseVersionMismatch, reasonBaseMismatch,
			"there is no configuration yet that could be changed")
	}
	doc := map[string]json.RawMessage{}
	if err := decodeStrict(s.Raw, &doc); err != nil {
		return nil, oops.In("amend").Wrap(err)
	}
	for _, list := range slices.Sorted(maps.Keys(a.changedLists())) { // sorted: the first error is reported
		if doc[list], err = amendList(list, doc[list], a.Upsert[list], a.Delete[list]); err != nil {
			return nil, err
		}
	}
	if doc["gen"], err = json.Marshal(*a.Version); err != nil {
		return nil, oops.In("amend").Wrap(err)
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	if _, err := Parse(raw); err != nil {
		return nil, err
	}
	return raw, nil
}

// amendList amends one list. raw is nil if the configuration has no such list yet.
func amendList(list string, raw json.RawMessage, upserts []json.RawMessage, deletes []string) (json.RawMessage, error) {
	var items []json.RawMessage
	if raw != nil {
		if err := json.Unmarshal(raw, &items); err != nil {
			return nil, invalid(reasonInvalidField, "%q is no list of items", list)
		}
	}
	items, upserted, err := upsertItems(items, upserts)
	if err != nil {
		return nil, err
	}
	raw, err = json.Marshal(deleteItems(items, deletes, upserted))
	if err != nil {
		return nil, oops.In("amend").Wrap(err)
	}
	return raw, nil
}

// upsertItems replaces existing items in place and appends new ones. It returns the names of both in upserted.
func upsertItems(items, upserts []json.RawMessage) (_ []json.RawMessage, upserted map[string]bool, _ error) {
	index := map[string]int{}
	for i, item := range items {
		index[itemName(item)] = i
	}
	upserted = map[string]bool{}
	for _, item := range upserts {
		name := itemName(item)
		if name == "" || upserted[name] {
			text := keyMask{}.format(item)
			return nil, nil, invalid(reasonInvalidField, "an item without a name of its own: %.80s", text)
		}
		upserted[name] = true
		if i, found := index[name]; found {
			items[i] = item
			continue
		}
		index[name] = len(items)
		items = append(items, item)
	}
	return items, upserted, nil
}

// deleteItems deletes items by name, except those that the same amendment upserted.
func deleteItems(items []json.RawMessage, names []string, upserted map[string]bool) []json.RawMessage {
	if len(names) == 0 {
		return items
	}
	deleted := map[string]bool{}
	for _, name := range names {
		deleted[strings.TrimSpace(name)] = true
	}
	return slices.DeleteFunc(items, func(item json.RawMessage) bool {
		name := itemName(item)
		return deleted[name] && !upserted[name]
	})
}

// itemName returns the name of an item, "" for an item without one.
func itemName(item json.RawMessage) string {
	var named struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(item, &named) != nil {
		return ""
	}
	return named.Name
}
