package weirctl

// This file owns the operators' calls about shards: docs/rebalance.md.

import (
	"bytes"
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"html"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/samber/oops"

	"weirwind/internal/controlplane"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/shard/shardplan"
	"weirwind/internal/util/plot"
)

// shards carries out a call that begins with it.
func shards(args []string, out io.Writer) error {
	if len(args) < 2 {
		return flag.ErrHelp
	}
	addr, rest := args[1], args[2:]
	switch args[0] {
	case "plan":
		return shardsPlan(args[1:], out)
	case "status":
		return shardsStatus(args[1:], out)
	case "found":
		if len(rest) != 1 {
			return flag.ErrHelp
		}
		c := shardmap.Change{}
		if err := readStrict(rest[0], &c); err != nil {
			return err
		}
		c.Kind = shardmap.ChangeCreate
		return post(addr, c, out)
	case "apply":
		return shardsApply(addr, out)
	case "pause", "resume", "abort":
		return post(addr, shardmap.Change{Kind: shardmap.ChangeKind(args[0])}, out)
	case "mark":
		if len(rest) < 2 || len(rest) > 3 {
			return flag.ErrHelp
		}
		v, err := shardsView(addr)
		if err != nil {
			return err
		}
		n := v.Map.Nodes[rest[0]]
		if n.State = shardplan.NodeState(rest[1]); len(rest) == 3 {
			n.Zone = rest[2]
		}
		return post(addr, shardmap.Change{Kind: shardmap.ChangeNodes, Nodes: map[string]shardmap.Node{rest[0]: n}}, out)
	case "rules":
		if len(rest) != 1 {
			return flag.ErrHelp
		}
		v, err := shardsView(addr)
		if err != nil {
			return err
		}
		rules := v.Map.Rules
		if err := readStrict(rest[0], &rules); err != nil {
			return err
		}
		return post(addr, shardmap.Change{Kind: shardmap.ChangeRules, Rules: &rules}, out)
	case "explain":
		if len(rest) != 1 {
			return flag.ErrHelp
		}
		return shardsExplain(addr, rest[0], out)
	case "page":
		if len(rest) != 1 {
			return flag.ErrHelp
		}
		v, err := shardsView(addr)
		if err != nil {
			return err
		}
		return os.WriteFile(rest[0], []byte(page(v)), 0o644)
	}
	return flag.ErrHelp
}

func readStrict(file string, into any) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return oops.In("shards").With("file", file).Wrap(err)
	}
	return nil
}

// shardsView asks who leads, by whichever machine of the core.
func shardsView(addr string) (v controlplane.ShardsView, err error) {
	for range 3 {
		body, err := get(addr, "/shards")
		if err != nil {
			return v, err
		}
		v = controlplane.ShardsView{}
		if err := json.Unmarshal(body, &v); err != nil {
			return v, err
		}
		if v.Leading {
			if v.Map == nil {
				return v, fmt.Errorf("no shards were founded")
			}
			return v, nil
		}
		if addr = v.Leader; addr == "" {
			break
		}
	}
	return v, fmt.Errorf("nobody is known to lead the core")
}

func post(addr string, c shardmap.Change, out io.Writer) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	answer, err := call(http.MethodPost, addr, "/shards", b)
	if err == nil {
		fmt.Fprintf(out, "%s: %s", c.Kind, answer)
	}
	return err
}

func shardsApply(addr string, out io.Writer) error {
	v, err := shardsView(addr)
	if err != nil {
		return err
	}
	c, err := shardmap.ClusterOf(v.Map, v.Nodes)
	if err != nil {
		return err
	}
	p := c.MakePlan()
	if err := printPlan(p, out); err != nil {
		return err
	}
	tasks := shardmap.TasksFromPlan(p)
	if len(tasks) == 0 {
		fmt.Fprintln(out, "nothing is to be moved")
		return nil
	}
	return post(addr, shardmap.Change{Kind: shardmap.ChangePlan, BaseVersion: v.Map.Version, Tasks: tasks}, out)
}

