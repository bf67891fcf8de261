package driver

import "sync/atomic"

// budget counts the available units of a resource: sockets or bytes.
type budget struct {
	available atomic.Int64
}

// acquire takes amount units, and reports whether that many were available.
func (b *budget) acquire(amount int64) bool {
	if b.available.Add(-amount) < 0 {
		b.available.Add(amount)
		return false
	}
	return true
}

func (b *budget) release(amount int64) { b.available.Add(amount) }
