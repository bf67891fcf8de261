package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"weirwind/internal/operator"
)

func TestMigrate(t *testing.T) {
	dir := t.TempDir()
	old := filepath.Join(dir, "old.hcl")
	text := "peers {\n  messages_per_second = 270\n}\nregistry \"etcd\" {\n  endpoints = [\"https://10.0.0.5:2379\"]\n" +
		"  drivers_prefix = \"weirwind/drivers/\"\n}\n"
	if err := os.WriteFile(old, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	var out, problems bytes.Buffer
	if code := run([]string{"migrate", "--dry-run", "--out", filepath.Join(dir, "new.hcl"), old}, &out,
		&problems); code != 0 {
		t.Fatal(code, problems.String())
	}
	if _, err := os.Stat(filepath.Join(dir, "new.hcl")); !os.IsNotExist(err) {
		t.Fatal("a dry run wrote a file")
	}
	if !strings.Contains(out.String(), "not carried over: peers.messages_per_second = 270") ||
		!strings.Contains(out.String(), "peers               = false") {
		t.Fatal(out.String())
	}
	out.Reset()
	if code := run([]string{"migrate", "--out", filepath.Join(dir, "new.hcl"), old}, &out, &problems); code != 0 {
		t.Fatal(code, problems.String())
	}
	written, err := os.ReadFile(filepath.Join(dir, "new.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	f, err := operator.Parse("new.hcl", written)
	if err != nil || f.Fleet == nil || *f.Fleet.Peers || f.Registry.DriversPrefix != "" || f.Peers.MessagesPerSecond != 0 {
		t.Fatal(f, err)
	}
	if after, _ := os.ReadFile(old); string(after) != text {
		t.Fatal("the old file was changed")
	}
	if !strings.Contains(out.String(), "not carried over: registry.drivers_prefix") {
		t.Fatal(out.String())
	}
	out.Reset()
	problems.Reset()
	os.WriteFile(old, []byte("fleet {\n  peers = 3\n}\n"), 0o644)
	if code := run([]string{"migrate", old}, &out, &problems); code == 0 || !strings.Contains(problems.String(), "old.hcl:2") {
		t.Fatal("want an error at the line of the invalid value", code, problems.String())
	}
}
