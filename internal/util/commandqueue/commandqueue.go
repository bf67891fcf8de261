// Package commandqueue is the queue of commands to the goroutine that owns a piece of state.
//
// State with one owner needs no lock: only the goroutine that runs the queue touches it, and everybody else sends that
// goroutine a command, a function to run. Commands run one at a time, in the order in which they were queued. A command
// must not block, and must not call Do, Wait or Call on its own queue: a full queue would then wait for itself.
package commandqueue

import (
	"context"
	"errors"
	"time"
)

// ErrClosed is the error of a call whose queue's owner has ended: the command may have run or not.
var ErrClosed = errors.New("the command queue's owner has ended")

// Command is a queued command.
type Command struct {
	run  func()
	done chan<- struct{} // closed when it has run; nil: nobody waits
}

// Run carries the command out. Only the queue's owner calls it.
func (c Command) Run() {
	c.run()
	if c.done != nil {
		close(c.done)
	}
}

// Queue holds the commands that wait for one owner.
type Queue struct {
	Commands chan Command // to be received from only by an owner that waits for more than commands; others use Run

	ctx context.Context // the owner's; behind its end commands are dropped
}

// New returns a queue that holds up to size commands before its senders wait. It closes when ctx ends.
func New(ctx context.Context, size int) *Queue {
	return &Queue{Commands: make(chan Command, size), ctx: ctx}
}

// Do queues a command and doesn't wait until it has run. After the end of the queue's context it is dropped.
func (q *Queue) Do(command func()) {
	select {
	case q.Commands <- Command{run: command}:
	case <-q.ctx.Done():
	}
}

// Offer queues a command if the queue has room, and doesn't wait. It reports whether it did.
func (q *Queue) Offer(command func()) bool {
	select {
	case q.Commands <- Command{run: command}:
		return true
	default:
		return false
	}
}

// Wait queues a command and waits until it has run. It gives up as Call does; what the command writes must not be read
// then.
func (q *Queue) Wait(ctx context.Context, command func()) error {
	done := make(chan struct{})
	select {
	case q.Commands <- Command{run: command, done: done}:
	case <-ctx.Done():
		return ctx.Err()
	case <-q.ctx.Done():
		return ErrClosed
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-q.ctx.Done():
		return ErrClosed
	}
}

// Call queues a command and waits for what it returns. It gives up with the context's error when ctx ends, and with
// ErrClosed when the queue's own context does; the command may still run afterwards.
func Call[T any](ctx context.Context, queue *Queue, command func() T) (T, error) {
	var none T
	reply := make(chan T, 1) // has room for one: the owner never waits for a caller that has given up
	select {
	case queue.Commands <- Command{run: func() { reply <- command() }}:
	case <-ctx.Done():
		return none, ctx.Err()
	case <-queue.ctx.Done():
		return none, ErrClosed
	}
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-queue.ctx.Done():
		return none, ErrClosed
	}
}

// Run runs commands as they come, and tick at each interval, until the queue's context ends. It is the owner's loop.
func (q *Queue) Run(interval time.Duration, tick func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-q.ctx.Done():
			return
		case command := <-q.Commands:
			command.Run()
		case <-ticker.C:
			tick()
		}
	}
}
