package main

// This file owns the migration of an operators' file to a deployment whose drivers share nothing: reading it, checking
// the result, and writing it. What is carried over is package operator's.

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

// Run writes the counterpart of the file and lists, on standard output, what could not be carried over. A file
// that can't be read or makes no sense is an error, and nothing is written.
func (c *migrateCommand) Run(out io.Writer) error {
	text, err := os.ReadFile(c.From)
	if err != nil {
		return fmt.Errorf("operators' file: %w", err)
	}
	old, err := operator.Parse(c.From, text)
	if err != nil {
		return err
	}
	moved, dropped := operator.Migrate(old)
	var b strings.Builder
	b.WriteString("# The operators' file for drivers that share nothing, made by weirwind migrate from " +
		filepath.Base(c.From) + ".\n")
	for _, d := range dropped {
		b.WriteString("# not carried over: " + d + "\n")
	}
	b.WriteString(moved.String())
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
	defer func() { _ = os.Remove(tmp.Name()) }() // renamed by then, if all went well
	if _, err = tmp.Write(text); err == nil {
		err = tmp.Sync()
	}
	if cerr := tmp.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Chmod(tmp.Name(), 0o644)
	}
	if err == nil {
		err = os.Rename(tmp.Name(), name)
	}
	return err
}
