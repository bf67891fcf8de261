package main

// This file owns the commands on learned state. It must never change a folder that a driver is at, nor one that it
// was only asked to look at.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"weirwind/internal/durable"
	"weirwind/internal/learned"
)

type stateCommands struct {
	Show   showCommand   `cmd:"" help:"Print what is kept in a folder."`
	Verify verifyCommand `cmd:"" help:"Check every file of a folder; exit code 1 where any is damaged."`
	Forget forgetCommand `cmd:"" help:"Drop what was learned of a member or a group, or all of it; the driver must not run."`
}

type folder struct {
	Folder string `arg:"" help:"The folder of the operators' file." type:"path"`
}

func (f folder) options() durable.Options {
	return durable.Options{Folder: f.Folder, Tag: learned.Tag, Limit: 1 << 30}
}

// load recovers a folder's state. damage holds what is wrong beside it; the state is nil where nothing was kept.
func (f folder) load() (s *learned.State, found durable.Recovered, damage []error, err error) {
	if found, err = durable.Recover(durable.OS{}, f.options()); err != nil {
		return nil, found, nil, err
	}
	damage = found.Damage()
	if found.Snapshot != nil {
		if s, err = learned.Load(found.Snapshot, found.Records); err != nil {
			return nil, found, append(damage, err), nil
		}
	}
	return s, found, damage, nil
}

type showCommand struct {
	folder
	JSON bool `help:"All of it, as JSON."`
}

// Run prints the state; damage that cost some of it is an error, a write that a crash broke off is not.
func (c *showCommand) Run(out io.Writer) error {
	s, found, damage, err := c.load()
	if err != nil {
		return err
	}
	if s == nil {
		return errors.Join(append(damage, fmt.Errorf("%s: no state", c.Folder))...)
	}
	if c.JSON {
		pretty := json.NewEncoder(out)
		pretty.SetIndent("", "  ")
		return pretty.Encode(s)
	}
	m := s.Meta
	fmt.Fprintf(out, "driver %s, run %d, renewed %s, ended in order: %v\n", m.Name, m.Run, date(m.SavedAt.Wall), m.CleanShutdown)
	fmt.Fprintf(out, "list revision %d (epoch %d), %d members; ceiling %s\n", m.Revision, m.Epoch, len(s.Membership),
		date(m.MaxPosition))
	for _, id := range slices.Sorted(maps.Keys(s.Groups)) {
		g := s.Groups[id]
		held := "was primary"
		if g.InSlot {
			held = "primary"
		}
		if g.Primary == "" {
			held = "no primary known"
		}
		fmt.Fprintf(out, "group %d: %s %s, last seen so %s\n", id, held, g.Primary, date(g.SeenAt))
	}
	for _, id := range slices.Sorted(maps.Keys(s.Membership)) {
		e, k := s.Membership[id], s.Members[id]
		fmt.Fprintf(out, "member %s: group %d at %s, %s", id, e.Group, e.Address, e.Phase)
		if k.EjectedAt > 0 {
			fmt.Fprintf(out, ", set aside %s", date(k.EjectedAt))
		}
		if k.Position > 0 {
			fmt.Fprintf(out, ", position %s", date(k.Position))
		}
		fmt.Fprintln(out)
	}
	for _, err := range damage {
		fmt.Fprintln(out, "note:", err)
	}
	if found.RecordsLost {
		return errors.New("part of the state is lost; verify tells which files")
	}
	return nil
}

func date(ms float64) string {
	if ms == 0 {
		return "never"
	}
	return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02T15:04:05.000Z")
}

type verifyCommand struct {
	folder
}

// Run checks files and records. What a crash may leave behind the last whole record is told, and is no damage.
func (c *verifyCommand) Run(out io.Writer) error {
	s, found, _, err := c.load()
	if err != nil {
		return err
	}
	bad := 0
	for _, f := range found.Files {
		switch {
		case f.Err != nil:
			bad++
			fmt.Fprintf(out, "%s: %v\n", f.Name, f.Err)
		case f.Tail > 0:
			fmt.Fprintf(out, "%s: good up to record %d; %d bytes broken off\n", f.Name, f.Seq, f.Tail)
		default:
			fmt.Fprintf(out, "%s: good, %d bytes, up to record %d\n", f.Name, f.Bytes, f.Seq)
		}
	}
	switch {
	case found.RecordsLost || bad > 0:
		return fmt.Errorf("%s: damaged; a driver would start from record %d", c.Folder, found.Seq)
	case len(found.Files) == 0:
		return fmt.Errorf("%s: no state", c.Folder)
	case s == nil:
		_, err := learned.Load(found.Snapshot, found.Records)
		return fmt.Errorf("%s: %w", c.Folder, err)
	}
	return nil
}

type forgetCommand struct {
	folder
	Member []string `help:"A member's id; may stand several times." placeholder:"ID"`
	Group  []int64  `help:"A group's number; may stand several times." placeholder:"N"`
}

// Run drops what is named and begins a new generation without it.
func (c *forgetCommand) Run(out io.Writer) error {
	before, err := durable.Recover(durable.OS{}, c.options())
	if err != nil {
		return err
	}
	if len(before.Files) == 0 {
		return fmt.Errorf("%s: no state", c.Folder)
	}
	store, found, err := durable.Open(durable.OS{}, c.options())
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }() // what was written is on disk
	if found.Snapshot == nil {
		return fmt.Errorf("%s: nothing readable; remove the folder", c.Folder)
	}
	s, err := learned.Load(found.Snapshot, found.Records)
	if err != nil {
		return err
	}
	n := s.Forget(c.Member, c.Group)
	if n == 0 {
		return errors.New("nothing of that is kept")
	}
	for range 2 { // the generation before holds it still
		if err := store.Compact(s.Snapshot()); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%d entries forgotten\n", n)
	return nil
}
