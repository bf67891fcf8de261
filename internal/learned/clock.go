package learned

import "math"

// Timestamp is a point in time by two clocks, in milliseconds. The JSON names here and in the state are those that the
// state command has printed since its first version.
type Timestamp struct {
	_      struct{} `cbor:",toarray"`
	Wall   float64  `json:"Wall"` // Unix time; may be stepped between runs
	Uptime float64  `json:"Up"`   // since the machine's boot; never stepped
	BootID string   `json:"Boot"` // which boot Uptime counts from; empty where the machine doesn't tell
}

// maxClockSkew is the most by which two clocks of one machine differ when read one after the other, in milliseconds.
const maxClockSkew = 100.0

// elapsed is the time between two timestamps, and how reliable it is.
type elapsed struct {
	ms      float64
	certain bool // measured by uptime, which nothing steps
	stepped bool // the wall clock was stepped in between
	future  bool // the later timestamp is before the earlier one, by all that can be told
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

// redate translates a date of an earlier run, whose state was saved at then, to this run's wall clock. 0, for no date,
// stays 0.
func redate(date float64, then, now Timestamp, since elapsed) float64 {
	if date == 0 {
		return 0
	}
	return now.Wall - (since.ms + max(then.Wall-date, 0))
}
