package events

import (
	"fmt"

	"weirwind/internal/util/metrics"
)

// WriteMetrics writes a counter for each event that was logged at least once.
func WriteMetrics(log Log, set metrics.Set) {
	for event := range Catalogue {
		if n := log.Count(event); n > 0 {
			set.Counter("weirwind_events_total", "Events that were logged: docs/events.md.", float64(n),
				"event", fmt.Sprintf("E%d", int(event)))
		}
	}
}
