package lab

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"
)

// The audit finds each kind of violation, and reports none for a run without violations.
func TestAuditFindsViolations(t *testing.T) {
	validRun := func() (*Cluster, Result) {
		return &Cluster{
				name:       "own",
				executions: map[string]int{"a": 1, "f": 1},
			}, Result{
				Writes:       map[string]Outcome{"a": Acked, "f": Failed, "r": Refused, "l": Failed},
				Kinds:        map[string]*OpStats{"w": newOpStats()},
				Clusters:     map[string]int{"own": 1},
				WriteCluster: map[string]string{"a": "own"},
			}
	}
	if c, r := validRun(); len(c.Audit(r)) > 0 {
		t.Error(c.Audit(r))
	}
	for want, corrupt := range map[string]func(*Cluster, *Result){
		"a ran 2 times":             func(c *Cluster, r *Result) { c.executions["a"] = 2 },
		"was told that it did not":  func(c *Cluster, r *Result) { c.executions["r"] = 1 },
		"a was acked and never ran": func(c *Cluster, r *Result) { delete(c.executions, "a") },
		`a member of cluster "foreign" answered it`: func(c *Cluster, r *Result) {
			delete(c.executions, "a")
			r.WriteCluster["a"] = "foreign"
		},
		`3 ops were answered by cluster "foreign"`: func(_ *Cluster, r *Result) { r.Clusters["foreign"] = 3 },
		"got another's answer":                     func(c *Cluster, r *Result) { r.Mismatched = []string{"x"} },
		"1 ops without a whole answer":             func(c *Cluster, r *Result) { r.Kinds["w"].Outcomes[Lost] = 1 },
		"later than the grace":                     func(c *Cluster, r *Result) { c.afterDrain = []string{"x"} },
	} {
		c, r := validRun()
		corrupt(c, &r)
		if violations := c.Audit(r); len(violations) != 1 || !strings.Contains(violations[0], want) {
			t.Errorf("%q, want %q", violations, want)
		}
	}
}

// An answer names its cluster and its op; the answer to another op is recognized.
func TestAnswersNameTheirCluster(t *testing.T) {
	if cluster, ok := parseAnswerValue(answerValue("c1", "op7"), "op7"); !ok || cluster != "c1" {
		t.Error(cluster, ok)
	}
	for _, value := range []string{answerValue("c1", "op8"), "op7", "c1:op7", ""} {
		if cluster, ok := parseAnswerValue(value, "op7"); ok {
			t.Errorf("%q is accepted as an answer of cluster %q", value, cluster)
		}
	}
}

// The address of a stopped member stays reserved: no other cluster on this machine gets it.
func TestStoppedMembersKeepTheirAddresses(t *testing.T) {
	cluster, err := Start(Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Stop()
	dead := map[string]bool{}
	for _, m := range cluster.members {
		m.stop()
		dead[m.address] = true
	}
	for range 20 {
		other, err := Start(Options{})
		if err != nil {
			t.Fatal(err)
		}
		defer other.Stop()
		for _, m := range other.members {
			if dead[m.address] || m.address == "" {
				t.Errorf("a member of another cluster has the address %q", m.address)
			}
		}
	}
	for _, m := range cluster.members {
		if err := m.start(); err != nil || !dead[m.address] {
			t.Error("a member does not restart at its address:", m.address, err)
		}
	}
}

// Two drivers run in front of a cluster whose primaries are killed or hang, and whose replicas drain or are slow:
// writes are still acknowledged, and no rule is violated.
func TestFaults(t *testing.T) {
	cluster, err := Start(Options{ElectionTime: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Stop()
	ctx, end := context.WithCancel(context.Background())
	targets, wait, err := cluster.Drivers(ctx, 2, io.Discard, nil)
	if err != nil {
		t.Fatal(err)
	}
	first := cluster.Primary(1)
	steps := []func(){
		func() { cluster.Inject("kill", first) },
		func() { cluster.Inject("heal", first); cluster.Inject("slow", cluster.Replica(1)) },
		func() { cluster.Inject("hang", cluster.Primary(1)) },
		func() { cluster.Inject("drain", cluster.Replica(1)) },
	}
	r := Load{
		Targets:  targets,
		Rate:     150,
		Duration: 5 * time.Second,
		Mix:      DefaultMix,
		Groups:   1,
		Seed:     2,
		Slack:    2 * time.Second,
	}.Run(
		ctx,
		func(second int, f *OpStats) {
			if second < len(steps) {
				steps[second]()
			}
		},
	)
	for _, m := range cluster.members {
		cluster.Inject("free", m.ID)
	}
	end()
	if err := wait(); err != nil {
		t.Fatal(err)
	}
	if violations := cluster.Audit(r); len(violations) > 0 {
		t.Errorf("%d violations, such as %q", len(violations), violations[0])
	}
	if stats := r.Kinds["write"]; stats.Outcomes[Acked] < 20 {
		t.Errorf("only %d writes acked", stats.Outcomes[Acked])
	}
	if cluster.Inject("kill", "nobody") || cluster.Inject("dance", first) {
		t.Error("an unknown command or member is accepted")
	}
}

// Latency is measured from the intended time, so that the hang of a target shows in all ops that were due meanwhile.
func TestStallsAreNotHidden(t *testing.T) {
	cluster, err := Start(Options{Members: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Stop()
	m := cluster.members[0]
	time.AfterFunc(500*time.Millisecond, func() { m.hung.Store(true) })
	time.AfterFunc(900*time.Millisecond, func() { m.hung.Store(false) })
	r := Load{Targets: []string{m.address}, Rate: 200, Duration: 1500 * time.Millisecond, Groups: 1,
		Mix: []OpKind{{Name: "any", Share: 1, Timeout: 5 * time.Second}}}.Run(context.Background(), nil)
	stats := r.Kinds["any"]
	if n := stats.Latency.TotalCount(); n < 200 || stats.Quantile(90) < 100*time.Millisecond ||
		stats.Quantile(50) > 100*time.Millisecond {
		t.Errorf("%d ops, median %v, p90 %v: the stall is hidden", n, stats.Quantile(50), stats.Quantile(90))
	}
}
