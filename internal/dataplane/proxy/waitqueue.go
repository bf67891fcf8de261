package proxy

import "slices"

// waitQueue holds what waits, in order of arrival. Each waiter is answered exactly once, at the latest when its
// deadline is near; it is removed by the code that answers it.
type waitQueue[W any] struct {
	waiting []W
	max     int // waiters beyond it are rejected at once
}

// push appends a waiter. false: the queue is full.
func (q *waitQueue[W]) push(waiter W) bool {
	if len(q.waiting) >= q.max {
		return false
	}
	q.waiting = append(q.waiting, waiter)
	return true
}

// removeIf passes each waiter, in order, to done and removes those that it returns true for. done must not change the
// queue.
func (q *waitQueue[W]) removeIf(done func(W) bool) { q.waiting = slices.DeleteFunc(q.waiting, done) }

func (q *waitQueue[W]) len() int { return len(q.waiting) }
