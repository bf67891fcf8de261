// Package plot draws line charts for operators' HTML pages, as plain SVG without scripts.
package plot

import (
	"fmt"
	"strings"
)

// Line draws n points of a line whose values are between 0 and 1.
func Line(b *strings.Builder, n int, y func(int) float64, colour string) {
	b.WriteString(`<svg width=720 height=120><polyline fill=none stroke="` + colour + `" points="`)
	for i := range n {
		x := float64(i) / float64(max(n-1, 1)) * 700
		fmt.Fprintf(b, "%.1f,%.1f ", x, 110-100*min(max(y(i), 0), 1))
	}
	b.WriteString(`"/><line x1=0 y1=10 x2=700 y2=10 stroke="#bbb"/></svg>`)
}

// PageHeader is the start of an HTML page.
const PageHeader = "<!doctype html><meta charset=utf-8><style>body{font:14px sans-serif;margin:2em}" +
	"table{border-collapse:collapse}" +
	"td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #ddd}svg{background:#f7f7f7}</style>"
