package experiment

// This file owns the comparison of runs: it pairs runs by seed, and computes the means of their differences and 95 %
// confidence intervals. A difference that is not significant is not reported as better or worse.

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Measure is one figure of a run. Better is 1 if a higher value is better, -1 if a lower one is, and 0 if neither.
type Measure struct {
	Name   string
	Better int
	Value  func(*Run) float64
	// OnSockets reports whether runs on sockets have this measure too.
	OnSockets bool
}

// Measures are the measures by which runs are compared.
var Measures = []Measure{
	{"worth served in time", 1, func(r *Run) float64 { return r.ValueShare }, true},
	{"worth, last quarter", 1, (*Run).LateValueShare, false},
	{"tries an op", -1, (*Run).AttemptsPerOp, false},
	{"failed, share of tries", -1, func(r *Run) float64 {
		return r.shareOfAttempts(func(t *Type) int64 { return t.Failed })
	}, true},
	{"refused, share of tries", -1, func(r *Run) float64 {
		return r.shareOfAttempts(func(t *Type) int64 { return t.Refused })
	}, true},
	{"p50 of all types, ms", -1, func(r *Run) float64 { return r.Quantile(50) }, true},
	{"p99 of all types, ms", -1, func(r *Run) float64 { return r.Quantile(99) }, true},
	{"longest gap of writes, ms", -1, func(r *Run) float64 {
		return slices.Max(append([]float64{0}, r.WriteGaps...))
	}, false},
	{"writes held, mean of the worst second", -1, func(r *Run) (worst float64) {
		for _, s := range r.Seconds {
			worst = max(worst, s.PendingWrites)
		}
		return worst
	}, false},
	{"sends in a new primary's first second, of what it can do", -1, func(r *Run) (worst float64) {
		for _, o := range r.Promotions {
			worst = max(worst, float64(o.Sends)/o.Capacity)
		}
		return worst
	}, false},
	{"sends an op", -1, func(r *Run) float64 { return float64(r.Sends) / float64(max(r.Ops, 1)) }, false},
	{"new connections", 0, func(r *Run) float64 { return float64(r.Connects) }, false},
	{"rules broken", -1, func(r *Run) (n float64) {
		for _, b := range r.Violations {
			n += float64(b.Count)
		}
		return n
	}, false},
}

// LateValueShare returns the mean value share over the seconds of the last quarter.
func (r *Run) LateValueShare() float64 {
	sum, n := 0.0, 0
	for i := len(r.Seconds) * 3 / 4; i < len(r.Seconds); i++ {
		sum += r.Seconds[i].ValueShare
		n++
	}
	return sum / float64(max(n, 1))
}

// AttemptsPerOp returns how often clients submitted each op on average.
func (r *Run) AttemptsPerOp() float64 {
	retries, ops := int64(0), int64(0)
	for _, s := range r.Seconds {
		retries, ops = retries+s.Retries, ops+s.Arrivals
	}
	return 1 + float64(retries)/float64(max(ops, 1))
}

// shareOfAttempts returns the sum of a count over all op types, as a share of all attempts.
func (r *Run) shareOfAttempts(count func(*Type) int64) float64 {
	counted, all := int64(0), int64(0)
	for i := range r.Types {
		t := &r.Types[i]
		counted, all = counted+count(t), all+t.Acked+t.Refused+t.Failed
	}
	return float64(counted) / float64(max(all, 1))
}

// Quantile returns a quantile of the latency of all acked ops, in milliseconds, or 0 if a histogram can't be decoded.
func (r *Run) Quantile(q float64) float64 {
	all, err := mergedLatencies([]Run{*r})
	if err != nil {
		return 0
	}
	return float64(all.ValueAtQuantile(q)) / 1000
}

// Mean returns the mean latency of all acked ops, in milliseconds, or 0 if a histogram can't be decoded.
func (r *Run) Mean() float64 {
	all, err := mergedLatencies([]Run{*r})
	if err != nil {
		return 0
	}
	return all.Mean() / 1000
}

// cell identifies runs that differ only in seed and variant.
type cell struct {
	experiment string
	drivers    int32
	load       float64
}

func (r *Run) cell() cell { return cell{r.Experiment, r.Drivers, r.Load} }

