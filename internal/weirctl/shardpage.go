package weirctl

// This file renders the HTML page about the progress of a rebalance.

import (
	"fmt"
	"html"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"weirwind/internal/controlplane"
	"weirwind/internal/util/plot"
)

// Colours of the page's lines.
const (
	bytesColour = "#246"
	diskColour  = "#a40"
)

func shardsPage(args []string, _ io.Writer) error {
	view, err := fetchShards(args[0])
	if err != nil {
		return err
	}
	return os.WriteFile(args[1], []byte(renderPage(&view)), 0o644)
}

// renderPage returns the progress as HTML: bytes moved and disk used over time by node, and tasks.
func renderPage(view *controlplane.ShardsView) string {
	var b strings.Builder
	b.WriteString(plot.PageHeader + "<title>Shards</title>")
	fmt.Fprintf(&b, "<h1>Shards, version %d</h1><p>%d bytes moved, %d hand-overs, closed for %s.</p>",
		view.Map.Version, view.BytesMoved, len(view.WriteGapsMs), distribution(view.WriteGapsMs))
	if len(view.Progress) > 1 {
		renderProgress(&b, view)
	}
	b.WriteString("<h2>Tasks</h2><table><tr><th>shard<th>from<th>to<th>bytes<th>fate<th>now<th>why")
	for _, task := range view.Map.Tasks {
		fmt.Fprintf(&b, "<tr><td>%s<td>%s<td>%s<td>%d<td>%s<td>%s<td>%s",
			html.EscapeString(task.Shard), html.EscapeString(task.From), html.EscapeString(task.To), task.Bytes, task.Status,
			html.EscapeString(view.Transfers[task.Shard]), html.EscapeString(task.Reason))
	}
	b.WriteString("</table>\n")
	return b.String()
}

// renderProgress draws the bytes moved over time, relative to those moved so far, and the bytes used on each node,
// relative to its capacity.
func renderProgress(b *strings.Builder, view *controlplane.ShardsView) {
	samples := len(view.Progress)
	moved := float64(max(view.Progress[samples-1].BytesMoved, 1))
	b.WriteString("<h2>Bytes moved</h2>")
	plot.Line(b, samples, func(i int) float64 { return float64(view.Progress[i].BytesMoved) / moved }, bytesColour)
	b.WriteString("<h2>Room used, of each disk</h2>")
	for _, id := range slices.Sorted(maps.Keys(view.Nodes)) {
		fmt.Fprintf(b, "<p>%s</p>", html.EscapeString(id))
		capacity := float64(max(view.Nodes[id].Capacity, 1))
		plot.Line(b, samples, func(i int) float64 { return float64(view.Progress[i].BytesUsed[id]) / capacity }, diskColour)
	}
}
