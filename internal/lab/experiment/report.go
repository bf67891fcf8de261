package experiment

// This file owns pictures and the page that holds them. It must never draw what rows do not hold.

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
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

// Colours that are told apart by those who see few, in the order of variants.
var colours = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255},
	color.RGBA{204, 121, 167, 255}, color.RGBA{86, 180, 233, 255}, color.RGBA{120, 94, 0, 255}}

const panelWidth, panelHeight = 5 * vg.Inch, 3 * vg.Inch

// panel is one picture; a row of them has the same axes, so that sizes can be compared.
type panel struct {
	Name string
	plot *plot.Plot
}

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

func (p *panel) png(folder string) error {
	c := vgimg.PngCanvas{Canvas: vgimg.New(panelWidth, panelHeight)}
	p.plot.Draw(draw.New(c))
	f, err := os.Create(filepath.Join(folder, p.Name+".png"))
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // a write that failed has said so
	_, err = c.WriteTo(f)
	return err
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Title.TextStyle.Font.Size, p.Legend.TextStyle.Font.Size = 11, 9
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

// Line adds one to a plot, in the nth colour.
func Line(p *plot.Plot, n int, name string, xy plotter.XYs) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color, l.Width = colours[n%len(colours)], 1.5
	if n >= len(colours) {
		l.Dashes = []vg.Length{4, 2}
	}
	p.Add(l)
	if name != "" {
		p.Legend.Add(name, l)
	}
	return nil
}

// merged adds the latencies of all types of runs up.
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

// overTime is a mean over seeds, second by second.
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
	Title, Note string
	panels      []panel
}

var timeSeries = []struct {
	name, title, note, y string
	of                   func(*Second) float64
	most                 float64 // of the axis; 0: what there is
}{
	{"worth", "Worth over time", "Value served in time, as a share of what was asked first in that second.", "share",
		func(s *Second) float64 { return s.ValueShare }, 1.4},
	{"refused", "Refused tries", "Busy replies a second.", "a second",
		func(s *Second) float64 { return float64(s.Refused) }, 0},
	{"again", "Tries an op", "First and further tries of clients, for each first one.", "tries",
		func(s *Second) float64 { return 1 + float64(s.Retries)/float64(max(s.Arrivals, 1)) }, 0},
	{"slots", "Empty writer slots",
		"Share of looks at drivers and groups that found the slot empty; nothing for plain policies.", "share",
		func(s *Second) float64 { return s.WithoutPrimary }, 0},
	{"held", "Held writes", "Writes that wait without a send out, all drivers together.", "writes",
		func(s *Second) float64 { return s.PendingWrites }, 0},
}

// drawing is rows taken apart by size and variant, and the sections that were drawn of them.
type sectionBuilder struct {
	rows     []Run
	cells    []cell
	variants []string
	sections []section
}

// in are the rows of a variant at a size.
func (d *sectionBuilder) in(c cell, variant string) []Run {
	return slices.DeleteFunc(slices.Clone(d.rows), func(r Run) bool {
		return r.cell() != c || r.Variant != variant
	})
}

func (c cell) title() string {
	return fmt.Sprintf("%s: %d drivers, load %g", c.experiment, c.drivers, c.load)
}

func (c cell) label(kind string) string {
	return fmt.Sprintf("%s-%s-%d-%g", kind, c.experiment, c.drivers, c.load)
}

// chart is how a section is drawn: a panel a cell, lines by variant, and one scale for all.
type chart struct {
	kind, title, note, x, y string
	most                    float64 // of the y axis; 0: what there is
	add                     func(p *plot.Plot, n int, rows []Run, variant string) error
}

