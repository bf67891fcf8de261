package driver

import "sync/atomic"

// budget counts what may still be used: sockets, or bytes.
type budget struct {
	available atomic.Int64
}

// acquire takes n; false where fewer are available.
func (b *budget) acquire(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

func (b *budget) release(n int64) { b.available.Add(n) }
