// Package commandqueue serialises access to a piece of state through a queue of commands to the goroutine that owns it.
//
// State with one owner needs no lock: only the goroutine that runs the queue accesses it, and other goroutines send it
// commands, which are functions to run. Commands run one at a time, in the order in which they were queued. A command
// must not block, and must not call Do, Wait or Call on its own queue: on a full queue that is a deadlock.
package commandqueue

import (
	"context"
	"errors"
	"time"
)

// ErrClosed is returned by calls on a queue whose owner has ended. The command may or may not have run.
var ErrClosed = errors.New("the command queue's owner has ended")

// Command is a queued command.
type Command struct {
	run  func()
	done chan<- struct{} // closed once it has run; nil if no caller waits
}

// Run executes the command. Only the queue's owner calls it.
func (c Command) Run() {
	c.run()
	if c.done != nil {
		close(c.done)
	}
}

// Queue holds the pending commands of one owner.
type Queue struct {
	Commands chan Command // received from directly only by owners that select on other channels too; others use Run

	ctx context.Context // the owner's; commands are dropped once it is done
}

// New returns a queue that holds up to size commands before senders block. It closes when ctx ends.
func New(ctx context.Context, size int) *Queue {
	return &Queue{Commands: make(chan Command, size), ctx: ctx}
}

// Do queues a command without waiting for it to run. Once the queue's context is done, the command is dropped.
func (q *Queue) Do(command func()) {
	select {
	case q.Commands <- Command{run: command}:
	case <-q.ctx.Done():
	}
}

// Offer queues a command if the queue has room, without blocking. It reports whether the command was queued.
func (q *Queue) Offer(command func()) bool {
	select {
	case q.Commands <- Command{run: command}:
		return true
	default:
		return false
	}
}

// Wait queues a command and waits until it has run. It returns early with an error as Call does; the caller must then
// not read what the command writes.
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

// Call queues a command and returns its result. It returns early with the context's error when ctx is done, and with
// ErrClosed when the queue's own context is done; the command may still run afterwards.
func Call[T any](ctx context.Context, queue *Queue, command func() T) (T, error) {
	var none T
	reply := make(chan T, 1) // buffered, so that the owner never blocks on a caller that has returned early
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

// Run is the owner's loop: it executes commands as they arrive, and calls tick at each interval, until the queue's
// context is done.
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
