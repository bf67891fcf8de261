package shardmap

import (
	"fmt"
	"testing"

	"weirwind/internal/shard/shardnode"
	"weirwind/internal/shard/shardplan"
	"weirwind/internal/standin/golden"
)

// everyChange has one of each kind, with every field that it uses.
func everyChange() []golden.Case[Change] {
	rules := Rules{2, 3, 4, 1 << 20, 0.25, 0.125, 0.5, 6}
	tasks := []Task{{"s1", "a", "b", 7000, 1, Waiting, ""}, {"s2", "b", "a", 9, 2, Failed, "no room"}}
	return []golden.Case[Change]{
		golden.Of("found", Change{Kind: Found, Base: 3, Shards: map[string]string{"s1": "a"}, Nodes: map[string]Node{"a": {"z1", shardplan.In}}}),
		golden.Of("plan", Change{Kind: Plan, Base: 4, Tasks: tasks, Again: true}),
		golden.Of("pause", Change{Kind: Pause}),
		golden.Of("resume", Change{Kind: Resume}),
		golden.Of("abort", Change{Kind: Halt}),
		golden.Of("hand", Change{Kind: Hand, Shard: "s1", Epoch: 5, Node: "b", Last: 77}),
		golden.Of("back", Change{Kind: Back, Shard: "s1", Epoch: 6, Node: "a"}),
		golden.Of("end", Change{Kind: End, Shard: "s1", Node: "b", Fate: Aborted, Why: "by the operator"}),
		golden.Of("rules", Change{Kind: Tune, Rules: &rules}),
		golden.Of("mark", Change{Kind: Mark, Nodes: map[string]Node{"a": {"z1", shardplan.Leaving}}}),
	}
}

func TestGoldenForms(t *testing.T) {
	cases := everyChange()
	golden.CBOR(t, "testdata/change.cbor", cases)
	golden.JSON(t, "testdata/change.json", cases)
	maps := []golden.Case[Map]{golden.Of("map", Map{Version: 9, Shards: map[string]Place{"s1": {"a", 3, 41}},
		Tasks:  []Task{{"s1", "a", "b", 7000, 1, Done, ""}, {"s2", "b", "a", 9, 2, Failed, "no room"}},
		Paused: true, Abort: true, Rules: DefaultRules, Nodes: map[string]Node{"a": {"z1", shardplan.Gone}}, Replans: 2})}
	golden.CBOR(t, "testdata/map.cbor", maps)
	golden.JSON(t, "testdata/map.json", maps)
}

// What the map refuses is read by operators.
func TestGoldenRefusals(t *testing.T) {
	var none *Map
	base, err := none.Apply(&Change{Kind: Found, Shards: map[string]string{"s1": "a"}})
	if err != nil {
		t.Fatal(err)
	}
	planned, err := base.Apply(&Change{Kind: Plan, Tasks: []Task{{Shard: "s1", From: "a", To: "b"}}})
	if err != nil {
		t.Fatal(err)
	}
	var cases []golden.Case[string]
	for _, c := range []struct {
		on     *Map
		change Change
	}{
		{none, Change{Kind: Pause}},
		{none, Change{Kind: Found, Base: 3}},
		{base, Change{Kind: Pause, Base: 8}},
		{base, Change{Kind: Found, Shards: map[string]string{"": "a"}}},
		{base, Change{Kind: Found, Shards: map[string]string{"s1": "b"}}},
		{planned, Change{Kind: Plan}},
		{base, Change{Kind: Plan, Tasks: []Task{{Shard: "s9", From: "a", To: "b"}}}},
		{base, Change{Kind: Hand, Shard: "s1", Epoch: 4, Node: "b"}},
		{base, Change{Kind: Back, Shard: "s1", Epoch: 1, Node: "b"}},
		{base, Change{Kind: Tune, Rules: &Rules{}}},
		{base, Change{Kind: Mark, Nodes: map[string]Node{"a": {}}}},
		{base, Change{Kind: "none"}},
	} {
		_, err := c.on.Apply(&c.change)
		cases = append(cases, golden.Of(fmt.Sprint(len(cases), " ", c.change.Kind), fmt.Sprint(err)))
	}
	golden.Text(t, "testdata/refusals.txt", cases)
}

func TestGoldenStatements(t *testing.T) {
	var cases []golden.Case[string]
	for kind := Look; kind < Propose; kind++ {
		a := Act{Kind: kind, Node: "n", Shard: "s", Epoch: 3, From: "m", Bytes: 500, Last: 42}
		cases = append(cases, golden.Of(fmt.Sprint("act ", kind), a.Text("10.0.0.1:1 svc id")))
		for _, answer := range [][]string{{"42 true"}, {"42 7 false 900"}, {"x"}, nil} {
			cases = append(cases, golden.Of(fmt.Sprint("result ", kind, " ", answer), resultText(a.ResultOf(answer, ""))))
		}
		cases = append(cases, golden.Of(fmt.Sprint("refused ", kind), resultText(a.ResultOf(nil, "MOVED 7"))))
	}
	for p := range phaseNames {
		mv := NewMover()
		mv.transfers["s"] = &transfer{Task: Task{From: "a", To: "b"}, phase: phase(p)}
		cases = append(cases, golden.Of(fmt.Sprint("phase ", p), mv.State("s")))
	}
	golden.Text(t, "testdata/statements.txt", cases)
	r, ok := ReadReport([]string{`{"limit":9,"foreign":1,"free":2,"busy":3,"slots":4,"copies":{"s":{"epoch":5,"state":"sealed","last":6,"held":7}}}`})
	if h := r.Copies["s"]; !ok || h.Epoch != 5 || h.State != shardnode.Sealed || h.Last != 6 || h.Held != 7 {
		t.Errorf("%+v", r)
	}
}

func resultText(r Result) string { return fmt.Sprint(r.Err, " ", r.Last, r.More, r.Done, r.Took) }
