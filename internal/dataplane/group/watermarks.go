package group

import "weirwind/internal/member/wire"

// Limits on the stored watermarks, in milliseconds.
const (
	watermarkSpacing   = 50.0   // minimum time between the requests of a watermark and of the second one after it
	watermarkRetention = 5000.0 // age after which watermarks are dropped
)

// watermark is a log position from an answer of the primary: everything acknowledged before requestedAt lies at or
// before it.
type watermark struct {
	requestedAt float64
	position    wire.Position
}

// watermarks are those of one primary, in ascending order of both fields.
type watermarks []watermark

// covering returns a log position at or before which everything lies that was acknowledged before since, and whether
// one is known.
func (w watermarks) covering(since float64) (wire.Position, bool) {
	for _, mark := range w {
		if mark.requestedAt >= since {
			return mark.position, true
		}
	}
	return wire.Position{}, false
}

// add appends the position in the answer to a request that was sent at requestedAt. An answer that is out of order adds
// no information and is dropped.
func (w *watermarks) add(requestedAt float64, position wire.Position) {
	if position.IsZero() {
		return
	}
	marks := *w
	if n := len(marks); n > 0 {
		if requestedAt <= marks[n-1].requestedAt || position.Less(marks[n-1].position) {
			return
		}
		if n > 1 && requestedAt-marks[n-2].requestedAt < watermarkSpacing {
			marks = marks[:n-1]
		}
	}
	marks = append(marks, watermark{requestedAt, position})
	for len(marks) > 1 && requestedAt-marks[0].requestedAt > watermarkRetention {
		marks = marks[1:]
	}
	*w = marks
}
