package fleet

// This file owns the page that shows the drivers' views of each other over time.

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"maps"
	"slices"
	"strings"
)

// colours are the colours of partition statuses and driver states.
var colours = map[string]string{"alive": "#4a9", "whole": "#4a9", "larger": "#8c6", "suspect": "#fc5", "unsure": "#fc5",
	"smaller": "#f96", "alone": "#e55", "failed": "#e55", "left": "#bbb", "unheard": "#69c", "silent": "#eee"}

var page = template.Must(template.New("fleet").Parse(`<!DOCTYPE html><meta charset="utf-8"><title>weirlab fleet</title>
<style>body{font:13px sans-serif;margin:2em}td{padding:0 6px 0 0}svg{display:block}` +
	`.k span{padding:2px 8px;margin-right:4px}</style>
<h1>Who saw whom when</h1><p class="k">{{range .Key}}<span style="background:{{.Colour}}">{{.Name}}</span>{{end}}</p>
<ol>{{range .Steps}}<li>{{printf "%.1f" .From}} s: {{.State}}</li>{{end}}</ol>
{{range .Drivers}}<h2>{{.Name}}</h2><table>{{range .Rows}}<tr><td>{{.Of}}<td><svg width="900" height="12">` +
	`{{range .Bars}}<rect x="{{printf "%.1f" .Left}}" y="1" width="{{printf "%.1f" .Width}}" height="10" ` +
	`fill="{{.Colour}}"><title>{{.Title}}</title></rect>{{end}}</svg>{{end}}</table>{{end}}
`))

// pageData is the input of the page's template.
type (
	pageData struct {
		Key     []keyEntry
		Steps   []interval
		Drivers []pageDriver
	}
	keyEntry   struct{ Name, Colour string }
	pageDriver struct {
		Name string
		Rows []pageRow
	}
	pageRow struct {
		Of   string
		Bars []pageBar
	}
	pageBar struct {
		Left, Width   float64 // pixels
		Colour, Title string
	}
)

const pageWidth = 900.0 // width of a row in pixels

// renderPage returns the page with each driver's reports from the start until end, in seconds.
func renderPage(fleet *Fleet, reports []reports, steps []interval, end float64) ([]byte, error) {
	data := pageData{Steps: steps}
	for _, name := range []string{"whole", "larger", "smaller", "alone", "unsure", "alive", "unheard", "suspect", "failed",
		"left", "silent"} {
		data.Key = append(data.Key, keyEntry{name, colours[name]})
	}
	for i, r := range reports {
		data.Drivers = append(data.Drivers, pageDriver{fleet.Drivers[i].Name, r.rows(pageWidth / max(end, 1))})
	}
	var b bytes.Buffer
	err := page.Execute(&b, data)
	return b.Bytes(), err
}

// rows returns a row for each subject: the driver's own status first, then the other drivers by number.
func (r reports) rows(pixelsPerSecond float64) (rows []pageRow) {
	subjects := slices.SortedFunc(maps.Keys(r), func(a, b string) int {
		return cmp.Or(len(a)-len(b), strings.Compare(a, b))
	})
	for _, subject := range subjects {
		row := pageRow{Of: subject}
		if subject == "" {
			row.Of = "standing"
		}
		for _, x := range r[subject] {
			row.Bars = append(row.Bars, pageBar{x.From * pixelsPerSecond, max((x.To-x.From)*pixelsPerSecond, 1),
				colours[x.State], fmt.Sprintf("%s %.1f to %.1f s", x.State, x.From, x.To)})
		}
		rows = append(rows, row)
	}
	return rows
}
