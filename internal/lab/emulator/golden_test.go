package emulator

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"testing"

	"weirwind/internal/standin/golden"
)

// The figures of seeded plays are recorded to the last digit: a refactoring of the emulator, or of what it plays,
// changes none of them. Each case's text has the figures one reads and a digest over all the others.
func TestFiguresAreThoseRecorded(t *testing.T) {
	t.Parallel()
	var cases []golden.Case[string]
	record := func(name string, s Setup) {
		r, err := Play(s, 2, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		cases = append(cases, golden.Of(name, figuresOf(t, r)))
	}
	for _, policy := range []string{"module", "primary", "random", "round-robin", "least"} {
		record("faults, "+policy, setup(policy, 3, troubles...))
	}
	large := setup("module", 20, troubles...)
	large.Groups, large.Zones, large.Connections, large.Messages, large.For = 2, 3, 40, 50, 12000
	large.Faults = append(large.Faults, Fault{At: 3000, What: "restart", On: "1/4"},
		Fault{At: 5000, For: 800, What: "cut", On: "a>b"}, Fault{At: 7000, For: 1500, What: "loss", By: 0.1},
		Fault{At: 8000, For: 2000, What: "toll", On: "a>b"}, Fault{At: 9000, What: "end", On: "n2"},
		Fault{At: 9500, What: "count", On: "all"})
	record("two groups, three zones", large)
	members := setup("module", 6, Fault{At: 1000, For: 2000, What: "fail", On: "g1m3"},
		Fault{At: 2000, For: 3000, What: "slow", On: "g1m2"}, Fault{At: 3000, For: 1000, What: "slow", On: "all"},
		Fault{At: 4000, What: "age", On: "g1m4"}, Fault{At: 5000, For: 1000, What: "wrong", On: "g1m5"},
		Fault{At: 7000, What: "demote", On: "g1m1"}, Fault{At: 12000, What: "deploy", On: "g1"})
	record("faults of members", members)
	drivers := setup("module", 6, Fault{At: 1000, What: "switch", On: "g1m1"}, Fault{At: 6000, What: "lose", On: "n1"},
		Fault{At: 7000, For: 1500, What: "pause", On: "n2"}, Fault{At: 9000, For: 2000, What: "late", On: "1/2"},
		Fault{At: 9500, What: "drain", On: "g1m3"}, Fault{At: 12000, For: 2000, What: "burst", On: "all"},
		Fault{At: 15000, For: 2000, What: "hot", On: "n1"})
	drivers.NoAdvice = true
	record("faults of drivers, a switchover", drivers)
	drivers.NoProbes, drivers.NoAdvice, drivers.Faults = true, false, drivers.Faults[1:]
	record("no probes", drivers)
	golden.Text(t, "testdata/figures.golden", cases)
}

// figuresOf is a result as text: its main figures and a digest over all that it counts.
func figuresOf(t *testing.T, r *Result) string {
	t.Helper()
	digest := fnv.New64a()
	setup, err := json.Marshal(r.Setup)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(digest, "%s\n%v %v %v %v %v\n%v\n", setup, r.Seconds, r.Openings, r.Gaps, r.Served, r.Lost, r.First)
	for _, k := range r.Types {
		fmt.Fprintln(digest, k.Ends, k.InTime, k.Latency.Mean(), k.Latency.TotalCount())
		for _, q := range []float64{1, 50, 90, 99, 99.9, 100} {
			fmt.Fprintln(digest, k.Quantile(q))
		}
	}
	return fmt.Sprintf("worth %v, %d ops, %d events, %d sends, %d messages, %d connects, %d lost, broken %v, digest %016x",
		r.Worth, r.Asked, r.Events, r.Sends(), r.Words(), r.Connects(), r.Lost, r.Broken, digest.Sum64())
}

// A setup's JSON form is kept beside results and names their files.
func TestSetupForm(t *testing.T) {
	s := setup("module", 3, Fault{At: 1, For: 2, What: "kill", On: "g1m1", By: 3})
	s.fill()
	s.Connections, s.NoProbes, s.Messages, s.NoAdvice = 7, true, 9, true
	golden.JSON(t, "testdata/setup.golden", []golden.Case[Setup]{golden.Of("filled", s), golden.Of("zero", Setup{})})
}
