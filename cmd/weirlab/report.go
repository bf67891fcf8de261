package main

// This file owns the conversion of results of loads on sockets into rows of experiments, and the page on them.

import (
	"fmt"
	"io"
	"os"

	"github.com/HdrHistogram/hdrhistogram-go"

	"weirwind/internal/lab"
	"weirwind/internal/lab/experiment"
)

// socketsRow converts a load's result into an experiment's row. Statistics that a load does not have stay zero.
func socketsRow(
	name, variant string,
	drivers int,
	seed uint64,
	mix []lab.OpKind,
	r lab.Result,
	seconds []*lab.OpStats,
) (experiment.Run, error) {
	run := experiment.Run{
		Experiment: name,
		Scenario:   name,
		Variant:    variant,
		Build:      "this",
		Drivers:    int32(drivers),
		Seed:       seed,
	}
	submitted, served := 0.0, 0.0
	for i := range mix {
		t, err := socketsType(&mix[i], r.Kinds[mix[i].Name])
		if err != nil {
			return run, err
		}
		n := t.Acked + t.Refused + t.Failed
		run.Ops += n
		submitted, served = submitted+float64(n)*t.Value, served+float64(t.WithinTarget)*t.Value
		run.Types = append(run.Types, t)
	}
	run.ValueShare = served / max(submitted, 1)
	for _, s := range seconds {
		run.Seconds = append(run.Seconds, socketsSecond(s))
	}
	return run, nil
}

// socketsType converts the statistics of an op type.
func socketsType(kind *lab.OpKind, stats *lab.OpStats) (experiment.Type, error) {
	latency, err := stats.Latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return experiment.Type{}, err
	}
	t := experiment.Type{
		Name:    kind.Name,
		Value:   max(kind.Value, 1),
		Acked:   int64(stats.Outcomes[lab.Acked]),
		Refused: int64(stats.Outcomes[lab.Refused]),
		Failed:  int64(stats.Outcomes[lab.Failed] + stats.Outcomes[lab.Lost]),
		Latency: latency,
	}
	for _, bar := range stats.Latency.Distribution() {
		if kind.Target == 0 || bar.To <= kind.Target.Microseconds() {
			t.WithinTarget += bar.Count
		}
	}
	return t, nil
}

// socketsSecond converts the statistics of a second, which count the ops that ended in it.
func socketsSecond(stats *lab.OpStats) experiment.Second {
	s := experiment.Second{
		Acked:   int64(stats.Outcomes[lab.Acked]),
		Refused: int64(stats.Outcomes[lab.Refused]),
		Failed:  int64(stats.Outcomes[lab.Failed] + stats.Outcomes[lab.Lost]),
	}
	s.Arrivals = s.Acked + s.Refused + s.Failed
	s.ValueShare = float64(s.Acked) / float64(max(s.Arrivals, 1))
	return s
}

// writeReport writes the page on rows, and the charts into the folder pictures unless it is "".
func writeReport(out io.Writer, path, title string, notes []string, rows []experiment.Run, pictures string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // an error of writing is returned below
	if err := experiment.WritePage(f, title, notes, rows, "", pictures); err != nil {
		return err
	}
	fmt.Fprintf(out, "report: %s\n", path)
	return nil
}
