package driver

import (
	"testing"

	"weirwind/internal/operator"
	"weirwind/logic"
)

func TestOverridesOfTheDeployment(t *testing.T) {
	o := logic.Opening{Drivers: 3, MayMessage: true}
	applyOverrides(&o, nil)
	if o.Drivers != 3 || !o.MayMessage || o.OnlyDrainBinds {
		t.Fatal("no block changes nothing", o)
	}
	no, yes := false, true
	applyOverrides(&o, &operator.Fleet{Peers: &no, Drivers: 320, OnlyDrainingBinds: &yes})
	if o.MayMessage || o.Drivers != 320 || !o.OnlyDrainBinds {
		t.Fatal(o)
	}
	applyOverrides(&o, &operator.Fleet{Peers: &yes})
	if o.MayMessage {
		t.Fatal("the operators' file let drivers talk where the platform does not")
	}
}
