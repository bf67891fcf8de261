package experiment

// This file owns the charts of rows.

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

// colours are distinguishable with colour blindness; variants use them in this order.
var colours = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{120, 94, 0, 255}}

const panelWidth, panelHeight = 5 * vg.Inch, 3 * vg.Inch

// panel is one chart; the panels of a section have the same y axis, so that they can be compared.
type panel struct {
	name string
	plot *plot.Plot
}

// svg returns the chart as an element of an HTML page.
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

// png writes the chart into a folder.
func (p *panel) png(folder string) error {
	c := vgimg.PngCanvas{Canvas: vgimg.New(panelWidth, panelHeight)}
	p.plot.Draw(draw.New(c))
	f, err := os.Create(filepath.Join(folder, p.name+".png"))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // an error of writing is returned below
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

// mergedLatencies returns the latency histogram of all op types of runs.
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

// meanBySecond returns the mean of a value over runs for each second.
func meanBySecond(rows []Run, value func(*Second) float64) plotter.XYs {
	var xy plotter.XYs
	for i := range rows[0].Seconds {
		sum, n := 0.0, 0
		for k := range rows {
			if i < len(rows[k].Seconds) {
				sum += value(&rows[k].Seconds[i])
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

// timeSeries are the sections that show a value for each second.
var timeSeries = []struct {
	name, title, note, yLabel string
	value                     func(*Second) float64
	maxY                      float64 // maximum of the y axis; 0: the maximum of the data
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

// rowsOf returns the rows of a variant in a cell.
func (builder *sectionBuilder) rowsOf(c cell, variant string) []Run {
	return slices.DeleteFunc(slices.Clone(builder.rows), func(r Run) bool {
		return r.cell() != c || r.Variant != variant
	})
}

// title returns a cell's heading.
func (c cell) title() string {
	return fmt.Sprintf("%s: %d drivers, load %g", c.experiment, c.drivers, c.load)
}

// label returns the base name of a chart's file.
func (c cell) label(kind string) string {
	return fmt.Sprintf("%s-%s-%d-%g", kind, c.experiment, c.drivers, c.load)
}

// chart describes how a section is drawn: a panel for each cell, a line for each variant, and a common scale.
type chart struct {
	kind, title, note, xLabel, yLabel string
	maxY                              float64 // maximum of the y axis; 0: the maximum of the data
	draw                              func(canvas *plot.Plot, n int, rows []Run, variant string) error
}

// addChart draws a section.
func (builder *sectionBuilder) addChart(spec chart) error {
	s := section{title: spec.title, note: spec.note}
	for _, c := range builder.cells {
		p := newPlot(c.title(), spec.xLabel, spec.yLabel)
		for n, v := range builder.variants {
			if variantRows := builder.rowsOf(c, v); len(variantRows) > 0 {
				if err := spec.draw(p, n, variantRows, v); err != nil {
					return err
				}
			}
		}
		s.panels = append(s.panels, panel{c.label(spec.kind), p})
	}
	maxValue := spec.maxY
	for _, p := range s.panels {
		if spec.maxY == 0 && !math.IsInf(p.plot.Y.Max, 0) {
			maxValue = max(maxValue, p.plot.Y.Max*1.15)
		}
	}
	for _, p := range s.panels {
		p.plot.Y.Min, p.plot.Y.Max = 0, max(maxValue, 1e-3)
	}
	builder.sections = append(builder.sections, s)
	return nil
}

// newSections returns the sections with all panels of rows: outcomes, time series, latencies, utilization by member.
func newSections(rows []Run) ([]section, error) {
	builder := &sectionBuilder{rows: rows, cells: cellsOf(rows)}
	for i := range rows {
		if !slices.Contains(builder.variants, rows[i].Variant) {
			builder.variants = append(builder.variants, rows[i].Variant)
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
	for _, spec := range charts {
		if err := builder.addChart(spec); err != nil {
			return nil, err
		}
	}
	outcomes, err := builder.outcomes()
	return append([]section{outcomes}, builder.sections...), err
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

// drawUtilization draws the utilization of members in decreasing order, as means over a variant's seeds.
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

// outcomes draws the outcomes of ops as stacked bars: a panel for each cell, with a bar for each variant.
func (builder *sectionBuilder) outcomes() (section, error) {
	s := section{title: "Outcomes", note: "Of all tries: acked in time, acked late, refused, failed."}
	for _, c := range builder.cells {
		p := newPlot(c.title(), "", "share of tries")
		if err := builder.addBars(p, builder.outcomeShares(c)); err != nil {
			return s, err
		}
		p.NominalX(builder.variants...)
		p.Y.Min, p.Y.Max = 0, 1.35
		s.panels = append(s.panels, panel{c.label("outcomes"), p})
	}
	return s, nil
}

// outcomeBars are the parts of a bar, from bottom to top.
var outcomeBars = []struct {
	name   string
	colour color.Color
}{
	{"in time", color.RGBA{0, 158, 115, 255}},
	{"late", color.RGBA{240, 228, 66, 255}},
	{"refused", color.RGBA{86, 180, 233, 255}},
	{"failed", color.RGBA{213, 94, 0, 255}},
}

// outcomeShares returns the share of each outcome, by variant.
func (builder *sectionBuilder) outcomeShares(c cell) []plotter.Values {
	values := make([]plotter.Values, len(outcomeBars))
	for _, v := range builder.variants {
		var counts [4]float64
		total := 1e-9
		for _, r := range builder.rowsOf(c, v) {
			for _, t := range r.Types {
				for i, x := range [4]int64{t.WithinTarget, t.Acked - t.WithinTarget, t.Refused, t.Failed} {
					counts[i], total = counts[i]+float64(x), total+float64(x)
				}
			}
		}
		for i := range counts {
			values[i] = append(values[i], counts[i]/total)
		}
	}
	return values
}

// addBars stacks the values of all outcomes.
func (builder *sectionBuilder) addBars(canvas *plot.Plot, values []plotter.Values) error {
	var below *plotter.BarChart
	for i, part := range outcomeBars {
		bars, err := plotter.NewBarChart(values[i], vg.Points(200/float64(len(builder.variants))))
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
