package operator

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestFleetBlock(t *testing.T) {
	f, err := Parse("x.hcl", []byte("fleet {\n  peers = false\n  drivers = 320\n  only_draining_binds = true\n}"))
	if err != nil || f.Fleet == nil || *f.Fleet.Peers || f.Fleet.Drivers != 320 || !*f.Fleet.OnlyDrainingBinds {
		t.Fatal(f.Fleet, err)
	}
	again, err := Parse("again", []byte(f.String()))
	if err != nil || !reflect.DeepEqual(again.Fleet, f.Fleet) {
		t.Fatal(again.Fleet, err)
	}
	f, err = Parse("x.hcl", []byte("fleet {\n}"))
	if err != nil || f.Fleet.Peers != nil || f.Fleet.Drivers != 0 || f.Fleet.OnlyDrainingBinds != nil {
		t.Fatal("an empty block does not keep the settings' values", f.Fleet, err)
	}
	for _, invalid := range []string{"fleet {\n  peers = \"no\"\n}", "fleet {\n  drivers = -1\n}",
		"fleet {\n  drivers = 2.5\n}", "fleet {\n  talk = true\n}"} {
		if _, err := Parse("x.hcl", []byte(invalid)); err == nil || !strings.Contains(err.Error(), "x.hcl:2") {
			t.Errorf("%q: want an error at its line, got %v", invalid, err)
		}
	}
}

func TestMigrateDropsInterDriverSettings(t *testing.T) {
	old := Default()
	old.State = &State{Folder: "/var/lib/w", SaveInterval: time.Second, LimitMB: 16}
	old.Peers.MessagesPerSecond = 270
	old.Control = &Control{"/run/w.sock", "a:1", []string{"b:2"}, "secret", time.Second, time.Minute, time.Second}
	old.Registry = &Registry{Dialect: "etcd", Endpoints: []string{"https://a:1"}, Prefix: "p/", DriversPrefix: "d/",
		FailoverAfter: time.Minute, ConfirmAfter: time.Second, WatchTimeout: time.Second, LeaseTTL: 10 * time.Second}
	printed := old.String()
	migrated, dropped := Migrate(old)
	if old.String() != printed {
		t.Fatal("the old file was changed")
	}
	if migrated.Fleet == nil || *migrated.Fleet.Peers || migrated.Peers.MessagesPerSecond != 0 || migrated.Control.Listen != "" ||
		migrated.Control.Peers != nil || migrated.Control.TokenFile != "" || migrated.Registry.DriversPrefix != "" {
		t.Fatalf("%+v", migrated)
	}
	if migrated.Control.Socket != "/run/w.sock" || *migrated.State != *old.State || migrated.Registry.Prefix != "p/" {
		t.Fatal("settings of a single driver were dropped", migrated)
	}
	if len(dropped) != 5 {
		t.Fatalf("want five dropped settings, got %q", dropped)
	}
	back, err := Parse("moved", []byte(migrated.String()))
	if err != nil || !reflect.DeepEqual(back.Fleet, migrated.Fleet) {
		t.Fatal(back, err)
	}
	twice, none := Migrate(migrated)
	if twice.String() != migrated.String() || len(none) != 0 {
		t.Fatalf("a second migration changed %q", none)
	}
}