// draw adds a section.
func (d *sectionBuilder) addChart(h chart) error {
	s := section{Title: h.title, Note: h.note}
	for _, c := range d.cells {
		p := newPlot(c.title(), h.x, h.y)
		for n, v := range d.variants {
			if some := d.in(c, v); len(some) > 0 {
				if err := h.add(p, n, some, v); err != nil {
					return err
				}
			}
		}
		s.panels = append(s.panels, panel{c.label(h.kind), p})
	}
	high := h.most
	for _, p := range s.panels {
		if h.most == 0 && !math.IsInf(p.plot.Y.Max, 0) {
			high = max(high, p.plot.Y.Max*1.15)
		}
	}
	for _, p := range s.panels {
		p.plot.Y.Min, p.plot.Y.Max = 0, max(high, 1e-3)
	}
	d.sections = append(d.sections, s)
	return nil
}

// draws makes all panels of rows: outcomes, courses over time, latencies, load by member.
func newSections(rows []Run) ([]section, error) {
	d := &sectionBuilder{rows: rows, cells: cellsOf(rows)}
	for i := range rows {
		if !slices.Contains(d.variants, rows[i].Variant) {
			d.variants = append(d.variants, rows[i].Variant)
		}
	}
	var charts []chart
	for _, c := range timeSeries {
		charts = append(charts, chart{c.name, c.title, c.note, "second", c.y, c.most,
			func(p *plot.Plot, n int, rows []Run, v string) error { return Line(p, n, v, meanBySecond(rows, c.of)) }})
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

// addLatency draws the quantiles of a variant's acked ops.
func drawLatency(p *plot.Plot, n int, rows []Run, variant string) error {
	h, err := mergedLatencies(rows)
	if err != nil || h.TotalCount() == 0 {
		return err
	}
	var xy plotter.XYs
	for nines := 0.0; nines <= 4; nines += 0.05 {
		xy = append(xy, plotter.XY{X: nines, Y: float64(h.ValueAtQuantile(100*(1-math.Pow(10, -nines)))) / 1000})
	}
	p.X.Tick.Marker = plot.ConstantTicks([]plot.Tick{{Value: 0, Label: "0"}, {Value: 1, Label: "0.9"},
		{Value: 2, Label: "0.99"}, {Value: 3, Label: "0.999"}, {Value: 4, Label: "0.9999"}})
	p.Legend.Left = true
	return Line(p, n, variant, xy)
}

// addMembers draws how busy members were, the mean over a variant's seeds.
func drawUtilization(p *plot.Plot, n int, rows []Run, variant string) error {
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
	return Line(p, n, variant, xy)
}

// outcomes are stacked bars, a panel a cell: what came of ops' tries, variant by variant.
func (d *sectionBuilder) outcomes() (section, error) {
	s := section{Title: "Outcomes", Note: "Of all tries: acked in time, acked late, refused, failed."}
	names := []string{"in time", "late", "refused", "failed"}
	shades := []color.Color{color.RGBA{0, 158, 115, 255}, color.RGBA{240, 228, 66, 255}, color.RGBA{86, 180, 233, 255},
		color.RGBA{213, 94, 0, 255}}
	for _, c := range d.cells {
		p := newPlot(c.title(), "", "share of tries")
		values := make([]plotter.Values, 4)
		for _, v := range d.variants {
			var n [4]float64
			all := 1e-9
			for _, r := range d.in(c, v) {
				for _, t := range r.Types {
					for i, x := range [4]int64{t.WithinTarget, t.Acked - t.WithinTarget, t.Refused, t.Failed} {
						n[i], all = n[i]+float64(x), all+float64(x)
					}
				}
			}
			for i := range n {
				values[i] = append(values[i], n[i]/all)
			}
		}
		var below *plotter.BarChart
		for i := range values {
			bars, err := plotter.NewBarChart(values[i], vg.Points(200/float64(len(d.variants))))
			if err != nil {
				return s, err
			}
			bars.Color, bars.LineStyle.Width = shades[i], 0
			if below != nil {
				bars.StackOn(below)
			}
			p.Add(bars)
			p.Legend.Add(names[i], bars)
			below = bars
		}
		p.NominalX(d.variants...)
		p.Y.Min, p.Y.Max = 0, 1.35
		s.panels = append(s.panels, panel{c.label("outcomes"), p})
	}
	return s, nil
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title><style>
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 1120px; padding: 0 1em; color: #222 }
.row { display: flex; flex-wrap: wrap; gap: 1em } .row svg { max-width: 100%; height: auto }
table { border-collapse: collapse; font-size: 13px } ` +
	`td, th { padding: .25em .7em; border-bottom: 1px solid #ddd; text-align: right }
td:first-child, th:first-child { text-align: left } pre { background: #f6f6f6; padding: 1em; overflow-x: auto }
</style></head><body><h1>{{.Title}}</h1>
{{range .Notes}}<p>{{.}}</p>{{end}}
<table><tr>{{range .Head}}<th>{{.}}</th>{{end}}</tr>` +
	`{{range .Table}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>{{end}}</table>
{{range .Sections}}<h2>{{.Title}}</h2><p>{{.Note}}</p><div class="row">{{range .Pictures}}{{.}}{{end}}</div>{{end}}
{{with .Text}}<h2>Comparison</h2><pre>{{.}}</pre>{{end}}
</body></html>
`))

// Page writes one HTML file with all that there is to see of rows; text may be a comparison. With a folder, each
// picture goes there as PNG too.
func WritePage(out io.Writer, title string, notes []string, rows []Run, text, pngs string) error {
	if len(rows) == 0 {
		return fmt.Errorf("no runs to report on")
	}
	sections, err := newSections(rows)
	if err != nil {
		return err
	}
	data := pageData{Title: title, Notes: notes, Text: text, Head: []string{"run"}, Table: table(rows)}
	for _, s := range sections {
		x, err := s.render(pngs)
		if err != nil {
			return err
		}
		data.Sections = append(data.Sections, x)
	}
	for _, m := range Measures {
		data.Head = append(data.Head, m.Name)
	}
	return page.Execute(out, data)
}

// pageData is what the page's template takes.
type pageData struct {
	Title    string
	Notes    []string
	Head     []string
	Table    [][]string
	Sections []renderedSection
	Text     string
}

// shown is a section with its pictures drawn.
type renderedSection struct {
	Title, Note string
	Pictures    []template.HTML
}

// show draws a section's pictures; with a folder, there as PNG too.
func (s *section) render(pngs string) (renderedSection, error) {
	x := renderedSection{Title: s.Title, Note: s.Note}
	for i := range s.panels {
		picture, err := s.panels[i].svg()
		if err != nil {
			return x, err
		}
		x.Pictures = append(x.Pictures, picture)
		if pngs != "" {
			if err := s.panels[i].png(pngs); err != nil {
				return x, err
			}
		}
	}
	return x, nil
}

// table is a line for each variant at each size: every measure's mean over seeds, and half its interval.
func table(rows []Run) (lines [][]string) {
	for _, c := range cellsOf(rows) {
		seen := map[string]bool{}
		for _, r := range rows {
			if r.cell() != c || seen[r.Variant] {
				continue
			}
			seen[r.Variant] = true
			line := []string{fmt.Sprintf("%s, %d drivers, load %g: %s", c.experiment, c.drivers, c.load, r.Variant)}
			for _, m := range Measures {
				line = append(line, tableCell(rows, c, r.Variant, m))
			}
			lines = append(lines, line)
		}
	}
	return lines
}

func tableCell(rows []Run, c cell, variant string, m Measure) string {
	var values []float64
	for i := range rows {
		if x := &rows[i]; x.cell() == c && x.Variant == variant {
			values = append(values, m.Value(x))
		}
	}
	mean, half := Interval(values)
	text := fmt.Sprintf("%.4g", mean)
	if !math.IsInf(half, 0) {
		text += fmt.Sprintf(" ± %.2g", half)
	}
	return text
}
