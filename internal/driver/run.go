package driver

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

const logFlushTimeout = time.Second // for the last lines of the log

// Run serves until the context ends, then shuts down gracefully, in this order: clients and attempts; the last saves of
// state and of the ledger; decisions; health checks; background goroutines; the log, whose lines go to logTo.
func (s *Service) Run(ctx context.Context, logTo io.Writer) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx)) // accepted work is finished after ctx has ended
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := make(chan struct{})
	go func() {
		s.logLines.writeTo(logCtx, logTo)
		close(logDone)
	}()
	s.log.Info("serving", "listen", s.listener.Addr().String())
	var background errgroup.Group
	s.startBackground(workCtx, &background)
	unregister := context.AfterFunc(ctx, func() {
		now := time.Now()
		s.stopRequestedAt.Store(&now)
		s.log.Info("stopping", s.counters.attrs()...)
	})
	defer unregister()
	err := s.accept(ctx, s.listener)
	_ = s.inFlight.Wait() // its functions never return an error
	if s.stateSaver != nil {
		s.stateSaver.close()
	}
	if s.ledger != nil {
		s.ledger.close()
	}
	s.decider.close()
	_ = s.healthChecks.Wait() // its functions never return an error
	stopWork()
	_ = background.Wait() // failures have been logged
	s.log.Info("stopped", s.counters.attrs()...)
	stopLog()
	select {
	case <-logDone:
	case <-time.After(logFlushTimeout): // the writer is blocked
	}
	return err
}

// startBackground starts the goroutines that don't belong to a client. They run until the context ends.
func (s *Service) startBackground(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { s.watchDiscovery(ctx); return nil })
	group.Go(func() error { s.pool.reap(ctx); return nil })
	group.Go(func() error { s.keepHeadroom(ctx); return nil })
	if s.registryConfig != nil {
		group.Go(func() error { s.registryWatcher.Run(ctx); return nil })
		group.Go(func() error { runPeriodically(ctx, rosterInterval, s.tickRoster); return nil })
	}
	if s.switchovers != nil {
		group.Go(func() error { return s.switchovers.run(ctx) })
	}
	s.fleet.run(ctx, group)
	if s.zones != nil {
		group.Go(func() error { return s.zones.run(ctx) })
	}
	if s.stateSaver != nil {
		go s.stateSaver.run(ctx) // outside the group: a disk that hangs must not block the shutdown
	}
}

// LogCounters logs the counters.
func (s *Service) LogCounters() { s.log.Info("counters", s.counters.attrs()...) }

func (s *Service) stopping() bool { return s.stopRequestedAt.Load() != nil }

// stopTime returns when the service was requested to stop, or the current time if it was not.
func (s *Service) stopTime() time.Time {
	if requestedAt := s.stopRequestedAt.Load(); requestedAt != nil {
		return *requestedAt
	}
	return time.Now()
}

// runPeriodically runs a task after each interval until the context ends.
func runPeriodically(ctx context.Context, interval time.Duration, task func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			task()
		}
	}
}
