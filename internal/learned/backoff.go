package learned

const minBackoff, maxBackoff = 1e3, 30e3 // milliseconds

// Backoff schedules the retries of a failed save: the delay doubles up to a limit.
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

// Ready reports whether an attempt is due.
func (b *Backoff) Ready(now Timestamp) bool { return b.pause == 0 || now.Uptime >= b.readyAt }

// RecordSuccess resets the delay, and reports whether a failure had come before.
func (b *Backoff) RecordSuccess() (recovered bool) {
	recovered = b.pause > 0
	*b = Backoff{}
	return recovered
}
