package learned

import (
	"testing"

	"weirwind/logic"
)

const baseTime = 1767225600000.0

// testConfig returns the configuration of driver n0, which has the op types read and write.
func testConfig() Config {
	return Config{
		Name:                  "n0",
		OpTypes:               []OpType{{"read", 300}, {"write", 500}},
		SaveInterval:          1000,
		MinSwitchover:         2000,
		WarmUp:                10000,
		StalenessBound:        200,
		SessionsTrackPosition: true,
	}
}

// at returns a timestamp of the first boot, ms milliseconds after baseTime.
func at(ms float64) Timestamp { return Timestamp{Wall: baseTime + ms, Uptime: 5e6 + ms, BootID: "one"} }

func entriesUp(ids ...string) (all []Entry) {
	for _, id := range ids {
		all = append(all, Entry{ID: id, Address: "127.0.0.1:" + id, Group: 3, Phase: PhaseUp})
	}
	return all
}

// memoryAt returns the decision module's memory with member 1 as the primary, seen at the given time after baseTime.
func memoryAt(seenAt float64) *logic.Memory {
	return &logic.Memory{OpTypes: []logic.TypeMemory{{Typical: 80, Best: 40}, {Typical: 120, Best: 100}},
		Groups: []logic.GroupMemory{{Group: 3, Primary: "1", InSlot: true, SeenAt: baseTime + seenAt, WorkRate: 2}},
		Members: []logic.MemberMemory{{Member: "1", Group: 3, Position: baseTime + seenAt, Window: 16},
			{Member: "2", Group: 3, Position: baseTime + seenAt - 50, EjectedAt: baseTime + seenAt - 3000, Disconnected: true, Window: 8},
			{Member: "3", Group: 3, Position: baseTime + seenAt - 9000, StartedAt: baseTime + seenAt - 4000, Window: 2}}}
}

// savedState returns the saved state of a run that ended at the given time.
func savedState(t *testing.T, end float64) *State {
	t.Helper()
	table := NewTable(testConfig(), nil, at(end-5000))
	table.StartRun(at(end - 5000))
	table.UpdateMembership(at(end-4000), 41, true, entriesUp("1", "2", "3"))
	table.Update(at(end), memoryAt(end-20), true)
	s, err := Load(table.Snapshot(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}
