package weirctl

// This file owns the page on which operators follow a rebalance.

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

// renderPage is the progress as HTML: bytes moved and disk used over time, nodes, tasks.
func renderPage(view *controlplane.ShardsView) string {
	var b strings.Builder
	b.WriteString(plot.PageHeader + "<title>Shards</title>")
	fmt.Fprintf(&b, "<h1>Shards, version %d</h1><p>%d bytes moved, %d hand-overs, closed for %s.</p>",
		view.Map.Version, view.BytesMoved, len(view.WriteGapsMs), distribution(view.WriteGapsMs))
	if len(view.Progress) > 1 {
		renderProgress(&b, view)
	}
	b.WriteString("<h2>Tasks</h2><table><tr><th>shard<th>from<th>to<th>bytes<th>fate<th>now<th>why")
	for _, t := range view.Map.Tasks {
		fmt.Fprintf(&b, "<tr><td>%s<td>%s<td>%s<td>%d<td>%s<td>%s<td>%s",
			html.EscapeString(t.Shard), html.EscapeString(t.From), html.EscapeString(t.To), t.Bytes, t.Status,
			html.EscapeString(view.Transfers[t.Shard]), html.EscapeString(t.Reason))
	}
	b.WriteString("</table>\n")
	return b.String()
}

// renderProgress draws bytes moved, of those moved so far, and each node's disk, of its capacity.
func renderProgress(b *strings.Builder, view *controlplane.ShardsView) {
	n := len(view.Progress)
	moved := float64(max(view.Progress[n-1].BytesMoved, 1))
	b.WriteString("<h2>Bytes moved</h2>")
	plot.Line(b, n, func(i int) float64 { return float64(view.Progress[i].BytesMoved) / moved }, bytesColour)
	b.WriteString("<h2>Room used, of each disk</h2>")
	for _, id := range slices.Sorted(maps.Keys(view.Nodes)) {
		fmt.Fprintf(b, "<p>%s</p>", html.EscapeString(id))
		capacity := float64(max(view.Nodes[id].Capacity, 1))
		plot.Line(b, n, func(i int) float64 { return float64(view.Progress[i].BytesUsed[id]) / capacity }, diskColour)
	}
}
