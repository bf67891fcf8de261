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
		t.Fatal("a block left empty keeps the settings' values", f.Fleet, err)
	}
	for _, bad := range []string{"fleet {\n  peers = \"no\"\n}", "fleet {\n  drivers = -1\n}",
		"fleet {\n  drivers = 2.5\n}", "fleet {\n  talk = true\n}"} {
		if _, err := Parse("x.hcl", []byte(bad)); err == nil || !strings.Contains(err.Error(), "x.hcl:2") {
			t.Errorf("%q: want an error at its line, got %v", bad, err)
		}
	}
}

func TestMigrateDropsTheWordBetweenDrivers(t *testing.T) {
	old := Default()
	old.State = &State{Folder: "/var/lib/w", SaveInterval: time.Second, LimitMB: 16}
	old.Peers.MessagesPerSecond = 270
	old.Control = &Control{"/run/w.sock", "a:1", []string{"b:2"}, "secret", time.Second, time.Minute, time.Second}
	old.Registry = &Registry{Dialect: "etcd", Endpoints: []string{"https://a:1"}, Prefix: "p/", DriversPrefix: "d/",
		FailoverAfter: time.Minute, ConfirmAfter: time.Second, WatchTimeout: time.Second, LeaseTTL: 10 * time.Second}
	before := old.String()
	moved, dropped := Migrate(old)
	if old.String() != before {
		t.Fatal("the old file was changed")
	}
	if moved.Fleet == nil || *moved.Fleet.Peers || moved.Peers.MessagesPerSecond != 0 || moved.Control.Listen != "" ||
		moved.Control.Peers != nil || moved.Control.TokenFile != "" || moved.Registry.DriversPrefix != "" {
		t.Fatalf("%+v", moved)
	}
	if moved.Control.Socket != "/run/w.sock" || *moved.State != *old.State || moved.Registry.Prefix != "p/" {
		t.Fatal("what each driver keeps for itself was not carried over", moved)
	}
	if len(dropped) != 5 {
		t.Fatalf("want five settings named as not carried over, got %q", dropped)
	}
	back, err := Parse("moved", []byte(moved.String()))
	if err != nil || !reflect.DeepEqual(back.Fleet, moved.Fleet) {
		t.Fatal(back, err)
	}
	twice, none := Migrate(moved)
	if twice.String() != moved.String() || len(none) != 0 {
		t.Fatalf("a second move changed %q", none)
	}
}
