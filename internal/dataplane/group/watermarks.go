package group

import "weirwind/internal/dataplane/wire"

// Bounds of the watermarks that are kept, in milliseconds.
const (
	watermarkSpacing   = 50.0
	watermarkRetention = 5000.0
)

// watermark is a position that the primary had when it was asked: all that was acknowledged before askedAt lies at or
// before it.
type watermark struct {
	askedAt  float64
	position wire.Position
}

// watermarks are those of one primary, in ascending order of both fields.
type watermarks []watermark

// covering returns a position that all that was acknowledged before since lies at or before. false: none is known.
func (w watermarks) covering(since float64) (wire.Position, bool) {
	for _, mark := range w {
		if mark.askedAt >= since {
			return mark.position, true
		}
	}
	return wire.Position{}, false
}

// add appends a position that the primary had when it was asked at askedAt. What is out of order says nothing new and
// is dropped.
func (w *watermarks) add(askedAt float64, position wire.Position) {
	if position.IsZero() {
		return
	}
	marks := *w
	if n := len(marks); n > 0 {
		if askedAt <= marks[n-1].askedAt || position.Less(marks[n-1].position) {
			return
		}
		if n > 1 && askedAt-marks[n-2].askedAt < watermarkSpacing {
			marks = marks[:n-1]
		}
	}
	marks = append(marks, watermark{askedAt, position})
	for len(marks) > 1 && askedAt-marks[0].askedAt > watermarkRetention {
		marks = marks[1:]
	}
	*w = marks
}
