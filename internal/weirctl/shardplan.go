package weirctl

// This file has the commands that plan moves of shards.

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"weirwind/internal/shard/shardmap"
	"weirwind/internal/shard/shardplan"
)

const (
	planIDBytes    = 8 // bytes of the plan's digest that make up its ID
	planRetries    = 3
	planRetryDelay = 500 * time.Millisecond
)

// shardsPlan prints the plan for a cluster that is described by a file or reported by the nodes of a running system.
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

// readCluster returns the cluster as reported by a core machine, or as described by a file if addr is "".
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

// shardsApply makes a plan for the cluster as reported by the nodes, and submits it to the core for execution.
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
	return submitPlan(addr, shardmap.Change{Kind: shardmap.ChangePlan, BaseVersion: view.Map.Version, Tasks: tasks}, out)
}

// submitPlan submits a plan to the core, and retries unless the answer is definite. Retries are safe because the core
// recognizes a plan that it has accepted by its ID.
func submitPlan(addr string, change shardmap.Change, out io.Writer) error {
	encoded, err := json.Marshal(change)
	if err != nil {
		return err
	}
	digest := sha256.Sum256(encoded)
	change.ID = hex.EncodeToString(digest[:planIDBytes])
	for retries := 0; ; retries++ {
		err := submit(addr, change, out)
		if err == nil || isRejected(err) || retries == planRetries {
			return err
		}
		time.Sleep(planRetryDelay)
	}
}

// isRejected reports whether an error is a response with a status of 4xx, after which a retry is useless.
func isRejected(err error) bool {
	var answered *statusError
	return errors.As(err, &answered) && answered.code >= 400 && answered.code < 500
}

// printPlan prints a plan. It then returns an error if moves of the plan are unplaced for lack of room.
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
