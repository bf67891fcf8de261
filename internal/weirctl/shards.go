package weirctl

// This file has the commands about shards, except those for plans: docs/rebalance.md.

import (
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"

	"github.com/samber/oops"

	"weirwind/internal/controlplane"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/shard/shardplan"
)

var shardCommands = []command{
	{"shards found", exactly(2), shardsFound, `  weirctl shards found ADDR FILE            ` +
		`first holders of shards, and the nodes' zones
`},
	{"shards status", atLeast(1), shardsStatus, `  weirctl shards status [-json] ADDR        ` +
		`nodes, room, and what moves
`},
	{"shards plan", atLeast(1), shardsPlan, `  weirctl shards plan [-json] FILE          ` +
		`moves that rebalance the nodes and shards of FILE, in rounds: docs/rebalance.md
  weirctl shards plan [-json] -at ADDR      the same for what the nodes of a system hold
`},
	{"shards apply", atLeast(1), shardsApply, `  weirctl shards apply ADDR                 ` +
		`makes that plan and has it carried out
`},
	{"shards pause", atLeast(1), shardsChange(shardmap.ChangePause), `  weirctl shards pause|resume|abort ADDR    ` +
		`abort: what was not handed over goes back
`},
	{"shards resume", atLeast(1), shardsChange(shardmap.ChangeResume), ""},
	{"shards abort", atLeast(1), shardsChange(shardmap.ChangeAbort), ""},
	{"shards mark", argumentCount{3, 4}, shardsSetNode, "  weirctl shards mark ADDR NODE in|leaving|gone [ZONE]\n"},
	{"shards rules", exactly(2), shardsRules, `  weirctl shards rules ADDR FILE            ` +
		`how much goes on at a time; FILE has what is to change
`},
	{"shards explain", exactly(2), shardsExplain, `  weirctl shards explain ADDR SHARD         ` +
		`where it is, why, and the newest events about it
`},
	{"shards page", exactly(2), shardsPage, `  weirctl shards page ADDR FILE             ` +
		`progress as HTML, with bytes and room over time
`},
}

// maxLeaderHops is the maximum number of machines that are asked while looking for the core's leader.
const maxLeaderHops = 3

// readStrict decodes a JSON file. An unknown field is an error.
func readStrict(file string, target any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return oops.In("shards").With("file", file).Wrap(shardmap.WithPublishedTypes(err))
	}
	return nil
}

// fetchShards returns the state of shards from the core's leader. addr is any core machine.
func fetchShards(addr string) (view controlplane.ShardsView, err error) {
	for range maxLeaderHops {
		view = controlplane.ShardsView{}
		if err := getJSON(addr, "/shards", &view); err != nil {
			return view, err
		}
		if view.Leading {
			if view.Map == nil {
				return view, fmt.Errorf("no shards were founded")
			}
			return view, nil
		}
		if addr = view.Leader; addr == "" {
			break
		}
	}
	return view, fmt.Errorf("nobody is known to lead the core")
}

// submit submits a change of the shard map to the core, and prints the response.
func submit(addr string, change shardmap.Change, out io.Writer) error {
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	answer, err := call(http.MethodPost, addr, "/shards", body)
	if err == nil {
		fmt.Fprintf(out, "%s: %s", change.Kind, answer)
	}
	return err
}

func shardsFound(args []string, out io.Writer) error {
	var change shardmap.Change
	if err := readStrict(args[1], &change); err != nil {
		return err
	}
	change.Kind = shardmap.ChangeCreate
	return submit(args[0], change, out)
}

// shardsChange returns the command for a change that consists of its kind only.
func shardsChange(kind shardmap.ChangeKind) func([]string, io.Writer) error {
	return func(args []string, out io.Writer) error { return submit(args[0], shardmap.Change{Kind: kind}, out) }
}

func shardsSetNode(args []string, out io.Writer) error {
	view, err := fetchShards(args[0])
	if err != nil {
		return err
	}
	id := args[1]
	node := view.Map.Nodes[id]
	node.State = shardplan.NodeState(args[2])
	if len(args) == 4 {
		node.Zone = args[3]
	}
	change := shardmap.Change{Kind: shardmap.ChangeNodes, Nodes: map[string]shardmap.Node{id: node}}
	return submit(args[0], change, out)
}

