package driver

import (
	"testing"

	"weirwind/internal/operator"
	"weirwind/logic"
)

func TestApplyOverrides(t *testing.T) {
	opening := logic.Opening{Drivers: 3, MayMessage: true}
	applyOverrides(&opening, nil)
	if opening.Drivers != 3 || !opening.MayMessage || opening.OnlyDrainBinds {
		t.Fatal("overrides without a fleet block:", opening)
	}
	forbid, allow := false, true
	applyOverrides(&opening, &operator.Fleet{Peers: &forbid, Drivers: 320, OnlyDrainingBinds: &allow})
	if opening.MayMessage || opening.Drivers != 320 || !opening.OnlyDrainBinds {
		t.Fatal(opening)
	}
	applyOverrides(&opening, &operator.Fleet{Peers: &allow})
	if opening.MayMessage {
		t.Fatal("the operators' file allowed messages between drivers that the platform forbids")
	}
}
