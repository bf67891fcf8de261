package sessionrun

// This file owns the HTML page on a run.

import (
	"fmt"
	"strings"
	"time"

	"weirwind/internal/util/plot"
)

// HTML returns a page with the result.
func (r *Result) HTML(title string) string {
	var b strings.Builder
	b.WriteString(plot.PageHeader)
	fmt.Fprintf(&b, "<title>%s</title><h1>%s</h1><p>%d messages queued, %d came; lost %d, doubled %d, out of order %d; "+
		"%d of %d sockets stayed open.</p>", title, title, r.Queued, r.Delivered, r.Lost, r.Duplicated, r.OutOfOrder,
		r.StayedOpen, r.Opened)
	maxCount, maxGap := int64(1), time.Millisecond
	for _, s := range r.Seconds {
		maxCount, maxGap = max(maxCount, s.Delivered, s.Queued), max(maxGap, s.LongestGap)
	}
	line := func(colour string, share func(second *Second) float64) {
		plot.Line(&b, len(r.Seconds), func(i int) float64 { return share(&r.Seconds[i]) }, colour)
	}
	fmt.Fprintf(&b, "<h2>Messages that came, of %d a second</h2>", maxCount)
	line("#246", func(second *Second) float64 { return float64(second.Delivered) / float64(maxCount) })
	fmt.Fprintf(&b, "<h2>Messages queued, of %d a second</h2>", maxCount)
	line("#262", func(second *Second) float64 { return float64(second.Queued) / float64(maxCount) })
	fmt.Fprintf(&b, "<h2>Silence of the client that waited longest, of %s</h2>", maxGap.Round(time.Millisecond))
	line("#a40", func(second *Second) float64 { return float64(second.LongestGap) / float64(maxGap) })
	b.WriteString("<table><tr><th>second<th>queued<th>came<th>longest silence<th>")
	for i, s := range r.Seconds {
		fmt.Fprintf(&b, "<tr><td>%d<td>%d<td>%d<td>%s<td>%s", i+1, s.Queued, s.Delivered,
			s.LongestGap.Round(time.Millisecond), s.Event)
	}
	b.WriteString("</table>\n")
	return b.String()
}
