package config

// This file owns amendments: changes of named items of the configuration that is in place.

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/samber/oops"
)

type amendment struct {
	Gen    *uint64                      `json:"gen"`
	Upsert map[string][]json.RawMessage `json:"upsert"`
	Del    map[string][]string          `json:"del"`
}

// readAmendment reads one, which has its gen.
func readAmendment(body []byte) (*amendment, error) {
	var a amendment
	if err := strict(body, &a); err != nil {
		return nil, refuse(400, "cut_short", "the change can't be read in full: %v", err)
	}
	if a.Gen == nil {
		return nil, refuse(400, "bad_field", "a change needs its gen")
	}
	return &a, nil
}

func (b *State) amended(body []byte) ([]byte, error) {
	a, err := readAmendment(body)
	if err != nil {
		return nil, err
	}
	if b.Version == 0 {
		return nil, refuse(412, "other_base", "there is no configuration yet that could be changed")
	}
	doc := map[string]json.RawMessage{}
	if err := strict(b.Raw, &doc); err != nil {
		return nil, oops.In("amend").Wrap(err)
	}
	lists := map[string]bool{}
	for k := range a.Upsert {
		lists[k] = true
	}
	for k := range a.Del {
		lists[k] = true
	}
	for list := range lists {
		var items []json.RawMessage
		if old, ok := doc[list]; ok {
			if err := json.Unmarshal(old, &items); err != nil {
				return nil, refuse(400, "bad_field", "%q is no list of items", list)
			}
		}
		items, err := amendList(items, a.Upsert[list], a.Del[list])
		if err != nil {
			return nil, err
		}
		if doc[list], err = json.Marshal(items); err != nil {
			return nil, oops.In("amend").Wrap(err)
		}
	}
	doc["gen"], _ = json.Marshal(*a.Gen)
	return json.Marshal(doc)
}

func amendList(items, upsert []json.RawMessage, del []string) ([]json.RawMessage, error) {
	at := map[string]int{}
	for i, item := range items {
		at[itemName(item)] = i
	}
	seen := map[string]bool{}
	for _, item := range upsert {
		name := itemName(item)
		if name == "" || seen[name] {
			return nil, refuse(400, "bad_field", "an item without a name of its own: %.80s", item)
		}
		seen[name] = true
		if i, ok := at[name]; ok {
			items[i] = item
		} else {
			at[name] = len(items)
			items = append(items, item)
		}
	}
	if len(del) == 0 {
		return items, nil
	}
	gone := map[string]bool{}
	for _, name := range del {
		gone[strings.TrimSpace(name)] = true
	}
	return slices.DeleteFunc(items, func(item json.RawMessage) bool { return gone[itemName(item)] && !seen[itemName(item)] }), nil
}

func itemName(item json.RawMessage) string {
	var named struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(item, &named) != nil {
		return ""
	}
	return named.Name
}
