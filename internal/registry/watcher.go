package registry

// This file owns the loop that carries out a scheduler's calls. It must never choose an endpoint, a delay or a
// revision.

import (
	"context"
	"time"

	"weirwind/internal/roster"
)

// Watcher keeps a membership current until its context ends. Its functions are called by Run's goroutine alone.
type Watcher struct {
	Client    Client
	Scheduler *roster.Scheduler
	// Position returns the revision up to which the membership is known; false for none.
	Position func() (revision int64, known bool)
	// Apply takes an update. With roster.VerdictUnconfirmed comes the time in milliseconds until the next list.
	Apply        func(roster.Update) (verdict roster.Verdict, confirmAfter float64)
	OnDisconnect func(error)    // a call has failed
	OnActivity   func()         // the registry gave a sign of life
	Now          func() float64 // milliseconds
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

// performed is what became of a call.
type performed struct {
	verdict      roster.Verdict // on the last update that was applied
	confirmAfter float64
	active       bool // the registry gave a sign of life
	err          error
}

// accepts says whether further updates of the call may be applied: behind a gap or a snapshot that is yet to be
// confirmed they wait for the next list.
func (p *performed) accepts() bool {
	switch p.verdict {
	case roster.VerdictApplied, roster.VerdictFragment, roster.VerdictStale:
		return true
	}
	return false
}

// perform carries out one call. Updates that are not accepted end it.
func (w *Watcher) perform(ctx context.Context, call roster.Call) performed {
	result := performed{verdict: roster.VerdictApplied}
	unwanted, stop := context.WithCancel(ctx)
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
		limited, done := context.WithTimeout(unwanted, listTimeout)
		defer done()
		result.err = w.Client.List(limited, call.Endpoint, call.Linearizable, deliver)
		return result
	}
	limited, done := context.WithTimeout(unwanted, milliseconds(call.MaxDuration))
	defer done()
	active := func() {
		result.active = true
		w.OnActivity()
	}
	result.err = w.Client.Watch(limited, call.Endpoint, call.Revision, active, deliver)
	if unwanted.Err() == nil && limited.Err() != nil {
		result.err = nil // it has lasted for as long as it was to
	}
	return result
}

// report tells the scheduler, and the owner where the registry is lost, what became of a call.
func (w *Watcher) report(kind roster.CallKind, outcome performed) {
	switch {
	case outcome.verdict == roster.VerdictUnconfirmed:
		w.Scheduler.ResyncAfter(outcome.confirmAfter)
	case outcome.verdict == roster.VerdictGap:
		w.Scheduler.Resync(w.Now())
	case outcome.verdict == roster.VerdictFragment && outcome.err == nil && kind == roster.CallWatch:
		w.OnDisconnect(errCancelled) // its time was over in the middle of a revision: half of it counts for nothing
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

// sleep returns false where the context ends first.
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
