package operator

import (
	"log/slog"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestDefaultsAndValues(t *testing.T) {
	f, err := Parse("x.hcl", nil)
	if err != nil || f != Default() || f.State != nil {
		t.Fatal(f, err)
	}
	f, err = Parse("x.hcl", []byte("state {\n folder = \"/var/lib/weirwind\"\n}"))
	if err != nil || *f.State != (State{Folder: "/var/lib/weirwind", SaveInterval: time.Second, LimitMB: 16}) {
		t.Fatal(f, err)
	}
	f, err = Parse("x.hcl", []byte(`log {
  format = "json"
  level = "warn"
}
state {
  folder = "s"
  save_every = "250ms"
  limit_mb = 2
  switch_least = "3s"
}`))
	if err != nil || f.Log != (Log{"json", slog.LevelWarn}) ||
		*f.State != (State{"s", 250 * time.Millisecond, 2, 3 * time.Second}) {
		t.Fatal(f, err)
	}
	f.Peers.MessagesPerSecond = 270
	f.Ledger = &Ledger{"/var/lib/ledger", time.Minute, 7, 9}
	f.Control = &Control{"/run/w.sock", "a:1", []string{"b:2", "c:3"}, "secret", time.Second, 2 * time.Second,
		3 * time.Second}
	f.Membership = &Membership{"10.0.0.5:1", "10.0.0.6:2", []string{"10.0.0.7:3", "[::1]:4"}, "t", "z", time.Second, 7,
		20 * time.Second, "v"}
	f.Zones = &Zones{[]Region{{"north", []string{"a", "b"}}, {"south", []string{"c"}}}, 3, 200 * time.Millisecond,
		3 * time.Second, 20, 50, 70, time.Second, 5 * time.Second, "http://t:1/move"}
	f.Registry = &Registry{"consul", []string{"https://a:1", "http://b:2"}, "p/", "db", "secret", "ca", time.Minute,
		time.Second, "d/", 20 * time.Second, 5 * time.Second}
	again, err := Parse("again", []byte(f.String()))
	if err == nil && (!reflect.DeepEqual(again.Registry, f.Registry) ||
		!reflect.DeepEqual(again.Membership, f.Membership) || !reflect.DeepEqual(again.Control, f.Control) ||
		*again.Ledger != *f.Ledger) {
		t.Errorf("%+v", again.Registry)
	}
	if err != nil || again.Log != f.Log || again.Peers != f.Peers || *again.State != *f.State {
		t.Fatalf("does not parse its own printed form: %v\n%s", err, f)
	}
}

// Each problem is reported with file, line and column, and all problems of a file together.
func TestInvalidFiles(t *testing.T) {
	for text, want := range map[string]string{
		"log {\n  colour = true\n}":              "x.hcl:2,3: Unsupported argument",
		"logs {\n}":                              "x.hcl:1,1: Unsupported block type",
		"log \"a\" {\n}":                         "x.hcl:1,5: ",
		"log {\n  format = \"xml\"\n}":           `x.hcl:2,12: Bad value: format is "xml"; it may be text, json.`,
		"log {\n  level = [1]\n}":                "x.hcl:2,11: Bad value: level wants a string.",
		"log {\n}\nlog {\n}":                     `x.hcl:3,1: Bad value: The block "log" stands twice; it stands already at line 1.`,
		"peers {\n  messages_per_second = -1\n}": "x.hcl:2,25: Bad value: messages_per_second is -1; it may be a whole number, 0 to 10000.",
		"zones {\n}":                             "x.hcl:1,1: Bad value: zones want membership",
		"membership {\n token_file = \"t\"\n listen = \"1.1.1.1:1\"\n}\nzones {\n beat = \"10s\"\n}":                                                              "x.hcl:5,1: Bad value: zones: a lease of 15s is under three beats of 10s.",
		"membership {\n token_file = \"t\"\n listen = \"1.1.1.1:1\"\n}\nzones {\n region \"r\" {\n zones = [\"a\"]\n }\n region \"s\" {\n zones = [\"a\"]\n }\n}": `x.hcl:10,10: Bad value: zones: "a" stands in region "r" already.`,
		"membership {\n token_file = \"t\"\n}":                                                    "x.hcl:1,1: Bad value: membership wants listen.",
		"membership {\n listen = \"10.0.0.1:1\"\n}":                                               "x.hcl:1,1: Bad value: membership wants a token_file",
		"membership {\n token_file = \"t\"\n listen = \"0.0.0.0:1\"\n}":                           `x.hcl:1,1: Bad value: membership that listens at "0.0.0.0:1" wants advertise.`,
		"membership {\n token_file = \"t\"\n listen = \"a:1\"\n}":                                 `x.hcl:3,11: Bad value: listen: "a:1" is no IP:port, such as 10.0.0.5:7434.`,
		"membership {\n token_file = \"t\"\n listen = \"1.1.1.1:1\"\n seeds = [\"1.1.1.1:0\"]\n}": `x.hcl:4,10: Bad value: seeds: nobody can be reached at "1.1.1.1:0".`,
		"ledger {\n}":  "x.hcl:1,1: Bad value: ledger wants a folder.",
		"control {\n}": "x.hcl:1,1: Bad value: control wants a socket.",
		"control {\n socket = \"s\"\n listen = \"a:1\"\n}": "x.hcl:1,1: Bad value: control with listen or fellows wants a token_file.",
		"state {\n}": "x.hcl:1,1: Bad value: state wants a folder.",
		"state {\n  folder = \"a\"\n  save_every = \"soon\"\n}":                      `x.hcl:3,16: Bad value: save_every is "soon"; it wants a time such as "1s".`,
		"state {\n  folder = \"a\"\n  save_every = \"1ms\"\n}":                       "x.hcl:3,16: Bad value: save_every is 1ms; it may be 50ms to 1m0s.",
		"state {\n  folder = \"a\"\n  limit_mb = 1.5\n}":                             "x.hcl:3,14: Bad value: limit_mb is 1.5; it may be a whole number, 1 to 1024.",
		"state {\n  folder = null\n}":                                                "x.hcl:2,12: Bad value: folder wants a string.",
		"state {\n  folder = who\n}":                                                 "x.hcl:2,12: ",
		"state {":                                                                    "x.hcl:1,7: ",
		"registry \"zk\" {\n  endpoints = [\"http://a:1\"]\n}":                       `x.hcl:1,10: Bad value: registry is "zk"; it may be etcd, consul.`,
		"registry \"etcd\" {\n}":                                                     "x.hcl:1,1: Bad value: registry wants endpoints.",
		"registry \"etcd\" {\n  endpoints = [\"a:1\"]\n}":                            `x.hcl:2,15: Bad value: "a:1" is no URL`,
		"registry \"etcd\" {\n  endpoints = [\"http://a:1\"]\n  service = \"db\"\n}": "x.hcl:3,13: Bad value: service is consul's alone.",
		"registry \"consul\" {\n  endpoints = [\"http://a:1\"]\n  lease = \"5s\"\n}": "x.hcl:3,11: Bad value: lease is 5s; it may be 10s to 10m0s.",
		"registry {\n  endpoints = [\"http://a:1\"]\n}":                              "x.hcl:1,10: ",
		"state {\n  folder = \"a\"\n  limit_mb = 0\n  x = 1\n}":                      "x.hcl:4,3: Unsupported argument",
	} {
		t.Run(text, func(t *testing.T) {
			f, err := Parse("x.hcl", []byte(text))
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want %q", err, want)
			} else if f.State != nil {
				t.Error("an invalid file takes effect")
			}
		})
	}
	if _, err := Parse("x.hcl", []byte("log {\n  a = 1\n  b = 2\n}")); err == nil ||
		strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("two problems: %v", err)
	}
}

// The documented example file is valid and shows the defaults.
func TestExampleFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse("operator.hcl", text)
	if err != nil || f.State == nil {
		t.Fatal(err)
	}
	defaults, _ := Parse("", []byte("state {\n folder = \""+f.State.Folder+"\"\n}"))
	if f.Log != defaults.Log || *f.State != *defaults.State {
		t.Errorf("the example differs from the defaults:\n%s\n%s", f, defaults)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("state {\n  folder = \"a\"\n  limit_mb = 1.5\n}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if v, err := Parse("x", text); err == nil {
			if again, err := Parse("y", []byte(v.String())); err != nil || again.Log != v.Log {
				t.Fatalf("%v\n%s", err, v)
			}
		}
	})
}
