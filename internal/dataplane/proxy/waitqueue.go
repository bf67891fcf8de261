package proxy

import "slices"

// waitQueue is a bounded queue of waiters in order of arrival. Each waiter is answered exactly once, when its deadline
// is near at the latest, and removed by the code that answers it.
type waitQueue[W any] struct {
	waiting []W
	max     int // maximum length
}

// push appends a waiter. It returns false if the queue is full.
func (q *waitQueue[W]) push(waiter W) bool {
	if len(q.waiting) >= q.max {
		return false
	}
	q.waiting = append(q.waiting, waiter)
	return true
}

// removeIf calls done for each waiter, in order, and removes those for which done returns true. done must not change
// the queue.
func (q *waitQueue[W]) removeIf(done func(W) bool) { q.waiting = slices.DeleteFunc(q.waiting, done) }

func (q *waitQueue[W]) len() int { return len(q.waiting) }
