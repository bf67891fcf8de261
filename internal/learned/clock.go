package learned

import "math"

// Timestamp is a point in time by two clocks, in milliseconds. Its JSON names, and those of the state, are part of the
// output of the state command, which keeps them from its first version.
type Timestamp struct {
	_      struct{} `cbor:",toarray"`
	Wall   float64  `json:"Wall"` // Unix time; may be stepped between runs
	Uptime float64  `json:"Up"`   // since the machine's boot; never stepped
	BootID string   `json:"Boot"` // identifies the boot that Uptime counts from; empty if unknown
}

// maxClockSkew is the maximum difference in milliseconds between two clocks of a machine that are read in succession.
const maxClockSkew = 100.0

// elapsed is the time between two timestamps, with its reliability.
type elapsed struct {
	ms      float64
	certain bool // measured by uptime, which nothing steps
	stepped bool // the wall clock was stepped in between
	future  bool // the later timestamp appears to precede the earlier one
}

// elapsedSince measures the time from an earlier run's timestamp to one of this run.
func elapsedSince(then, now Timestamp) elapsed {
	wall := now.Wall - then.Wall
	if then.BootID != "" && then.BootID == now.BootID && now.Uptime >= then.Uptime {
		uptime := now.Uptime - then.Uptime
		return elapsed{ms: uptime, certain: true, stepped: math.Abs(wall-uptime) > maxClockSkew}
	}
	if wall < -maxClockSkew {
		return elapsed{future: true}
	}
	return elapsed{ms: max(wall, 0)}
}

// redate translates a date of an earlier run, whose state was saved at then, to this run's wall clock. It returns 0 for
// 0, which stands for no date.
func redate(date float64, then, now Timestamp, since elapsed) float64 {
	if date == 0 {
		return 0
	}
	return now.Wall - (since.ms + max(then.Wall-date, 0))
}
