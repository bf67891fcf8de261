package shardmap

import (
	"fmt"
	"testing"

	"weirwind/internal/shard/shardnode"
	"weirwind/internal/shard/shardplan"
	"weirwind/internal/standin/golden"
)

// everyChange returns one change of each kind, with all fields that the kind uses.
func everyChange() []golden.Case[Change] {
	rules := Rules{2, 3, 4, 1 << 20, 0.25, 0.125, 0.5, 6}
	tasks := []Task{{"s1", "a", "b", 7000, 1, TaskPending, ""}, {"s2", "b", "a", 9, 2, TaskFailed, "no room"}}
	return []golden.Case[Change]{
		golden.Of("found", Change{Kind: ChangeCreate, BaseVersion: 3, InitialOwners: map[string]string{"s1": "a"},
			Nodes: map[string]Node{"a": {"z1", shardplan.NodeActive}}}),
		golden.Of("plan", Change{Kind: ChangePlan, BaseVersion: 4, Tasks: tasks, Replan: true}),
		golden.Of("pause", Change{Kind: ChangePause}),
		golden.Of("resume", Change{Kind: ChangeResume}),
		golden.Of("abort", Change{Kind: ChangeAbort}),
		golden.Of("hand", Change{Kind: ChangeHandOver, Shard: "s1", Epoch: 5, Node: "b", LastIndex: 77}),
		golden.Of("back", Change{Kind: ChangeRollBack, Shard: "s1", Epoch: 6, Node: "a"}),
		golden.Of("end", Change{Kind: ChangeEndTask, Shard: "s1", Node: "b", Status: TaskAborted, Reason: "by the operator"}),
		golden.Of("rules", Change{Kind: ChangeRules, Rules: &rules}),
		golden.Of("mark", Change{Kind: ChangeNodes, Nodes: map[string]Node{"a": {"z1", shardplan.NodeDraining}}}),
	}
}

func TestGoldenForms(t *testing.T) {
	cases := everyChange()
	golden.CBOR(t, "testdata/change.cbor", cases)
	golden.JSON(t, "testdata/change.json", cases)
	maps := []golden.Case[Map]{golden.Of("map", Map{Version: 9, Shards: map[string]Assignment{"s1": {"a", 3, 41}},
		Tasks:  []Task{{"s1", "a", "b", 7000, 1, TaskDone, ""}, {"s2", "b", "a", 9, 2, TaskFailed, "no room"}},
		Paused: true, Aborting: true, Rules: DefaultRules, Nodes: map[string]Node{"a": {"z1", shardplan.NodeLost}},
		Replans: 2})}
	golden.CBOR(t, "testdata/map.cbor", maps)
	golden.JSON(t, "testdata/map.json", maps)
}

// Operators see why a change is refused, so the error texts are recorded.
func TestGoldenRefusals(t *testing.T) {
	var noMap *Map
	base, err := noMap.Apply(&Change{Kind: ChangeCreate, InitialOwners: map[string]string{"s1": "a"}})
	if err != nil {
		t.Fatal(err)
	}
	planned, err := base.Apply(&Change{Kind: ChangePlan, Tasks: []Task{{Shard: "s1", From: "a", To: "b"}}})
	if err != nil {
		t.Fatal(err)
	}
	var cases []golden.Case[string]
	for _, c := range []struct {
		base   *Map
		change Change
	}{
		{noMap, Change{Kind: ChangePause}},
		{noMap, Change{Kind: ChangeCreate, BaseVersion: 3}},
		{base, Change{Kind: ChangePause, BaseVersion: 8}},
		{base, Change{Kind: ChangeCreate, InitialOwners: map[string]string{"": "a"}}},
		{base, Change{Kind: ChangeCreate, InitialOwners: map[string]string{"s1": "b"}}},
		{planned, Change{Kind: ChangePlan}},
		{base, Change{Kind: ChangePlan, Tasks: []Task{{Shard: "s9", From: "a", To: "b"}}}},
		{base, Change{Kind: ChangeHandOver, Shard: "s1", Epoch: 4, Node: "b"}},
		{base, Change{Kind: ChangeRollBack, Shard: "s1", Epoch: 1, Node: "b"}},
		{base, Change{Kind: ChangeRules, Rules: &Rules{}}},
		{base, Change{Kind: ChangeNodes, Nodes: map[string]Node{"a": {}}}},
		{base, Change{Kind: "none"}},
	} {
		_, err := c.base.Apply(&c.change)
		cases = append(cases, golden.Of(fmt.Sprint(len(cases), " ", c.change.Kind), fmt.Sprint(err)))
	}
	golden.Text(t, "testdata/refusals.txt", cases)
}

func TestGoldenStatements(t *testing.T) {
	var cases []golden.Case[string]
	for kind := ActionReport; kind < ActionPropose; kind++ {
		action := Action{Kind: kind, Node: "n", Shard: "s", Epoch: 3, Source: "m", Bytes: 500, LastIndex: 42}
		cases = append(cases, golden.Of(fmt.Sprint("act ", kind), action.Statement("10.0.0.1:1 svc id")))
		for _, answer := range [][]string{{"42 true"}, {"42 7 false 900"}, {"x"}, nil} {
			cases = append(cases, golden.Of(fmt.Sprint("result ", kind, " ", answer), resultText(action.ParseResult(answer, ""))))
		}
		cases = append(cases, golden.Of(fmt.Sprint("refused ", kind), resultText(action.ParseResult(nil, "MOVED 7"))))
	}
	for p := range phaseNames {
		rebalancer := NewRebalancer()
		rebalancer.transfers["s"] = &transfer{Task: Task{From: "a", To: "b"}, phase: phase(p)}
		cases = append(cases, golden.Of(fmt.Sprint("phase ", p), rebalancer.TransferState("s")))
	}
	golden.Text(t, "testdata/statements.txt", cases)
	report, ok := ParseReport([]string{`{"limit":9,"foreign":1,"free":2,"busy":3,"slots":4,"copies":{"s":{"epoch":5,"state":"sealed","last":6,"held":7}}}`})
	if replica := report.Replicas["s"]; !ok || replica.Epoch != 5 || replica.State != shardnode.StateSealed || replica.LastIndex != 6 || replica.Size != 7 {
		t.Errorf("%+v", report)
	}
}

func resultText(result Result) string {
	return fmt.Sprint(result.Code, " ", result.LastIndex, result.Remaining, result.Done, result.Bytes)
}