func shardsRules(args []string, out io.Writer) error {
	view, err := fetchShards(args[0])
	if err != nil {
		return err
	}
	rules := view.Map.Rules
	if err := readStrict(args[1], &rules); err != nil {
		return err
	}
	return submit(args[0], shardmap.Change{Kind: shardmap.ChangeRules, Rules: &rules}, out)
}

func shardsStatus(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("shards status", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "as JSON")
	if flags.Parse(args) != nil || flags.NArg() != 1 {
		return errUsage
	}
	view, err := fetchShards(flags.Arg(0))
	if err != nil {
		return err
	}
	if *asJSON {
		return printJSON(view, out)
	}
	fmt.Fprintf(out, "version %d, paused %v, %d bytes moved by this leader, %d hand-overs, closed for %s\n",
		view.Map.Version, view.Map.Paused, view.BytesMoved, len(view.WriteGapsMs), distribution(view.WriteGapsMs))
	printNodes(&view, out)
	printTasks(&view, out)
	return nil
}

func printNodes(view *controlplane.ShardsView, out io.Writer) {
	owned := map[string]int{}
	for _, assignment := range view.Map.Shards {
		owned[assignment.Node]++
	}
	for _, id := range slices.Sorted(maps.Keys(view.Nodes)) {
		node, report := view.Map.Nodes[id], view.Nodes[id]
		fmt.Fprintf(out, "  node %s in %s, %s: %d shards, %d of %d bytes used, %d by others\n",
			id, cmp.Or(node.Zone, "no zone"), cmp.Or(node.State, shardplan.NodeActive),
			owned[id], report.Capacity-report.Free, report.Capacity, report.External)
	}
}

func printTasks(view *controlplane.ShardsView, out io.Writer) {
	tasks := map[shardmap.TaskStatus]int{}
	for _, task := range view.Map.Tasks {
		tasks[task.Status]++
		if task.Status != shardmap.TaskDone {
			fmt.Fprintf(out, "  shard %s, %s to %s: %s %s %s\n",
				task.Shard, task.From, task.To, task.Status, view.Transfers[task.Shard], task.Reason)
		}
	}
	fmt.Fprintf(out, "  tasks: %d done, %d waiting, %d failed, %d aborted\n",
		tasks[shardmap.TaskDone], tasks[shardmap.TaskPending], tasks[shardmap.TaskFailed], tasks[shardmap.TaskAborted])
}

// distribution returns the median, the 99th percentile and the maximum of the times, in milliseconds, for which shards
// accepted no writes during a hand-over.
func distribution(gaps []float64) string {
	if len(gaps) == 0 {
		return "-"
	}
	ordered := slices.Sorted(slices.Values(gaps))
	n := len(ordered)
	return fmt.Sprintf("%.0f ms at the median, %.0f at p99, %.0f at most", ordered[n/2], ordered[n*99/100], ordered[n-1])
}

func shardsExplain(args []string, out io.Writer) error {
	addr, shard := args[0], args[1]
	view, err := fetchShards(addr)
	if err != nil {
		return err
	}
	assignment, ok := view.Map.Shards[shard]
	if !ok {
		return fmt.Errorf("there is no shard %s", shard)
	}
	fmt.Fprintf(out, "%s is on %s by epoch %d; %s\n",
		shard, assignment.Node, assignment.Epoch, cmp.Or(view.Transfers[shard], "it does not move"))
	for _, id := range slices.Sorted(maps.Keys(view.Nodes)) {
		if replica, ok := view.Nodes[id].Replicas[shard]; ok {
			fmt.Fprintf(out, "  %s has a copy: %s by epoch %d, %d entries, %d bytes\n",
				id, replica.State, replica.Epoch, replica.LastIndex, replica.Size)
		}
	}
	for _, task := range view.Map.Tasks {
		if task.Shard == shard {
			fmt.Fprintf(out, "  planned from %s to %s: %s %s\n", task.From, task.To, task.Status, task.Reason)
		}
	}
	body, err := get(cmp.Or(view.Leader, addr), eventsAbout("shard", shard))
	_, _ = out.Write(body) // the error of the call is the one returned
	return err
}
