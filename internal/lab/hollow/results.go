package hollow

// This file owns results: what is printed, the file of rows, and the picture.

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"weirwind/internal/lab/experiment"
)

// printPhase prints a phase's rows: for each role what one of its machines used and sent.
func printPhase(out io.Writer, rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.Link, b.Link), cmp.Compare(a.Direction, b.Direction),
			cmp.Compare(b.Bytes, a.Bytes))
	})
	for i, r := range rows {
		if i == 0 {
			fmt.Fprintf(out, "%s: drivers=%d members=%d seconds=%.1f events=%d known=%.2fs\n", r.Phase, r.Drivers, r.Members,
				r.Seconds, r.Events, r.KnownAfter)
		}
		machines := float64(max(r.Machines, 1))
		if r.Purpose == "" {
			fmt.Fprintf(out, "  a %-8s cpu %.4f of a core, memory %.2f MB\n", r.Role, r.CPU/machines/r.Seconds,
				r.Memory/machines/(1<<20))
		} else if r.Bytes > 0 {
			fmt.Fprintf(out, "  a %-8s %-9s %-9s %-21s %12.1f frames %14.0f bytes %12.1f bytes/s\n", r.Role, r.Link, r.Direction,
				r.Purpose, r.Frames/machines, r.Bytes/machines, r.Bytes/machines/r.Seconds)
		}
	}
}

// Draw draws bytes a second of a core machine by the number of drivers in a phase, a line a purpose, both axes
// logarithmic.
func Draw(path, phase string, rows []Row) error {
	lines := map[string]map[int32]float64{}
	for _, r := range rows {
		if r.Phase != phase || r.Role != "core" || r.Bytes == 0 {
			continue
		}
		if lines[r.Purpose] == nil {
			lines[r.Purpose] = map[int32]float64{}
		}
		lines[r.Purpose][r.Drivers] += r.Bytes / float64(r.Machines) / r.Seconds
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "a core machine, "+phase, "drivers", "bytes a second, both directions"
	p.X.Scale, p.Y.Scale, p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogScale{}, plot.LogScale{}, plot.LogTicks{},
		plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	n := 0
	for _, purpose := range sortedKeys(lines) {
		var xy plotter.XYs
		for _, drivers := range sortedKeys(lines[purpose]) {
			xy = append(xy, plotter.XY{X: float64(drivers), Y: lines[purpose][drivers]})
		}
		if err := experiment.Line(p, n, purpose, xy); err != nil {
			return err
		}
		n++
	}
	return p.Save(7*vg.Inch, 5*vg.Inch, path)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	var keys []K
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
