package learned

import (
	"testing"

	"weirwind/logic"
)

const day = 1767225600000.0

// testConfig is that of driver n0, whose op types read and write.
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

// at is a timestamp of boot one, some milliseconds after day.
func at(ms float64) Timestamp { return Timestamp{Wall: day + ms, Uptime: 5e6 + ms, BootID: "one"} }

func entriesUp(ids ...string) (all []Entry) {
	for _, id := range ids {
		all = append(all, Entry{ID: id, Address: "127.0.0.1:" + id, Group: 3, Phase: PhaseUp})
	}
	return all
}

// memoryAt is the decision module's memory, whose primary, member 1, was seen at that time after day.
func memoryAt(seen float64) *logic.Memory {
	return &logic.Memory{OpTypes: []logic.TypeMemory{{Typical: 80, Best: 40}, {Typical: 120, Best: 100}},
		Groups: []logic.GroupMemory{{Group: 3, Primary: "1", InSlot: true, SeenAt: day + seen, WorkRate: 2}},
		Members: []logic.MemberMemory{{Member: "1", Group: 3, Position: day + seen, Window: 16},
			{Member: "2", Group: 3, Position: day + seen - 50, EjectedAt: day + seen - 3000, Disconnected: true, Window: 8},
			{Member: "3", Group: 3, Position: day + seen - 9000, StartedAt: day + seen - 4000, Window: 2}}}
}

// savedState is the state that a run saved which ended at that time.
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