// Difference is the difference of a measure between sides A and B of a cell, over the seeds that both sides have.
type Difference struct {
	Experiment      string
	Drivers         int32
	Load            float64
	Measure         Measure
	Pairs           int
	MeanA, MeanB    float64
	Mean, HalfWidth float64 // mean of B - A, and half the width of its 95 % confidence interval; infinite with one pair
}

// Significant reports whether the 95 % confidence interval of the difference excludes zero.
func (d *Difference) Significant() bool {
	return d.Pairs > 1 && math.Abs(d.Mean) > d.HalfWidth && d.Mean != 0
}

// Compare compares runs b with runs a. Each variant is compared with the variant of the same name or, if across is
// true, with all variants. Runs that exist on one side only are ignored.
func Compare(a, b []Run, across bool) (all []Difference) {
	type pair struct{ a, b *Run }
	pairs := map[cell][]pair{}
	var order []cell
	for i := range a {
		for j := range b {
			x, y := &a[i], &b[j]
			if x.cell() != y.cell() || x.Seed != y.Seed || !across && x.Variant != y.Variant {
				continue
			}
			c := x.cell()
			if !across {
				c.experiment += " " + x.Variant
			}
			if pairs[c] == nil {
				order = append(order, c)
			}
			pairs[c] = append(pairs[c], pair{x, y})
		}
	}
	for _, c := range order {
		for _, m := range Measures {
			var diffs, as, bs []float64
			for _, p := range pairs[c] {
				x, y := m.Value(p.a), m.Value(p.b)
				as, bs, diffs = append(as, x), append(bs, y), append(diffs, y-x)
			}
			d := Difference{c.experiment, c.drivers, c.load, m, len(diffs), stat.Mean(as, nil), stat.Mean(bs, nil), 0,
				math.Inf(1)}
			d.Mean, d.HalfWidth = ConfidenceInterval(diffs)
			all = append(all, d)
		}
	}
	return all
}

// ConfidenceInterval returns the mean of values and half the width of its 95 % confidence interval by Student's t.
func ConfidenceInterval(values []float64) (mean, half float64) {
	if len(values) < 2 {
		return stat.Mean(values, nil), math.Inf(1)
	}
	mean, dev := stat.MeanStdDev(values, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile(0.975)
	return mean, t * dev / math.Sqrt(float64(len(values)))
}

// SelectVariant returns the runs of a variant, or all runs if the variant is "".
func SelectVariant(rows []Run, variant string) []Run {
	return slices.DeleteFunc(slices.Clone(rows), func(r Run) bool { return variant != "" && r.Variant != variant })
}

// WriteComparison writes differences as a table.
func WriteComparison(out io.Writer, nameA, nameB string, all []Difference) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	before := cell{}
	for _, d := range all {
		if c := (cell{d.Experiment, d.Drivers, d.Load}); c != before {
			before = c
			fmt.Fprintf(w, "%s, %d drivers, load %g, %d pairs\t%s\t%s\tdifference\t\n", d.Experiment, d.Drivers, d.Load, d.Pairs,
				nameA, nameB)
		}
		fmt.Fprintf(w, "  %s\t%.4g\t%.4g\t%+.3g ± %.2g\t%s\n", d.Measure.Name, d.MeanA, d.MeanB, d.Mean,
			d.HalfWidth, d.verdict())
	}
	return w.Flush()
}

// verdict returns the interpretation of a difference.
func (d *Difference) verdict() string {
	switch {
	case d.Pairs < 2:
		return "one pair tells nothing of chance"
	case !d.Significant():
		return "not beyond chance"
	case d.Measure.Better == 0:
		return "changed"
	case d.Mean*float64(d.Measure.Better) > 0:
		return "better"
	}
	return "worse"
}

// cellsOf returns the distinct cells of rows, sorted.
func cellsOf(rows []Run) (all []cell) {
	for i := range rows {
		if c := rows[i].cell(); !slices.Contains(all, c) {
			all = append(all, c)
		}
	}
	slices.SortStableFunc(all, func(a, b cell) int {
		return cmp.Or(cmp.Compare(a.experiment, b.experiment), cmp.Compare(a.drivers, b.drivers), cmp.Compare(a.load, b.load))
	})
	return all
}
