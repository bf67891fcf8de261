package driver

import "sync/atomic"

// budget counts what may still be used: sockets, or bytes.
type budget struct {
	available atomic.Int64
}

// acquire takes n; false where fewer are available.
func (b *budget) acquire(amount int64) bool {
	if b.available.Add(-amount) < 0 {
		b.available.Add(amount)
		return false
	}
	return true
}

func (b *budget) release(amount int64) { b.available.Add(amount) }
