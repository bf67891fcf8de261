package emulator

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"testing"

	"weirwind/internal/standin/golden"
)

// The figures of seeded runs are recorded to the last digit: a refactoring of the emulator, or of the module that it
// runs, changes none of them. Each case's text has the main figures and a digest over all others.
func TestRecordedFigures(t *testing.T) {
	t.Parallel()
	var cases []golden.Case[string]
	record := func(name string, s Setup) {
		r, err := Run(s, 2, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		cases = append(cases, golden.Of(name, figuresOf(t, r)))
	}
	for _, policy := range []string{"module", "primary", "random", "round-robin", "least"} {
		record("faults, "+policy, newSetup(policy, 3, faultSchedule...))
	}
	large := newSetup("module", 20, faultSchedule...)
	large.Groups, large.Zones, large.MaxConnections, large.MessageRate, large.Duration = 2, 3, 40, 50, 12000
	large.Faults = append(
		large.Faults,
		Fault{At: 3000, Kind: "restart", Target: "1/4"},
		Fault{
			At:       5000,
			Duration: 800,
			Kind:     "cut",
			Target:   "a>b",
		},
		Fault{At: 7000, Duration: 1500, Kind: "loss", Factor: 0.1},
		Fault{At: 8000, Duration: 2000, Kind: "toll", Target: "a>b"},
		Fault{At: 9000, Kind: "end", Target: "n2"},
		Fault{At: 9500, Kind: "count", Target: "all"},
	)
	record("two groups, three zones", large)
	members := newSetup(
		"module",
		6,
		Fault{At: 1000, Duration: 2000, Kind: "fail", Target: "g1m3"},
		Fault{
			At:       2000,
			Duration: 3000,
			Kind:     "slow",
			Target:   "g1m2",
		},
		Fault{At: 3000, Duration: 1000, Kind: "slow", Target: "all"},
		Fault{At: 4000, Kind: "age", Target: "g1m4"},
		Fault{At: 5000, Duration: 1000, Kind: "wrong", Target: "g1m5"},
		Fault{At: 7000, Kind: "demote", Target: "g1m1"},
		Fault{At: 12000, Kind: "deploy", Target: "g1"},
	)
	record("faults of members", members)
	drivers := newSetup(
		"module",
		6,
		Fault{At: 1000, Kind: "switch", Target: "g1m1"},
		Fault{At: 6000, Kind: "lose", Target: "n1"},
		Fault{
			At:       7000,
			Duration: 1500,
			Kind:     "pause",
			Target:   "n2",
		},
		Fault{At: 9000, Duration: 2000, Kind: "late", Target: "1/2"},
		Fault{At: 9500, Kind: "drain", Target: "g1m3"},
		Fault{At: 12000, Duration: 2000, Kind: "burst", Target: "all"},
		Fault{At: 15000, Duration: 2000, Kind: "hot", Target: "n1"},
	)
	drivers.NoAdvice = true
	record("faults of drivers, a switchover", drivers)
	drivers.NoProbes, drivers.NoAdvice, drivers.Faults = true, false, drivers.Faults[1:]
	record("no probes", drivers)
	golden.Text(t, "testdata/figures.golden", cases)
}

// figuresOf returns a result as text: its main figures and a digest over all figures.
func figuresOf(t *testing.T, r *Result) string {
	t.Helper()
	digest := fnv.New64a()
	setup, err := json.Marshal(r.Setup)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(
		digest,
		"%s\n%v %v %v %v %v\n%v\n",
		setup,
		r.Seconds,
		r.Promotions,
		r.WriteGaps,
		r.Members,
		r.Lost,
		r.FirstViolations,
	)
	for _, k := range r.Types {
		fmt.Fprintln(digest, k.Outcomes, k.WithinTarget, k.Latency.Mean(), k.Latency.TotalCount())
		for _, q := range []float64{1, 50, 90, 99, 99.9, 100} {
			fmt.Fprintln(digest, k.Quantile(q))
		}
	}
	return fmt.Sprintf("worth %v, %d ops, %d events, %d sends, %d messages, %d connects, %d lost, broken %v, digest %016x",
		r.ValueShare, r.Ops, r.Events, r.Sends(), r.Messages(), r.Connects(), r.Lost, r.Violations, digest.Sum64())
}

// A setup's JSON form is stored with results, and their files' names are hashes of it.
func TestSetupJSON(t *testing.T) {
	s := newSetup("module", 3, Fault{At: 1, Duration: 2, Kind: "kill", Target: "g1m1", Factor: 3})
	s.applyDefaults()
	s.MaxConnections, s.NoProbes, s.MessageRate, s.NoAdvice = 7, true, 9, true
	golden.JSON(t, "testdata/setup.golden", []golden.Case[Setup]{golden.Of("filled", s), golden.Of("zero", Setup{})})
}
