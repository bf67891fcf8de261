package experiment

// This file owns the storage of results: a Parquet row for each run, with its statistics as lists. docs/lab.md names
// the columns. Files are replaced atomically.

import (
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/parquet-go/parquet-go"

	"weirwind/internal/lab/emulator"
)

// Run is the result of one run, which is stored as a row.
type Run struct {
	Experiment string      `parquet:"experiment,dict"`
	Scenario   string      `parquet:"scenario,dict"`
	Variant    string      `parquet:"variant,dict"`
	Build      string      `parquet:"build,dict"`
	Drivers    int32       `parquet:"drivers"`
	Load       float64     `parquet:"load"`
	Seed       uint64      `parquet:"seed"`
	Setup      string      `parquet:"setup"` // JSON
	Ops        int64       `parquet:"asked"`
	ValueShare float64     `parquet:"worth"`
	Sends      int64       `parquet:"sends"`
	Messages   int64       `parquet:"words"`
	Connects   int64       `parquet:"connects"`
	Lost       int64       `parquet:"lost"`
	Events     int64       `parquet:"events"`
	Violations []Violation `parquet:"broken,list"`
	Types      []Type      `parquet:"types,list"`
	Seconds    []Second    `parquet:"seconds,list"`
	Members    []Member    `parquet:"members,list"`
	Promotions []Promotion `parquet:"openings,list"`
	WriteGaps  []float64   `parquet:"gaps,list"`
}

// The parts of a run correspond to those of the emulator's result.
type (
	// Violation is a violated rule, with the number of violations.
	Violation struct {
		Rule  string `parquet:"rule"`
		Count int64  `parquet:"times"`
	}
	// Type holds the statistics of an op type.
	Type struct {
		Name         string  `parquet:"name"`
		Value        float64 `parquet:"value"`
		Acked        int64   `parquet:"acked"`
		Refused      int64   `parquet:"refused"`
		Failed       int64   `parquet:"failed"`
		WithinTarget int64   `parquet:"in_time"`
		Latency      []byte  `parquet:"latency"` // HdrHistogram's compressed form, microseconds
	}
	// Second holds the statistics of one second of a run.
	Second struct {
		Arrivals       int64   `parquet:"asked"`
		Retries        int64   `parquet:"again"`
		Acked          int64   `parquet:"acked"`
		Refused        int64   `parquet:"refused"`
		Failed         int64   `parquet:"failed"`
		ValueShare     float64 `parquet:"worth"` // of the ops first submitted in the second
		WithoutPrimary float64 `parquet:"empty"` // share of samples, by driver and group, that found no known primary
		PendingWrites  float64 `parquet:"held"`  // mean number of writes without an open attempt, all drivers together
	}
	// Member holds the statistics of a member over the whole run.
	Member struct {
		Name        string  `parquet:"name"`
		Served      int64   `parquet:"served"`
		MeanWait    float64 `parquet:"wait"`
		Utilization float64 `parquet:"busy"`
		PeakConns   int32   `parquet:"conns"`
	}
	// Promotion holds the statistics of a new primary's first second.
	Promotion struct {
		At       float64 `parquet:"at"`
		Group    int64   `parquet:"group"`
		Sends    int64   `parquet:"sends"`
		Capacity float64 `parquet:"can"`
	}
)

