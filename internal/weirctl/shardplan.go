package weirctl

// This file owns the commands that plan moves of shards.

import (
	"flag"
	"fmt"
	"io"

	"weirwind/internal/shard/shardmap"
	"weirwind/internal/shard/shardplan"
)

// shardsPlan prints the plan for a cluster as a file has it, or as the nodes of a system report it.
func shardsPlan(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("shards plan", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "as JSON")
	at := flags.String("at", "", "`ADDR` of a core machine, whose nodes are asked; else a FILE is given")
	if flags.Parse(args) != nil || (*at == "") != (flags.NArg() == 1) {
		return errUsage
	}
	cluster, err := readCluster(*at, flags.Arg(0))
	if err != nil {
		return err
	}
	if err := cluster.Validate(); err != nil {
		return err
	}
	plan := cluster.MakePlan()
	if *asJSON {
		return printJSON(plan, out)
	}
	return printPlan(plan, out)
}

// readCluster asks a core machine's nodes, or reads a file where there is no address.
func readCluster(addr, file string) (*shardplan.Cluster, error) {
	if addr == "" {
		cluster := &shardplan.Cluster{}
		return cluster, readStrict(file, cluster)
	}
	view, err := fetchShards(addr)
	if err != nil {
		return nil, err
	}
	return shardmap.ClusterOf(view.Map, view.Nodes)
}

// shardsApply plans for what the nodes report, and has the core carry the plan out.
func shardsApply(args []string, out io.Writer) error {
	addr := args[0]
	view, err := fetchShards(addr)
	if err != nil {
		return err
	}
	cluster, err := shardmap.ClusterOf(view.Map, view.Nodes)
	if err != nil {
		return err
	}
	plan := cluster.MakePlan()
	if err := printPlan(plan, out); err != nil {
		return err
	}
	tasks := shardmap.TasksFromPlan(plan)
	if len(tasks) == 0 {
		fmt.Fprintln(out, "nothing is to be moved")
		return nil
	}
	return submit(addr, shardmap.Change{Kind: shardmap.ChangePlan, BaseVersion: view.Map.Version, Tasks: tasks}, out)
}

// printPlan prints a plan. One that leaves moves without room is an error, after it was printed.
func printPlan(plan *shardplan.Plan, out io.Writer) error {
	for i, round := range plan.Rounds {
		for _, move := range round {
			fmt.Fprintf(out, "round %d: shard %s from %s to %s, %d bytes%s\n",
				i+1, move.Shard, move.From, move.To, move.Bytes, moveDetail(&move))
		}
	}
	for _, reason := range append(plan.Unplaced, plan.OutOfBand...) {
		fmt.Fprintln(out, "not reached:", reason)
	}
	fmt.Fprintf(out, "%d bytes in %d rounds; no plan moves less than %d\n", plan.Bytes, len(plan.Rounds), plan.LowerBound)
	if len(plan.Unplaced) > 0 {
		return fmt.Errorf("%d moves find no room", len(plan.Unplaced))
	}
	return nil
}

func moveDetail(move *shardplan.Move) string {
	switch {
	case move.Staging:
		return ", a stop on its way"
	case move.Restore:
		return ", read from there, as its holder is gone"
	}
	return ""
}
