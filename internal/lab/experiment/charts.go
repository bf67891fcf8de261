package experiment

// This file owns pictures: what is drawn of rows, and how.

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// colours are distinguishable with colour blindness; variants take them in order.
var colours = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{120, 94, 0, 255}}

const panelWidth, panelHeight = 5 * vg.Inch, 3 * vg.Inch

// panel is one picture; those of a section have the same axes, so that sizes can be compared.
type panel struct {
	name string
	plot *plot.Plot
}

// svg is the picture as an element of a page.
func (p *panel) svg() (template.HTML, error) {
	c := vgsvg.New(panelWidth, panelHeight)
	p.plot.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, text, _ := strings.Cut(b.String(), "<svg")
	return template.HTML("<svg" + text), nil
}

// png writes the picture into a folder.
func (p *panel) png(folder string) error {
	c := vgimg.PngCanvas{Canvas: vgimg.New(panelWidth, panelHeight)}
	p.plot.Draw(draw.New(c))
	f, err := os.Create(filepath.Join(folder, p.name+".png"))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // a write that failed has said so
	_, err = c.WriteTo(f)
	return err
}

func newPlot(title, xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xLabel, yLabel
	p.Title.TextStyle.Font.Size, p.Legend.TextStyle.Font.Size = 11, 9
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// AddLine adds a line to a plot, in the nth colour.
func AddLine(canvas *plot.Plot, n int, name string, xy plotter.XYs) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color, l.Width = colours[n%len(colours)], 1.5
	if n >= len(colours) {
		l.Dashes = []vg.Length{4, 2}
	}
	canvas.Add(l)
	if name != "" {
		canvas.Legend.Add(name, l)
	}
	return nil
}

// mergedLatencies is the histogram of all op types of runs.
func mergedLatencies(rows []Run) (*hdrhistogram.Histogram, error) {
	all := hdrhistogram.New(1, 60e6, 3)
	for i := range rows {
		for k := range rows[i].Types {
			h, err := rows[i].Types[k].histogram()
			if err != nil {
				return nil, err
			}
			all.Merge(h)
		}
	}
	return all, nil
}

// meanBySecond is a value's mean over runs, second by second.
func meanBySecond(rows []Run, of func(*Second) float64) plotter.XYs {
	var xy plotter.XYs
	for i := range rows[0].Seconds {
		sum, n := 0.0, 0
		for k := range rows {
			if i < len(rows[k].Seconds) {
				sum += of(&rows[k].Seconds[i])
				n++
			}
		}
		xy = append(xy, plotter.XY{X: float64(i), Y: sum / float64(n)})
	}
	return xy
}

// section is a row of panels on the page.
type section struct {
	title, note string
	panels      []panel
}

// timeSeries are the sections with a value for each second.
var timeSeries = []struct {
	name, title, note, yLabel string
	value                     func(*Second) float64
	maxY                      float64 // of the axis; 0: what there is
}{
	{"worth", "Worth over time", "Value served in time, as a share of what was asked first in that second.", "share",
		func(second *Second) float64 { return second.ValueShare }, 1.4},
	{"refused", "Refused tries", "Busy replies a second.", "a second",
		func(second *Second) float64 { return float64(second.Refused) }, 0},
	{"again", "Tries an op", "First and further tries of clients, for each first one.", "tries",
		func(second *Second) float64 { return 1 + float64(second.Retries)/float64(max(second.Arrivals, 1)) }, 0},
	{"slots", "Empty writer slots",
		"Share of looks at drivers and groups that found the slot empty; nothing for plain policies.", "share",
		func(second *Second) float64 { return second.WithoutPrimary }, 0},
	{"held", "Held writes", "Writes that wait without a send out, all drivers together.", "writes",
		func(second *Second) float64 { return second.PendingWrites }, 0},
}

// sectionBuilder draws sections of rows by cell and variant.
type sectionBuilder struct {
	rows     []Run
	cells    []cell
	variants []string
	sections []section
}

// rowsOf is the rows of a variant in a cell.
func (d *sectionBuilder) rowsOf(c cell, variant string) []Run {
	return slices.DeleteFunc(slices.Clone(d.rows), func(r Run) bool {
		return r.cell() != c || r.Variant != variant
	})
}

// title is a cell's heading.
func (c cell) title() string {
	return fmt.Sprintf("%s: %d drivers, load %g", c.experiment, c.drivers, c.load)
}

// label is part of a picture's file name.
func (c cell) label(kind string) string {
	return fmt.Sprintf("%s-%s-%d-%g", kind, c.experiment, c.drivers, c.load)
}

// chart is how a section is drawn: a panel a cell, lines by variant, and one scale for all.
type chart struct {
	kind, title, note, xLabel, yLabel string
	maxY                              float64 // of the y axis; 0: what there is
	draw                              func(canvas *plot.Plot, n int, rows []Run, variant string) error
}

// addChart draws a section.
func (d *sectionBuilder) addChart(h chart) error {
	s := section{title: h.title, note: h.note}
	for _, c := range d.cells {
		p := newPlot(c.title(), h.xLabel, h.yLabel)
		for n, v := range d.variants {
			if some := d.rowsOf(c, v); len(some) > 0 {
				if err := h.draw(p, n, some, v); err != nil {
					return err
				}
			}
		}
		s.panels = append(s.panels, panel{c.label(h.kind), p})
	}
	high := h.maxY
	for _, p := range s.panels {
		if h.maxY == 0 && !math.IsInf(p.plot.Y.Max, 0) {
			high = max(high, p.plot.Y.Max*1.15)
		}
	}
	for _, p := range s.panels {
		p.plot.Y.Min, p.plot.Y.Max = 0, max(high, 1e-3)
	}
	d.sections = append(d.sections, s)
	return nil
}

