package driver

import (
	"encoding/json"
	"testing"
	"time"

	"weirwind/internal/fleet/zones"
	"weirwind/internal/operator"
)

// The options of the coordinator follow from the operators' zones block.
func TestZoneOptions(t *testing.T) {
	got := zoneOptions(operator.Zones{HeartbeatInterval: time.Second, PlanLease: 10 * time.Second, Voters: 3, TargetLoad: 50,
		EjectAfter: 2 * time.Second, MinEjectionTime: 3 * time.Second, Headroom: 20, CrossZoneBudget: 5})
	want := zones.Timing{SuspectFor: 2000, DegradedFor: 10000, BaseEjection: 3000, MaxEjection: 96000, SlowStart: 4000, ForgiveAfter: 90000}
	if got.Timing != want {
		t.Errorf("timing %+v, not %+v", got.Timing, want)
	}
	if got.Heartbeat != 1000 || got.Lease != 10000 || got.Voters != 3 || got.BaselineUtilization != 0.5 || got.MaxShiftRate != 0.5 ||
		got.Limits != (zones.Limits{Headroom: 0.2, CrossZoneBudget: 0.05}) {
		t.Errorf("%+v", got)
	}
}

// The body of a webhook call, which topology managers read.
func TestRecordedMoveRequest(t *testing.T) {
	b, err := json.Marshal(moveRequest{Move: zones.Move{Group: 3, From: "a", To: "b"}, Epoch: 7})
	if err != nil || string(b) != `{"group":3,"from":"a","to":"b","epoch":7}` {
		t.Errorf("%s, %v", b, err)
	}
}
