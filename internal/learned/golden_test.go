package learned

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"reflect"
	"testing"

	"weirwind/internal/standin/golden"
	"weirwind/logic"
)

// recordedStates returns a state with all fields set, and an empty one.
func recordedStates() []golden.Case[*State] {
	full := newState()
	full.Meta = Meta{Schema: 1, Name: "n0", Run: 3, SavedAt: Timestamp{Wall: baseTime + 0.5, Uptime: 7e6, BootID: "one"}, MaxPosition: baseTime + 2100,
		CleanShutdown: true, Revision: 41, Epoch: 2, PriorRevision: 77}
	full.Membership["m1"] = Entry{ID: "m1", Address: "127.0.0.1:1", Zone: "a", Group: 3, Phase: "draining", Access: "writer", StartedAt: baseTime - 9}
	full.Groups[3] = Group{ID: 3, Primary: "m1", InSlot: true, SeenAt: baseTime - 20, WorkRate: 1.5, LastCommit: baseTime - 30}
	full.Members["m1"] = Member{ID: "m1", Group: 3, Position: baseTime - 40, StartedAt: baseTime - 9, EjectedAt: baseTime - 2, Disconnected: true, Window: 16.25}
	full.OpTypes["read"] = OpTypeStats{Name: "read", LatencyTarget: 300, Typical: 80.5, Best: 40}
	return []golden.Case[*State]{golden.Of("full", full), golden.Of("empty", newState())}
}

// The JSON form is the output of the state command.
func TestRecordedJSON(t *testing.T) { golden.JSON(t, "testdata/state.json.golden", recordedStates()) }

func TestRecordedRecords(t *testing.T) {
	state := recordedStates()[0].Value
	values := []golden.Case[record]{
		golden.Of("snapshot", record{Meta: &state.Meta, Entries: []Entry{state.Membership["m1"]}, Groups: []Group{state.Groups[3]},
			Members: []Member{state.Members["m1"]}, OpTypes: []OpTypeStats{state.OpTypes["read"]}}),
		golden.Of("removals", record{Meta: &Meta{Schema: 1, Name: "n0"}, RemovedEntries: []string{"a", "b"}, RemovedMembers: []string{"c"}, RemovedGroups: []int64{1, 7}}),
		golden.Of("sightings", record{Meta: &Meta{Schema: 1}, Sightings: []Sighting{{Group: 3, Age: 20}, {Group: 4, Age: 1e6}}}),
		golden.Of("zero fields", record{Entries: []Entry{{}}, Groups: []Group{{}}, Members: []Member{{}}, OpTypes: []OpTypeStats{{}}}),
		golden.Of("nothing", record{}),
	}
	var forms []golden.Case[string]
	for _, v := range values {
		form := v.Value.encode()
		forms = append(forms, golden.Of(v.Name, hex.EncodeToString(form)))
		var back record
		if err := decoding.Unmarshal(form, &back); err != nil || !reflect.DeepEqual(back, v.Value) {
			t.Errorf("%s decodes as %+v, not %+v: %v", v.Name, back, v.Value, err)
		}
	}
	if snapshot := hex.EncodeToString(state.Snapshot()); snapshot != forms[0].Value {
		t.Errorf("snapshot %s differs from its record", snapshot)
	}
	golden.Text(t, "testdata/records.golden", forms)
}

// history runs a driver many times with a seed: restarts, membership lists, updates, clock steps and removals of
// learned state. Its output is hashed.
type history struct {
	random             *rand.Rand
	output             io.Writer
	wall, uptime, boot float64
	config             Config
}

func (h *history) now() Timestamp {
	return Timestamp{Wall: h.wall, Uptime: h.uptime, BootID: fmt.Sprint("boot", h.boot)}
}

func (h *history) advance(maximum float64) {
	ms := h.random.Float64() * maximum
	h.wall += ms
	h.uptime += ms
}

func (h *history) entries() (all []Entry) {
	for id := range 6 {
		if h.random.IntN(3) > 0 {
			all = append(all, Entry{ID: fmt.Sprint(id), Address: fmt.Sprint("127.0.0.1:", h.random.IntN(2)), Zone: "z", Group: int64(id % 2),
				Phase: []string{PhaseUp, PhaseUp, "draining", PhaseRemoved}[h.random.IntN(4)], Access: []string{"writer", "reader"}[h.random.IntN(2)],
				StartedAt: []float64{0, h.wall - 5000}[h.random.IntN(2)]})
		}
	}
	return all
}

