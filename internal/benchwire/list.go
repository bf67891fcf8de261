package benchwire

// This file owns membership lists.

import (
	"errors"
	"fmt"
	"io"

	"weirwind/logic"
)

var phases = map[string]logic.Phase{
	"healthy":      logic.Ready,
	"cordoned":     logic.Draining,
	"deregistered": logic.Gone,
}

var listKinds = map[string]logic.ListKind{
	"Partial":   logic.ListChanges,
	"Complete":  logic.ListFull,
	"Persisted": logic.ListCached,
	"Error":     logic.ListFailed,
}

// readList reads the entries of one LIST.
func (s *server) readList(f *fields) error {
	table, n := f.required("table"), int(f.number("items"))
	if f.err != nil {
		return f.err
	}
	if n < 0 {
		return fmt.Errorf("LIST with %d items", n)
	}
	var entries []logic.ListEntry
	for range n {
		line, err := s.read()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("LIST of %d items is cut short", n)
		} else if err != nil {
			return err
		}
		entry, err := listEntry(&line)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	s.lists[table] = entries
	return nil
}

// listEntry converts ENTRY.
func listEntry(f *fields) (logic.ListEntry, error) {
	if f.name != "ENTRY" {
		return logic.ListEntry{}, fmt.Errorf("want ENTRY, have %s", f.name)
	}
	phase, known := phases[f.required("phase")]
	if f.err == nil && !known {
		return logic.ListEntry{}, fmt.Errorf("ENTRY has the unknown phase %q", f.required("phase"))
	}
	entry := logic.ListEntry{
		Member:  f.required("member"),
		Phase:   phase,
		Zone:    f.get("zone"),
		Started: milliseconds(f.optional("born")),
		Group:   int64(f.optional("cluster")),
		Primary: f.flag("head"),
	}
	return entry, f.err
}
