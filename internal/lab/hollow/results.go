package hollow

// This file owns results: rows of a phase's samples, their printed form, and the chart.

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"weirwind/internal/lab/experiment"
	"weirwind/internal/util/transport"
)

// Row holds the traffic that a role's processes sent or received for a purpose in a phase. A row without a purpose
// holds their processor time and memory.
type Row struct {
	Phase      string  `parquet:"phase,dict"`
	Drivers    int32   `parquet:"drivers"`
	Members    int32   `parquet:"members"`
	Seconds    float64 `parquet:"seconds"`
	Events     int32   `parquet:"events"` // number of changes in the phase
	KnownAfter float64 `parquet:"known"`  // seconds until all processes knew the changes; 0: not measured
	Role       string  `parquet:"role,dict"`
	Machines   int32   `parquet:"machines"` // number of the role's machines; figures are sums over them
	Link       string  `parquet:"link,dict"`
	Direction  string  `parquet:"direction,dict"`
	Purpose    string  `parquet:"purpose,dict"`
	Frames     float64 `parquet:"frames"`
	Bytes      float64 `parquet:"bytes"`
	CPU        float64 `parquet:"cpu"`    // seconds
	Memory     float64 `parquet:"memory"` // bytes
}

// trafficKey identifies a sum of traffic.
type trafficKey struct{ link, direction, purpose string }

// addCount adds a count to a sum, or subtracts it; sign is 1 or the two's complement of 1.
func addCount(sums map[trafficKey]transport.Count, key trafficKey, sign uint64, count transport.Count) {
	sum := sums[key]
	sums[key] = transport.Count{Frames: sum.Frames + sign*count.Frames, Bytes: sum.Bytes + sign*count.Bytes}
}

// addTraffic adds a sample's traffic to sums, or subtracts it, depending on sign.
func (s *Sample) addTraffic(sums map[trafficKey]transport.Count, sign uint64) {
	for link, t := range s.Traffic {
		for purpose, n := range t.Sent {
			addCount(sums, trafficKey{link, "sent", purpose}, sign, n)
		}
		for purpose, n := range t.Received {
			addCount(sums, trafficKey{link, "received", purpose}, sign, n)
		}
	}
}

// phaseResult is the result of a phase, with samples of all processes before and after it, by role.
type phaseResult struct {
	name          string
	before, after map[string][]Sample
	seconds       float64
	events        int
	knownAfter    float64 // seconds
}

// newRows returns the rows of a phase.
func (r *run) newRows(phase phaseResult) (rows []Row) {
	machines := map[string]int{"core": r.Options.Cores, "drivers": r.Options.Drivers,
		"members": r.Databases * membersPerGroup}
	for _, role := range []string{"core", "drivers", "members"} {
		base := Row{
			Phase:      phase.name,
			Drivers:    int32(r.Options.Drivers),
			Members:    int32(machines["members"]),
			Seconds:    phase.seconds,
			Events:     int32(phase.events),
			KnownAfter: phase.knownAfter,
			Role:       role,
			Machines:   int32(machines[role]),
		}
		sums, used := map[trafficKey]transport.Count{}, base
		used.subtract(sums, role, phase.before[role])
		used.add(sums, role, phase.after[role])
		rows = append(rows, used)
		for key, n := range sums {
			row := base
			row.Link, row.Direction, row.Purpose = key.link, key.direction, key.purpose
			row.Frames, row.Bytes = float64(n.Frames), float64(n.Bytes)
			rows = append(rows, row)
		}
	}
	return rows
}

// add adds samples taken after a phase to its processor time, memory and traffic.
func (r *Row) add(sums map[trafficKey]transport.Count, role string, samples []Sample) {
	for _, s := range samples {
		r.CPU += s.CPU
		r.Memory += s.Memory
		s.addTo(sums, role, 1)
	}
}

// subtract subtracts samples taken before a phase from its processor time and traffic.
func (r *Row) subtract(sums map[trafficKey]transport.Count, role string, samples []Sample) {
	for _, s := range samples {
		r.CPU -= s.CPU
		s.addTo(sums, role, ^uint64(0))
	}
}

// addTo adds a sample's traffic, and for members their heartbeats, to sums, or subtracts them, depending on sign.
func (s *Sample) addTo(sums map[trafficKey]transport.Count, role string, sign uint64) {
	s.addTraffic(sums, sign)
	if role != "members" {
		return
	}
	for direction, bytes := range map[string]int64{"sent": s.Sent, "received": s.Received} {
		addCount(sums, trafficKey{"http", direction, "heartbeats"}, sign,
			transport.Count{Frames: uint64(s.Heartbeats), Bytes: uint64(bytes)})
	}
}

// printPhase prints a phase's rows: for each role the mean usage and traffic of one of its machines.
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

// Draw draws a core machine's bytes per second in a phase over the number of drivers, with a line for each purpose and
// logarithmic axes.
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
		if err := experiment.AddLine(p, n, purpose, xy); err != nil {
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
