// Package virtualclock is virtual time for what plays many parts in one goroutine: what is to happen when, in a fixed
// order.
//
// It owns the queue and the clock. What falls on one moment happens in the order in which it was asked for.
package virtualclock

import "container/heap"

// Queue is one; its zero value stands at 0.
type Queue struct {
	Now  float64 // milliseconds
	Turn int     // how many things were asked for so far
	due  moments
}

// In has something done after so long.
func (q *Queue) In(after float64, do func()) {
	q.Turn++
	heap.Push(&q.due, moment{q.Now + after, q.Turn, do})
}

// Pass lets time pass until end, with all that is due on the way.
func (q *Queue) Pass(end float64) {
	for len(q.due) > 0 && q.due[0].at <= end {
		m := heap.Pop(&q.due).(moment)
		q.Now = m.at
		m.do()
	}
	q.Now = end
}

// Drop forgets what is still to come.
func (q *Queue) Drop() { q.due = nil }

type moment struct {
	at   float64
	turn int
	do   func()
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].turn < m[j].turn
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)   { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	i := len(*m) - 1
	last := (*m)[i]
	(*m)[i] = moment{} // what was done holds nothing
	*m = (*m)[:i]
	return last
}
