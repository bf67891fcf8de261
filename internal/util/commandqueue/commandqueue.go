// Package commandqueue is the queue of commands to whoever owns a table inside a process.
//
// This file owns the queue: commands are carried out one at a time, in order, by the one goroutine that runs it. Nothing else
// may touch what that goroutine owns.
package commandqueue

import (
	"context"
	"time"
)

// Queue is one owner's.
type Queue struct {
	C   chan func() // for an owner that waits for more than commands
	ctx context.Context
}

// New gives a queue that takes so many commands before who gives one waits, until ctx ends.
func New(ctx context.Context, size int) *Queue { return &Queue{make(chan func(), size), ctx} }

// Do queues a command. After the end of ctx it is dropped.
func (q *Queue) Do(f func()) {
	select {
	case q.C <- f:
	case <-q.ctx.Done():
	}
}

// Run carries out commands, and tick every so often, until ctx ends.
func (q *Queue) Run(every time.Duration, tick func()) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-q.ctx.Done():
			return
		case f := <-q.C:
			f()
		case <-t.C:
			tick()
		}
	}
}
