package learned

const minBackoff, maxBackoff = 1e3, 30e3 // milliseconds

// Backoff says when a save that failed is attempted again: after a pause that doubles up to a limit.
type Backoff struct {
	pause   float64 // milliseconds; 0 while saves succeed
	readyAt float64 // by the machine's uptime
}

// RecordFailure returns how long to wait before the next attempt, in milliseconds.
func (b *Backoff) RecordFailure(now Timestamp) float64 {
	b.pause = min(max(2*b.pause, minBackoff), maxBackoff)
	b.readyAt = now.Uptime + b.pause
	return b.pause
}

// Ready says whether it is time for an attempt.
func (b *Backoff) Ready(now Timestamp) bool { return b.pause == 0 || now.Uptime >= b.readyAt }

// RecordSuccess resets the pause, and says whether a failure had come before.
func (b *Backoff) RecordSuccess() (recovered bool) {
	recovered = b.pause > 0
	*b = Backoff{}
	return recovered
}
