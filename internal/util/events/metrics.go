package events

import (
	"fmt"

	"weirwind/internal/util/metrics"
)

// Figures writes how often each event was logged; those that never were are left out.
func WriteMetrics(log Log, set metrics.Set) {
	for event := range Catalogue {
		if n := log.Count(event); n > 0 {
			set.Counter("weirwind_events_total", "Events that were logged: docs/events.md.", float64(n),
				"event", fmt.Sprintf("E%d", int(event)))
		}
	}
}
