package registry

// This file carries out a scheduler's calls in a loop. It leaves the choice of endpoint, delay and revision to the
// scheduler.

import (
	"context"
	"time"

	"weirwind/internal/roster"
)

// Watcher keeps a membership up to date until its context ends. Only Run's goroutine calls its functions.
type Watcher struct {
	Client    Client
	Scheduler *roster.Scheduler
	// Position returns the revision up to which the membership is known; known is false if there is none.
	Position func() (revision int64, known bool)
	// Apply applies an update. With roster.VerdictUnconfirmed it returns the delay of the next list in milliseconds.
	Apply        func(roster.Update) (verdict roster.Verdict, confirmAfter float64)
	OnDisconnect func(error)    // called when a call has failed
	OnActivity   func()         // called for each message from the registry
	Now          func() float64 // returns the time in milliseconds
}

// Run carries out calls until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		call := w.Scheduler.Next(w.Position())
		if !sleep(ctx, call.Delay) {
			return
		}
		result := w.perform(ctx, call)
		if ctx.Err() != nil {
			return
		}
		w.report(call.Kind, result)
	}
}

// callOutcome is the outcome of a call.
type callOutcome struct {
	verdict      roster.Verdict // on the last applied update
	confirmAfter float64
	active       bool // the registry has responded
	err          error
}

// accepts reports whether further updates of the call may be applied. After a gap or an unconfirmed snapshot they are
// dropped, as the next list supersedes them.
func (p *callOutcome) accepts() bool {
	switch p.verdict {
	case roster.VerdictApplied, roster.VerdictFragment, roster.VerdictStale:
		return true
	}
	return false
}

// perform carries out one call, and ends it at the first update that is not accepted.
func (w *Watcher) perform(ctx context.Context, call roster.Call) callOutcome {
	result := callOutcome{verdict: roster.VerdictApplied}
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	deliver := func(update roster.Update) {
		if !result.accepts() {
			return
		}
		result.active = true
		result.verdict, result.confirmAfter = w.Apply(update)
		if result.verdict == roster.VerdictGap || result.verdict == roster.VerdictUnconfirmed {
			stop()
		}
	}
	if call.Kind == roster.CallRead {
		limited, done := context.WithTimeout(callCtx, listTimeout)
		defer done()
		result.err = w.Client.List(limited, call.Endpoint, call.Linearizable, deliver)
		return result
	}
	limited, done := context.WithTimeout(callCtx, milliseconds(call.MaxDuration))
	defer done()
	active := func() {
		result.active = true
		w.OnActivity()
	}
	result.err = w.Client.Watch(limited, call.Endpoint, call.Revision, active, deliver)
	if callCtx.Err() == nil && limited.Err() != nil {
		result.err = nil // the call has lasted for its maximum duration
	}
	return result
}

// report passes the outcome of a call to the scheduler, and reports a failure to OnDisconnect.
func (w *Watcher) report(kind roster.CallKind, outcome callOutcome) {
	switch {
	case outcome.verdict == roster.VerdictUnconfirmed:
		w.Scheduler.ResyncAfter(outcome.confirmAfter)
	case outcome.verdict == roster.VerdictGap:
		w.Scheduler.Resync(w.Now())
	case outcome.verdict == roster.VerdictFragment && outcome.err == nil && kind == roster.CallWatch:
		w.OnDisconnect(errCancelled) // the call ended within a revision, whose fragments must be dropped
		w.Scheduler.CallEnded(w.Now(), kind, roster.CallSucceeded, outcome.active)
	case outcome.verdict == roster.VerdictStale && kind == roster.CallRead && outcome.err == nil:
		w.Scheduler.CallEnded(w.Now(), kind, roster.CallStale, outcome.active)
	default:
		result := ResultOf(outcome.err)
		if outcome.err != nil && result != roster.CallCompacted {
			w.OnDisconnect(outcome.err)
		}
		w.Scheduler.CallEnded(w.Now(), kind, result, outcome.active)
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// sleep waits for ms milliseconds; it returns false if the context ends first.
func sleep(ctx context.Context, ms float64) bool {
	if ms <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(milliseconds(ms))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