// newSections draws all panels of rows: outcomes, time series, latencies, utilization by member.
func newSections(rows []Run) ([]section, error) {
	d := &sectionBuilder{rows: rows, cells: cellsOf(rows)}
	for i := range rows {
		if !slices.Contains(d.variants, rows[i].Variant) {
			d.variants = append(d.variants, rows[i].Variant)
		}
	}
	var charts []chart
	for _, c := range timeSeries {
		charts = append(charts, chart{c.name, c.title, c.note, "second", c.yLabel, c.maxY,
			func(canvas *plot.Plot, n int, rows []Run, v string) error {
				return AddLine(canvas, n, v, meanBySecond(rows, c.value))
			}})
	}
	charts = append(charts,
		chart{"latency", "Latency of acked ops", "From a client's first try; the axis counts nines.", "quantile", "ms", 0,
			drawLatency},
		chart{"members", "Load by member", "Share of its cores' time that each member was busy, the busiest first.", "member",
			"share", 0, drawUtilization})
	for _, h := range charts {
		if err := d.addChart(h); err != nil {
			return nil, err
		}
	}
	outcomes, err := d.outcomes()
	return append([]section{outcomes}, d.sections...), err
}

// drawLatency draws the quantiles of a variant's acked ops.
func drawLatency(canvas *plot.Plot, n int, rows []Run, variant string) error {
	h, err := mergedLatencies(rows)
	if err != nil || h.TotalCount() == 0 {
		return err
	}
	var xy plotter.XYs
	for nines := 0.0; nines <= 4; nines += 0.05 {
		xy = append(xy, plotter.XY{X: nines, Y: float64(h.ValueAtQuantile(100*(1-math.Pow(10, -nines)))) / 1000})
	}
	canvas.X.Tick.Marker = plot.ConstantTicks([]plot.Tick{{Value: 0, Label: "0"}, {Value: 1, Label: "0.9"},
		{Value: 2, Label: "0.99"}, {Value: 3, Label: "0.999"}, {Value: 4, Label: "0.9999"}})
	canvas.Legend.Left = true
	return AddLine(canvas, n, variant, xy)
}

// drawUtilization draws how busy members were, the mean over a variant's seeds.
func drawUtilization(canvas *plot.Plot, n int, rows []Run, variant string) error {
	busy := make([]float64, len(rows[0].Members))
	for i := range rows {
		for k, m := range rows[i].Members {
			busy[k] += m.Utilization / float64(len(rows))
		}
	}
	if len(busy) < 2 {
		return nil
	}
	slices.SortFunc(busy, func(a, b float64) int { return int(math.Copysign(1, b-a)) })
	var xy plotter.XYs
	for i, x := range busy {
		xy = append(xy, plotter.XY{X: float64(i + 1), Y: x})
	}
	return AddLine(canvas, n, variant, xy)
}

// outcomes draws stacked bars, a panel for each cell: the outcomes of ops, variant by variant.
func (d *sectionBuilder) outcomes() (section, error) {
	s := section{title: "Outcomes", note: "Of all tries: acked in time, acked late, refused, failed."}
	for _, c := range d.cells {
		p := newPlot(c.title(), "", "share of tries")
		if err := d.addBars(p, d.outcomeShares(c)); err != nil {
			return s, err
		}
		p.NominalX(d.variants...)
		p.Y.Min, p.Y.Max = 0, 1.35
		s.panels = append(s.panels, panel{c.label("outcomes"), p})
	}
	return s, nil
}

// outcomeBars are the parts of a bar, from the bottom.
var outcomeBars = []struct {
	name   string
	colour color.Color
}{
	{"in time", color.RGBA{0, 158, 115, 255}},
	{"late", color.RGBA{240, 228, 66, 255}},
	{"refused", color.RGBA{86, 180, 233, 255}},
	{"failed", color.RGBA{213, 94, 0, 255}},
}

// outcomeShares is the share of each outcome, by variant.
func (d *sectionBuilder) outcomeShares(c cell) []plotter.Values {
	values := make([]plotter.Values, len(outcomeBars))
	for _, v := range d.variants {
		var counts [4]float64
		all := 1e-9
		for _, r := range d.rowsOf(c, v) {
			for _, t := range r.Types {
				for i, x := range [4]int64{t.WithinTarget, t.Acked - t.WithinTarget, t.Refused, t.Failed} {
					counts[i], all = counts[i]+float64(x), all+float64(x)
				}
			}
		}
		for i := range counts {
			values[i] = append(values[i], counts[i]/all)
		}
	}
	return values
}

// addBars stacks the values of all outcomes.
func (d *sectionBuilder) addBars(canvas *plot.Plot, values []plotter.Values) error {
	var below *plotter.BarChart
	for i, part := range outcomeBars {
		bars, err := plotter.NewBarChart(values[i], vg.Points(200/float64(len(d.variants))))
		if err != nil {
			return err
		}
		bars.Color, bars.LineStyle.Width = part.colour, 0
		if below != nil {
			bars.StackOn(below)
		}
		canvas.Add(bars)
		canvas.Legend.Add(part.name, bars)
		below = bars
	}
	return nil
}
