package main

// This file implements the state commands. They never change a folder that a driver has open, and only forget changes
// any folder.

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
	Show   stateShowCommand   `cmd:"" help:"Print what is kept in a folder."`
	Verify stateVerifyCommand `cmd:"" help:"Check every file of a folder; exit code 1 where any is damaged."`
	Forget stateForgetCommand `cmd:"" help:"Drop what was learned of a member or a group, or all of it; the driver must not run."`
}

const maxFolderBytes = 1 << 30

// folder is the argument that names the folder of a driver's state.
type folder struct {
	Folder string `arg:"" help:"The folder of the operators' file." type:"path"`
}

func (f folder) options() durable.Options {
	return durable.Options{Folder: f.Folder, Tag: learned.Tag, Limit: maxFolderBytes}
}

// recoveredState is the content of a folder.
type recoveredState struct {
	durable.Recovered
	state  *learned.State // nil if nothing is readable
	damage []error
}

// recover reads the folder. It returns only errors of the file system; damage is in the result.
func (f folder) recover() (r recoveredState, err error) {
	if r.Recovered, err = durable.Recover(durable.OS{}, f.options()); err != nil {
		return r, err
	}
	r.damage = r.Damage()
	if r.Snapshot == nil {
		return r, nil
	}
	state, err := learned.Load(r.Snapshot, r.Records)
	if err != nil {
		r.damage = append(r.damage, err)
		return r, nil
	}
	r.state = state
	return r, nil
}

type stateShowCommand struct {
	folder
	JSON bool `help:"All of it, as JSON."`
}

// Run prints the state. It fails if damage lost a part of it; an incomplete write before a crash is only noted.
func (c *stateShowCommand) Run(out io.Writer) error {
	r, err := c.recover()
	if err != nil {
		return err
	}
	if r.state == nil {
		return errors.Join(append(r.damage, fmt.Errorf("%s: no state", c.Folder))...)
	}
	if c.JSON {
		indented := json.NewEncoder(out)
		indented.SetIndent("", "  ")
		return indented.Encode(r.state)
	}
	printMeta(out, r.state)
	printGroups(out, r.state)
	printMembers(out, r.state)
	for _, err := range r.damage {
		fmt.Fprintln(out, "note:", err)
	}
	if r.RecordsLost {
		return errors.New("part of the state is lost; verify tells which files")
	}
	return nil
}

func printMeta(out io.Writer, state *learned.State) {
	m := state.Meta
	fmt.Fprintf(out, "driver %s, run %d, renewed %s, ended in order: %v\n", m.Name, m.Run, timestamp(m.SavedAt.Wall),
		m.CleanShutdown)
	fmt.Fprintf(out, "list revision %d (epoch %d), %d members; ceiling %s\n", m.Revision, m.Epoch, len(state.Membership),
		timestamp(m.MaxPosition))
}

func printGroups(out io.Writer, state *learned.State) {
	for _, id := range slices.Sorted(maps.Keys(state.Groups)) {
		g := state.Groups[id]
		role := "was primary"
		if g.InSlot {
			role = "primary"
		}
		if g.Primary == "" {
			role = "no primary known"
		}
		fmt.Fprintf(out, "group %d: %s %s, last seen so %s\n", id, role, g.Primary, timestamp(g.SeenAt))
	}
}

func printMembers(out io.Writer, state *learned.State) {
	for _, id := range slices.Sorted(maps.Keys(state.Membership)) {
		e, m := state.Membership[id], state.Members[id]
		fmt.Fprintf(out, "member %s: group %d at %s, %s", id, e.Group, e.Address, e.Phase)
		if m.EjectedAt > 0 {
			fmt.Fprintf(out, ", set aside %s", timestamp(m.EjectedAt))
		}
		if m.Position > 0 {
			fmt.Fprintf(out, ", position %s", timestamp(m.Position))
		}
		fmt.Fprintln(out)
	}
}

// timestamp formats a Unix time in milliseconds.
func timestamp(ms float64) string {
	if ms == 0 {
		return "never"
	}
	return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02T15:04:05.000Z")
}

type stateVerifyCommand struct {
	folder
}

// Run checks files and records. It prints the tail that a crash may leave after the last complete record, but doesn't
// count it as damage.
func (c *stateVerifyCommand) Run(out io.Writer) error {
	r, err := c.recover()
	if err != nil {
		return err
	}
	damaged := 0
	for _, f := range r.Files {
		switch {
		case f.Err != nil:
			damaged++
			fmt.Fprintf(out, "%s: %v\n", f.Name, f.Err)
		case f.Tail > 0:
			fmt.Fprintf(out, "%s: good up to record %d; %d bytes broken off\n", f.Name, f.Seq, f.Tail)
		default:
			fmt.Fprintf(out, "%s: good, %d bytes, up to record %d\n", f.Name, f.Bytes, f.Seq)
		}
	}
	switch {
	case r.RecordsLost || damaged > 0:
		return fmt.Errorf("%s: damaged; a driver would start from record %d", c.Folder, r.Seq)
	case len(r.Files) == 0:
		return fmt.Errorf("%s: no state", c.Folder)
	case r.state == nil:
		_, err := learned.Load(r.Snapshot, r.Records)
		return fmt.Errorf("%s: %w", c.Folder, err)
	}
	return nil
}

type stateForgetCommand struct {
	folder
	Member []string `help:"A member's id; may stand several times." placeholder:"ID"`
	Group  []int64  `help:"A group's number; may stand several times." placeholder:"N"`
}

// Run drops the named entries, and begins new generations without them.
func (c *stateForgetCommand) Run(out io.Writer) error {
	before, err := durable.Recover(durable.OS{}, c.options())
	if err != nil {
		return err
	}
	if len(before.Files) == 0 {
		return fmt.Errorf("%s: no state", c.Folder)
	}
	store, recovered, err := durable.Open(durable.OS{}, c.options())
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }() // written data is already synced
	if recovered.Snapshot == nil {
		return fmt.Errorf("%s: nothing readable; remove the folder", c.Folder)
	}
	s, err := learned.Load(recovered.Snapshot, recovered.Records)
	if err != nil {
		return err
	}
	n := s.Forget(c.Member, c.Group)
	if n == 0 {
		return errors.New("nothing of that is kept")
	}
	for range 2 { // twice, as the previous generation still contains the entries
		if err := store.Compact(s.Snapshot()); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "%d entries forgotten\n", n)
	return nil
}
