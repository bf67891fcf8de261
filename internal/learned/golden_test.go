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

// recordedStates are a state with every field set, and one with none.
func recordedStates() []golden.Case[*State] {
	full := newState()
	full.Meta = Meta{Schema: 1, Name: "n0", Run: 3, SavedAt: Timestamp{Wall: day + 0.5, Uptime: 7e6, BootID: "one"}, MaxPosition: day + 2100,
		CleanShutdown: true, Revision: 41, Epoch: 2, PriorRevision: 77}
	full.Membership["m1"] = Entry{ID: "m1", Address: "127.0.0.1:1", Zone: "a", Group: 3, Phase: "draining", Access: "writer", StartedAt: day - 9}
	full.Groups[3] = Group{ID: 3, Primary: "m1", InSlot: true, SeenAt: day - 20, WorkRate: 1.5, LastCommit: day - 30}
	full.Members["m1"] = Member{ID: "m1", Group: 3, Position: day - 40, StartedAt: day - 9, EjectedAt: day - 2, Disconnected: true, Window: 16.25}
	full.OpTypes["read"] = OpTypeStats{Name: "read", LatencyTarget: 300, Typical: 80.5, Best: 40}
	return []golden.Case[*State]{golden.Of("full", full), golden.Of("empty", newState())}
}

// The JSON form is what the state command prints.
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
		t.Errorf("the snapshot is %s", snapshot)
	}
	golden.Text(t, "testdata/records.golden", forms)
}

// history is a seeded run of restarts, memberships, updates, clock steps and forgetting; every output goes into the digest.
type history struct {
	draw           *rand.Rand
	out            io.Writer
	wall, up, boot float64
	config         Config
}

func (h *history) moment() Timestamp {
	return Timestamp{Wall: h.wall, Uptime: h.up, BootID: fmt.Sprint("boot", h.boot)}
}

func (h *history) pass(most float64) {
	ms := h.draw.Float64() * most
	h.wall += ms
	h.up += ms
}

func (h *history) entries() (all []Entry) {
	for id := range 6 {
		if h.draw.IntN(3) > 0 {
			all = append(all, Entry{ID: fmt.Sprint(id), Address: fmt.Sprint("127.0.0.1:", h.draw.IntN(2)), Zone: "z", Group: int64(id % 2),
				Phase: []string{PhaseUp, PhaseUp, "draining", PhaseRemoved}[h.draw.IntN(4)], Access: []string{"writer", "reader"}[h.draw.IntN(2)],
				StartedAt: []float64{0, h.wall - 5000}[h.draw.IntN(2)]})
		}
	}
	return all
}

func (h *history) memory() *logic.Memory {
	k := &logic.Memory{OpTypes: []logic.TypeMemory{{Typical: 100 * h.draw.Float64(), Best: 40}, {Typical: 120, Best: 100 * h.draw.Float64()}}}
	for g := range int64(2) {
		if h.draw.IntN(8) > 0 {
			k.Groups = append(k.Groups, logic.GroupMemory{Group: g, Primary: fmt.Sprint(g + 2*int64(h.draw.IntN(2))), InSlot: h.draw.IntN(3) > 0,
				SeenAt: h.wall - 3000*h.draw.Float64(), WorkRate: 5 * h.draw.Float64(), LastCommit: h.wall - 500})
		}
	}
	for id := range 6 {
		if h.draw.IntN(8) > 0 {
			k.Members = append(k.Members, logic.MemberMemory{Member: fmt.Sprint(id), Group: int64(id % 2), Position: h.wall - 400*h.draw.Float64(),
				StartedAt: []float64{0, h.wall - 5000}[h.draw.IntN(2)], EjectedAt: []float64{0, 0, h.wall - 900}[h.draw.IntN(3)],
				Disconnected: h.draw.IntN(2) > 0, Window: 30 * h.draw.Float64()})
		}
	}
	return k
}

// run is one run of the driver, from the state that the one before saved.
func (h *history) run(t *testing.T, before *State) *State {
	t.Helper()
	given := Membership{Revision: int64(h.draw.IntN(60)), Entries: h.entries()}
	fmt.Fprintf(h.out, "%v\n", Restore(before, h.config, h.moment(), given))
	b := NewTable(h.config, before, h.moment())
	b.StartRun(h.moment())
	var retry Backoff
	revision := int64(h.draw.IntN(60))
	for range 1 + h.draw.IntN(25) {
		h.pass(2500)
		var records [][]byte
		if h.draw.IntN(4) == 0 {
			if revision++; h.draw.IntN(10) == 0 {
				revision = int64(h.draw.IntN(5))
			}
			records = b.UpdateMembership(h.moment(), revision, h.draw.IntN(2) > 0, h.entries())
		} else {
			records = b.Update(h.moment(), h.memory(), h.draw.IntN(20) == 0)
		}
		due := retry.Ready(h.moment())
		if h.draw.IntN(3) == 0 {
			fmt.Fprintln(h.out, due, retry.RecordFailure(h.moment()))
		} else {
			fmt.Fprintln(h.out, due, retry.RecordSuccess())
		}
		fmt.Fprintf(h.out, "%x\n", records)
	}
	if h.draw.IntN(2) > 0 {
		fmt.Fprintf(h.out, "%x\n", b.Update(h.moment(), h.memory(), true))
	}
	if h.draw.IntN(8) == 0 {
		fmt.Fprintln(h.out, b.State().Forget([][]string{nil, {"1"}}[h.draw.IntN(2)], [][]int64{nil, {0}}[h.draw.IntN(2)]))
	}
	fmt.Fprintf(h.out, "%x\n", b.Snapshot())
	s, err := Load(b.Snapshot(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// restart lets time pass between two runs, with clocks stepped and machines started anew.
func (h *history) restart() {
	h.pass([]float64{300, 3000, 20000, 4e6}[h.draw.IntN(4)])
	switch h.draw.IntN(6) {
	case 0:
		h.wall += 2e4 * (h.draw.Float64() - 0.5)
	case 1:
		h.up, h.boot = 100, h.boot+1
	case 2:
		h.wall -= 60e3 * h.draw.Float64()
		h.up, h.boot = 100, h.boot+1
	}
	h.config.SessionsTrackPosition = h.draw.IntN(2) > 0
	h.config.MinSwitchover = []float64{0, 2000}[h.draw.IntN(2)]
	h.config.StalenessBound = []float64{200, 5000}[h.draw.IntN(2)]
	h.config.WarmUp = []float64{0, 10000}[h.draw.IntN(2)]
	if h.config.Name = "n0"; h.draw.IntN(20) == 0 {
		h.config.Name = "n1"
	}
}

// What is saved and what of it is restored, over many seeded histories, is what it was when the digest was recorded.
func TestRecordedDecisions(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(60) {
		h := &history{draw: rand.New(rand.NewPCG(seed, 1)), out: digest, wall: day, up: 5e6, config: testConfig()}
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
