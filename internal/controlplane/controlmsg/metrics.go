package controlmsg

import (
	"strings"

	"weirwind/internal/util/metrics"
	"weirwind/internal/util/transport"
)

// WriteMetrics writes metrics of the frames and bytes that were sent and received over some links, by purpose. Purposes
// without a frame are left out.
func WriteMetrics(set metrics.Set, prefix, links string, counters *transport.Counters) {
	for p := PurposeUnknown; p < purposeCount; p++ {
		purpose := strings.ReplaceAll(p.String(), " ", "_")
		for direction, count := range map[string]transport.Count{
			"sent": counters.Sent(uint8(p)), "received": counters.Received(uint8(p)),
		} {
			if count.Frames == 0 {
				continue
			}
			labels := []string{"links", links, "purpose", purpose, "direction", direction}
			set.Counter(prefix+"_frames_total", "Frames over links of the control plane.", float64(count.Frames), labels...)
			set.Counter(prefix+"_bytes_total", "Bytes over links of the control plane, headers of TCP and IP left out.",
				float64(count.Bytes), labels...)
		}
	}
}
