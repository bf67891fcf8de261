package benchwire

// This file reads membership lists.

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
func (s *server) readList(list *fields) error {
	table, count := list.required("table"), int(list.number("items"))
	if list.err != nil {
		return list.err
	}
	if count < 0 {
		return fmt.Errorf("LIST with %d items", count)
	}
	var entries []logic.ListEntry
	for range count {
		entryLine, err := s.readLine()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("LIST of %d items is cut short", count)
		} else if err != nil {
			return err
		}
		entry, err := listEntry(&entryLine)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	s.lists[table] = entries
	return nil
}

// listEntry converts ENTRY.
func listEntry(line *fields) (logic.ListEntry, error) {
	if line.name != "ENTRY" {
		return logic.ListEntry{}, fmt.Errorf("want ENTRY, have %s", line.name)
	}
	phase, known := phases[line.required("phase")]
	if line.err == nil && !known {
		return logic.ListEntry{}, fmt.Errorf("ENTRY has the unknown phase %q", line.required("phase"))
	}
	entry := logic.ListEntry{
		Member:  line.required("member"),
		Phase:   phase,
		Zone:    line.get("zone"),
		Started: toMilliseconds(line.optional("born")),
		Group:   int64(line.optional("cluster")),
		Primary: line.flag("head"),
	}
	return entry, line.err
}