func (h *history) memory() *logic.Memory {
	memory := &logic.Memory{OpTypes: []logic.TypeMemory{{Typical: 100 * h.random.Float64(), Best: 40}, {Typical: 120, Best: 100 * h.random.Float64()}}}
	for g := range int64(2) {
		if h.random.IntN(8) > 0 {
			memory.Groups = append(memory.Groups, logic.GroupMemory{Group: g, Primary: fmt.Sprint(g + 2*int64(h.random.IntN(2))), InSlot: h.random.IntN(3) > 0,
				SeenAt: h.wall - 3000*h.random.Float64(), WorkRate: 5 * h.random.Float64(), LastCommit: h.wall - 500})
		}
	}
	for id := range 6 {
		if h.random.IntN(8) > 0 {
			memory.Members = append(memory.Members, logic.MemberMemory{Member: fmt.Sprint(id), Group: int64(id % 2), Position: h.wall - 400*h.random.Float64(),
				StartedAt: []float64{0, h.wall - 5000}[h.random.IntN(2)], EjectedAt: []float64{0, 0, h.wall - 900}[h.random.IntN(3)],
				Disconnected: h.random.IntN(2) > 0, Window: 30 * h.random.Float64()})
		}
	}
	return memory
}

// run simulates one run of the driver, from the state that the previous run saved.
func (h *history) run(t *testing.T, saved *State) *State {
	t.Helper()
	given := Membership{Revision: int64(h.random.IntN(60)), Entries: h.entries()}
	fmt.Fprintf(h.output, "%v\n", Restore(saved, h.config, h.now(), given))
	table := NewTable(h.config, saved, h.now())
	table.StartRun(h.now())
	var backoff Backoff
	revision := int64(h.random.IntN(60))
	for range 1 + h.random.IntN(25) {
		h.advance(2500)
		var records [][]byte
		if h.random.IntN(4) == 0 {
			if revision++; h.random.IntN(10) == 0 {
				revision = int64(h.random.IntN(5))
			}
			records = table.UpdateMembership(h.now(), revision, h.random.IntN(2) > 0, h.entries())
		} else {
			records = table.Update(h.now(), h.memory(), h.random.IntN(20) == 0)
		}
		ready := backoff.Ready(h.now())
		if h.random.IntN(3) == 0 {
			fmt.Fprintln(h.output, ready, backoff.RecordFailure(h.now()))
		} else {
			fmt.Fprintln(h.output, ready, backoff.RecordSuccess())
		}
		fmt.Fprintf(h.output, "%x\n", records)
	}
	if h.random.IntN(2) > 0 {
		fmt.Fprintf(h.output, "%x\n", table.Update(h.now(), h.memory(), true))
	}
	if h.random.IntN(8) == 0 {
		fmt.Fprintln(h.output, table.State().Forget([][]string{nil, {"1"}}[h.random.IntN(2)], [][]int64{nil, {0}}[h.random.IntN(2)]))
	}
	fmt.Fprintf(h.output, "%x\n", table.Snapshot())
	state, err := Load(table.Snapshot(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return state
}

// restart lets time pass between two runs, with clock steps and reboots.
func (h *history) restart() {
	h.advance([]float64{300, 3000, 20000, 4e6}[h.random.IntN(4)])
	switch h.random.IntN(6) {
	case 0:
		h.wall += 2e4 * (h.random.Float64() - 0.5)
	case 1:
		h.uptime, h.boot = 100, h.boot+1
	case 2:
		h.wall -= 60e3 * h.random.Float64()
		h.uptime, h.boot = 100, h.boot+1
	}
	h.config.SessionsTrackPosition = h.random.IntN(2) > 0
	h.config.MinSwitchover = []float64{0, 2000}[h.random.IntN(2)]
	h.config.StalenessBound = []float64{200, 5000}[h.random.IntN(2)]
	h.config.WarmUp = []float64{0, 10000}[h.random.IntN(2)]
	if h.config.Name = "n0"; h.random.IntN(20) == 0 {
		h.config.Name = "n1"
	}
}

// The saved and restored data of many seeded histories must match the recorded digest.
func TestRecordedDecisions(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(60) {
		h := &history{random: rand.New(rand.NewPCG(seed, 1)), output: digest, wall: baseTime, uptime: 5e6, config: testConfig()}
		var s *State
		for range 12 {
			s = h.run(t, s)
			h.restart()
		}
	}
	const recorded = 0xd91cc1da2ecb45dd
	if got := digest.Sum64(); got != recorded {
		t.Errorf("digest %#x, recorded %#x", got, uint64(recorded))
	}
}
