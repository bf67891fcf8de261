package main

// This file implements the migration of an operators' file to a deployment whose drivers share nothing: it reads the
// file, verifies the result and writes it. Package operator decides which settings are kept.

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"weirwind/internal/operator"
)

type migrateCommand struct {
	From   string `arg:"" help:"The operators' file of the shape in which drivers talk to each other." placeholder:"FILE"`
	Out    string `help:"Where the file for the new shape is written; standard output if left out." placeholder:"FILE"`
	DryRun bool   `help:"Change nothing: print the new file and what could not be carried over."`
}

// Run writes the migrated file and lists the dropped settings on standard output. If the file is unreadable or invalid,
// nothing is written.
func (c *migrateCommand) Run(out io.Writer) error {
	text, err := os.ReadFile(c.From)
	if err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	old, err := operator.Parse(c.From, text)
	if err != nil {
		return err
	}
	migrated, dropped := operator.Migrate(old)
	var b strings.Builder
	b.WriteString("# The operators' file for drivers that share nothing, made by weirwind migrate from " +
		filepath.Base(c.From) + ".\n")
	for _, d := range dropped {
		b.WriteString("# not carried over: " + d + "\n")
	}
	b.WriteString(migrated.String())
	if _, err := operator.Parse("the migrated file", []byte(b.String())); err != nil {
		return fmt.Errorf("the migrated file would not be read back: %w", err)
	}
	if c.DryRun || c.Out == "" {
		_, err = io.WriteString(out, b.String())
		return err
	}
	if err := writeAtomically(c.Out, []byte(b.String())); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: written\n", c.Out)
	for _, d := range dropped {
		fmt.Fprintf(out, "not carried over: %s\n", d)
	}
	return nil
}

// writeAtomically writes a temporary file beside the target, syncs it, and renames it over the target.
func writeAtomically(name string, text []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(name), "."+filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(tmp.Name()) }() // fails after a successful rename
	if _, err = tmp.Write(text); err == nil {
		err = tmp.Sync()
	}
	if closeErr := tmp.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Chmod(tmp.Name(), 0o644)
	}
	if err == nil {
		err = os.Rename(tmp.Name(), name)
	}
	return err
}