func shardsStatus(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("shards status", flag.ContinueOnError)
	raw := flags.Bool("json", false, "as JSON")
	if flags.Parse(args) != nil || flags.NArg() != 1 {
		return flag.ErrHelp
	}
	v, err := shardsView(flags.Arg(0))
	if err != nil {
		return err
	}
	if *raw {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	fmt.Fprintf(out, "version %d, paused %v, %d bytes moved by this leader, %d hand-overs, closed for %s\n", v.Map.Version, v.Map.Paused, v.BytesMoved, len(v.WriteGapsMs), spread(v.WriteGapsMs))
	for _, id := range slices.Sorted(maps.Keys(v.Nodes)) {
		r, held := v.Nodes[id], 0
		for _, p := range v.Map.Shards {
			if p.Node == id {
				held++
			}
		}
		fmt.Fprintf(out, "  node %s in %s, %s: %d shards, %d of %d bytes used, %d by others\n", id, cmp.Or(v.Map.Nodes[id].Zone, "no zone"),
			cmp.Or(v.Map.Nodes[id].State, shardplan.NodeActive), held, r.Capacity-r.Free, r.Capacity, r.External)
	}
	fates := map[shardmap.TaskStatus]int{}
	for _, t := range v.Map.Tasks {
		if fates[t.Status]++; t.Status != shardmap.TaskDone {
			fmt.Fprintf(out, "  shard %s, %s to %s: %s %s %s\n", t.Shard, t.From, t.To, t.Status, v.Transfers[t.Shard], t.Reason)
		}
	}
	fmt.Fprintf(out, "  tasks: %d done, %d waiting, %d failed, %d aborted\n", fates[shardmap.TaskDone], fates[shardmap.TaskPending], fates[shardmap.TaskFailed], fates[shardmap.TaskAborted])
	return nil
}

func spread(gaps []float64) string {
	if len(gaps) == 0 {
		return "-"
	}
	g := slices.Sorted(slices.Values(gaps))
	return fmt.Sprintf("%.0f ms at the median, %.0f at p99, %.0f at most", g[len(g)/2], g[len(g)*99/100], g[len(g)-1])
}

func shardsExplain(addr, shard string, out io.Writer) error {
	v, err := shardsView(addr)
	if err != nil {
		return err
	}
	p, ok := v.Map.Shards[shard]
	if !ok {
		return fmt.Errorf("there is no shard %s", shard)
	}
	fmt.Fprintf(out, "%s is on %s by epoch %d; %s\n", shard, p.Node, p.Epoch, cmp.Or(v.Transfers[shard], "it does not move"))
	for _, id := range slices.Sorted(maps.Keys(v.Nodes)) {
		if h, ok := v.Nodes[id].Replicas[shard]; ok {
			fmt.Fprintf(out, "  %s has a copy: %s by epoch %d, %d entries, %d bytes\n", id, h.State, h.Epoch, h.LastIndex, h.Size)
		}
	}
	for _, t := range v.Map.Tasks {
		if t.Shard == shard {
			fmt.Fprintf(out, "  planned from %s to %s: %s %s\n", t.From, t.To, t.Status, t.Reason)
		}
	}
	body, err := get(cmp.Or(v.Leader, addr), "/events?about="+url.QueryEscape(`"shard"="`+shard+`"`))
	out.Write(body)
	return err
}

// shardsPlan prints the plan for a cluster as a file has it, or as the nodes of a system say.
func shardsPlan(args []string, out io.Writer) error {
	flags := flag.NewFlagSet("shards plan", flag.ContinueOnError)
	asJSON := flags.Bool("json", false, "as JSON")
	at := flags.String("at", "", "`ADDR` of a core machine, whose nodes are asked; else a FILE is given")
	if flags.Parse(args) != nil || (*at == "") != (flags.NArg() == 1) {
		return flag.ErrHelp
	}
	c := &shardplan.Cluster{}
	if *at != "" {
		v, err := shardsView(*at)
		if err == nil {
			c, err = shardmap.ClusterOf(v.Map, v.Nodes)
		}
		if err != nil {
			return err
		}
	} else if err := readStrict(flags.Arg(0), c); err != nil {
		return err
	}
	if err := c.Validate(); err != nil {
		return err
	}
	p := c.MakePlan()
	if *asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(p)
	}
	return printPlan(p, out)
}

func printPlan(p *shardplan.Plan, out io.Writer) error {
	for i, round := range p.Rounds {
		for _, m := range round {
			note := ""
			switch {
			case m.Staging:
				note = ", a stop on its way"
			case m.Restore:
				note = ", read from there, as its holder is gone"
			}
			fmt.Fprintf(out, "round %d: shard %s from %s to %s, %d bytes%s\n", i+1, m.Shard, m.From, m.To, m.Bytes, note)
		}
	}
	for _, w := range append(p.Unplaced, p.OutOfBand...) {
		fmt.Fprintln(out, "not reached:", w)
	}
	fmt.Fprintf(out, "%d bytes in %d rounds; no plan moves less than %d\n", p.Bytes, len(p.Rounds), p.LowerBound)
	if len(p.Unplaced) > 0 {
		return fmt.Errorf("%d moves find no room", len(p.Unplaced))
	}
	return nil
}

// page is the progress as HTML: bytes moved and room used over time, nodes, tasks.
func page(v controlplane.ShardsView) string {
	var b strings.Builder
	b.WriteString(plot.Head + "<title>Shards</title>")
	fmt.Fprintf(&b, "<h1>Shards, version %d</h1><p>%d bytes moved, %d hand-overs, closed for %s.</p>", v.Map.Version, v.BytesMoved, len(v.WriteGapsMs), spread(v.WriteGapsMs))
	if len(v.Progress) > 1 {
		most := max(v.Progress[len(v.Progress)-1].Moved, 1)
		b.WriteString("<h2>Bytes moved</h2>")
		plot.Line(&b, len(v.Progress), func(i int) float64 { return float64(v.Progress[i].Moved) / float64(most) }, "#246")
		b.WriteString("<h2>Room used, of each disk</h2>")
		for _, id := range slices.Sorted(maps.Keys(v.Nodes)) {
			fmt.Fprintf(&b, "<p>%s</p>", html.EscapeString(id))
			limit := float64(max(v.Nodes[id].Capacity, 1))
			plot.Line(&b, len(v.Progress), func(i int) float64 { return float64(v.Progress[i].Used[id]) / limit }, "#a40")
		}
	}
	b.WriteString("<h2>Tasks</h2><table><tr><th>shard<th>from<th>to<th>bytes<th>fate<th>now<th>why")
	for _, t := range v.Map.Tasks {
		fmt.Fprintf(&b, "<tr><td>%s<td>%s<td>%s<td>%d<td>%s<td>%s<td>%s", html.EscapeString(t.Shard), html.EscapeString(t.From), html.EscapeString(t.To), t.Bytes, t.Status,
			html.EscapeString(v.Transfers[t.Shard]), html.EscapeString(t.Reason))
	}
	b.WriteString("</table>\n")
	return b.String()
}
