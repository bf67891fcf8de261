package experiment

// This file owns the HTML page on rows: its template, its table and its sections.

import (
	"fmt"
	"html/template"
	"io"
	"math"
)

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

// WritePage writes an HTML page on rows; text, if not empty, is shown as the comparison. If pngs is not empty, each
// chart is also written into this folder.
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

// pageData is the input of the page's template.
type pageData struct {
	Title    string
	Notes    []string
	Head     []string
	Table    [][]string
	Sections []renderedSection
	Text     string
}

// renderedSection is a section in the form of the page's template.
type renderedSection struct {
	Title, Note string
	Pictures    []template.HTML
}

// render draws a section's charts; if pngs is not empty, it also writes them into this folder.
func (s *section) render(pngs string) (renderedSection, error) {
	x := renderedSection{Title: s.title, Note: s.note}
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

// table returns a line for each variant in each cell, with the mean of every measure over the seeds and half the width
// of its confidence interval.
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

// tableCell returns the text for a measure's mean over the runs of a variant in a cell.
func tableCell(rows []Run, c cell, variant string, measure Measure) string {
	var values []float64
	for i := range rows {
		if x := &rows[i]; x.cell() == c && x.Variant == variant {
			values = append(values, measure.Value(x))
		}
	}
	mean, half := ConfidenceInterval(values)
	text := fmt.Sprintf("%.4g", mean)
	if !math.IsInf(half, 0) {
		text += fmt.Sprintf(" ± %.2g", half)
	}
	return text
}