// newRun returns the row of a result.
func newRun(plan Plan, build string, r *emulator.Result) (Run, error) {
	run := Run{
		Experiment: plan.Experiment,
		Scenario:   plan.Scenario,
		Variant:    plan.Variant,
		Build:      build,
		Drivers:    int32(plan.Setup.Drivers),
		Load:       plan.Setup.Load,
		Seed:       plan.Setup.Seed,
		Setup:      setupJSON(plan.Setup),
		Ops:        int64(r.Ops),
		ValueShare: r.ValueShare,
		Sends:      int64(r.Sends()),
		Messages:   int64(r.Messages()),
		Connects:   int64(r.Connects()),
		Lost:       int64(r.Lost),
		Events:     int64(r.Events),
		WriteGaps:  r.WriteGaps,
	}
	for rule, n := range r.Violations {
		run.Violations = append(run.Violations, Violation{rule, int64(n)})
	}
	slices.SortFunc(run.Violations, func(a, b Violation) int {
		return int(a.Rule[len(a.Rule)-1]) - int(b.Rule[len(b.Rule)-1])
	})
	for i := range r.Types {
		t, err := newType(&r.Setup.Mix[i], &r.Types[i])
		if err != nil {
			return run, err
		}
		run.Types = append(run.Types, t)
	}
	for i := range r.Seconds[:int(r.Setup.Duration/1000)] {
		run.Seconds = append(run.Seconds, newSecond(&r.Setup, &r.Seconds[i]))
	}
	for _, m := range r.Members {
		run.Members = append(run.Members,
			Member{m.Member, int64(m.Served), m.MeanWait, m.Utilization, int32(m.PeakConns)})
	}
	for _, p := range r.Promotions {
		run.Promotions = append(run.Promotions, Promotion{p.At, p.Group, int64(p.Sends), p.Capacity})
	}
	return run, nil
}

func newType(kind *emulator.OpKind, stats *emulator.OpStats) (Type, error) {
	latency, err := stats.Latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return Type{
		Name:         kind.Name,
		Value:        kind.Value,
		Acked:        int64(stats.Outcomes[emulator.Acked]),
		Refused:      int64(stats.Outcomes[emulator.Refused]),
		Failed:       int64(stats.Outcomes[emulator.Failed]),
		WithinTarget: int64(stats.WithinTarget),
		Latency:      latency,
	}, err
}

func newSecond(setup *emulator.Setup, counted *emulator.Second) Second {
	second := Second{
		Retries: int64(counted.Retries),
		Acked:   int64(counted.Outcomes[emulator.Acked]),
		Refused: int64(counted.Outcomes[emulator.Refused]),
		Failed:  int64(counted.Outcomes[emulator.Failed]),
	}
	submitted, served, withoutPrimary := 0.0, 0.0, 0
	for k := range counted.Arrivals {
		second.Arrivals += int64(counted.Arrivals[k])
		submitted += float64(counted.Arrivals[k]) * setup.Mix[k].Value
		served += float64(counted.WithinTarget[k]) * setup.Mix[k].Value
	}
	for _, n := range counted.WithoutPrimary {
		withoutPrimary += n
	}
	second.ValueShare = served / max(submitted, 1)
	second.WithoutPrimary = float64(withoutPrimary) / float64(max(counted.Samples*setup.Groups, 1))
	second.PendingWrites = float64(counted.PendingWrites) / max(float64(counted.Samples)/float64(setup.Drivers), 1)
	return second
}

// histogram decodes a type's latency histogram.
func (t *Type) histogram() (*hdrhistogram.Histogram, error) { return hdrhistogram.Decode(t.Latency) }

// fileName returns the name of a run's file, which is a hash of the plan and the build's name.
func (p *Plan) fileName(build string) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%q %q %q %q %s", p.Experiment, p.Scenario, p.Variant, build, setupJSON(p.Setup))
	return fmt.Sprintf("%016x.parquet", h.Sum64())
}

// Save replaces a file's content with rows; on an error the file is unchanged.
func Save[Row any](path string, rows []Row) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".part-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // fails after a successful rename
	w := parquet.NewGenericWriter[Row](f, parquet.Compression(&parquet.Zstd))
	_, err = w.Write(rows)
	for _, end := range []func() error{w.Close, f.Sync, f.Close} {
		if e := end(); err == nil {
			err = e
		}
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.Rename(f.Name(), path)
}

// Load reads the rows of a file, or of the results file in a folder.
func Load(path string) ([]Run, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, resultsFile)
	}
	rows, err := parquet.ReadFile[Run](path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return rows, nil
}
