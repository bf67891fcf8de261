package operator

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"weirwind/internal/standin/golden"
)

const fullFile = `log {
  format = "json"
  level  = "debug"
}
state {
  folder       = "/var/lib/$${w}\n"
  save_every   = "250ms"
  limit_mb     = 2
  switch_least = "3s"
}
peers {
  messages_per_second = 270
}
fleet {
  peers               = true
  drivers             = 320
  only_draining_binds = false
}
ledger {
  folder   = "l"
  keep     = "1m"
  keys     = 7
  limit_mb = 9
}
control {
  socket     = "/run/w.sock"
  listen     = "a:1"
  fellows    = ["b:2", "c:3"]
  token_file = "secret"
  lease      = "1s"
  most       = "2s"
  opening    = "3s"
}
membership {
  listen    = "10.0.0.5:1"
  advertise = "10.0.0.6:2"
  seeds     = ["10.0.0.7:3", "[::1]:4"]
  zone      = "z"
  period    = "1s"
  expect    = 7
  yield     = "20s"
  folder    = "v"
}
zones {
  region "north" {
    zones = ["a", "b"]
  }
  region "south" {
    zones = ["c"]
  }
  voters   = 3
  beat     = "200ms"
  lease    = "3s"
  headroom = 20
  budget   = 50
  load     = 70
  doubt    = "1s"
  away     = "5s"
  webhook  = "http://t:1/move"
}
registry "consul" {
  endpoints        = ["https://a:1/", "http://b:2"]
  prefix           = "p/"
  service          = "db"
  credentials_file = "secret"
  ca_file          = "ca"
  take_over        = "1m"
  confirm          = "1s"
  silence          = "5s"
  drivers_prefix   = "d/"
  lease            = "20s"
}
`

// attributes lists all attributes of each block; invalid values are tried for each.
var attributes = map[string][]string{
	"log":     {"format", "level"},
	"state":   {"folder", "save_every", "limit_mb", "switch_least"},
	"peers":   {"messages_per_second"},
	"fleet":   {"peers", "drivers", "only_draining_binds"},
	"ledger":  {"folder", "keep", "keys", "limit_mb"},
	"control": {"socket", "listen", "fellows", "token_file", "lease", "most", "opening"},
	"membership": {"listen", "advertise", "seeds", "token_file", "zone", "period", "expect", "yield",
		"folder"},
	"zones": {"voters", "beat", "lease", "headroom", "budget", "load", "doubt", "away", "webhook"},
	`registry "etcd"`: {"endpoints", "prefix", "service", "credentials_file", "ca_file", "take_over", "confirm",
		"silence", "drivers_prefix", "lease"},
}

// sorted sorts an error's lines, as the HCL library reports unknown attributes in map order.
func sorted(err error) string {
	lines := strings.Split(fmt.Sprint(err), "\n")
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// Printed files, their parsed form, the settings that a migration drops, and all error texts must match the recorded
// ones.
func TestRecordedForms(t *testing.T) {
	var printed, errs []golden.Case[string]
	blocks := []string{"log", "state", "peers", "fleet", "ledger", "control", "membership", "zones", `registry "etcd"`}
	files := map[string]string{"empty": "", "full": fullFile}
	names := []string{"empty", "full"}
	minimalBlocks := map[string]string{"state": `folder = "f"`, "ledger": `folder = "f"`, "control": `socket = "s"`,
		"membership":      "listen = \"1.1.1.1:1\"\ntoken_file = \"t\"",
		`registry "etcd"`: `endpoints = ["http://a:1"]`}
	for _, b := range blocks {
		text := b + " {\n" + minimalBlocks[b] + "\n}\n"
		if b == "zones" {
			text += "membership {\n" + minimalBlocks["membership"] + "\n}\n"
		}
		names, files[b] = append(names, b), text
	}
	for _, name := range names {
		f, err := Parse("x.hcl", []byte(files[name]))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		printed = append(printed, golden.Of(name, f.String()))
		again, err := Parse("again.hcl", []byte(f.String()))
		if err != nil || again.String() != f.String() {
			t.Errorf("%s: read back as %s, %v", name, again, err)
		}
		migrated, dropped := Migrate(f)
		printed = append(printed, golden.Of(name+" migrated", strings.Join(append(dropped, migrated.String()), "\n")))
	}
	golden.Text(t, "testdata/printed.txt", printed)
	for _, b := range blocks {
		for _, name := range attributes[b] {
			for i, value := range []string{"-1", "1.5", "null", `["", null]`, `"99999h"`} {
				text := b + " {\n" + name + " = " + value + "\n}"
				_, err := Parse("x.hcl", []byte(text))
				errs = append(errs, golden.Of(fmt.Sprintf("%s %s %d", b, name, i), fmt.Sprint(err)))
			}
		}
	}
	for i, text := range []string{"log {", "logs {\n}", "log {\n}\nlog {\n}\nstate {\n}", "log {\n a = 1\n b = 2\n}",
		`registry "zk" {` + "\n}", "registry {\n}", "zones {\n}", "membership {\n}", "control {\n listen = \"a:1\"\n}",
		"membership {\n listen = \"0.0.0.0:1\"\n}", "zones {\n beat = \"10s\"\n region \"r\" {\n zones = [\"a\", \"a\"]\n }\n}",
		"zones {\n region {\n}\n}", "registry \"consul\" {\n lease = \"5s\"\n}"} {
		_, err := Parse("x.hcl", []byte(text))
		form := fmt.Sprint(err)
		if strings.Contains(text, "a = 1") {
			form = sorted(err)
		}
		errs = append(errs, golden.Of(fmt.Sprintf("file %d", i), form))
	}
	golden.Text(t, "testdata/errors.txt", errs)
}
