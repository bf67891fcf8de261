package driver

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

const logFlushTimeout = time.Second // for the last lines of the log

// Run serves until the context ends, then finishes what was accepted, in this order: clients and attempts; the last
// save of state and of the ledger; decisions; health checks; background goroutines; the log, which goes to the writer.
func (s *Service) Run(ctx context.Context, logTo io.Writer) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx)) // what was accepted is finished once ctx ends
	logging, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		s.logLines.writeTo(logging, logTo)
		close(logged)
	}()
	s.log.Info("serving", "listen", s.listener.Addr().String())
	var background errgroup.Group
	s.startBackground(life, &background)
	stop := context.AfterFunc(ctx, func() {
		now := time.Now()
		s.stopRequestedAt.Store(&now)
		s.log.Info("stopping", s.counters.attrs()...)
	})
	defer stop()
	err := s.accept(ctx, s.listener)
	_ = s.inFlight.Wait() // its functions return no error
	if s.stateSaver != nil {
		s.stateSaver.close()
	}
	if s.ledger != nil {
		s.ledger.close()
	}
	s.decider.close()
	_ = s.healthChecks.Wait() // likewise
	end()
	_ = background.Wait() // what failed has been logged
	s.log.Info("stopped", s.counters.attrs()...)
	stopLog()
	select {
	case <-logged:
	case <-time.After(logFlushTimeout): // nobody reads it
	}
	return err
}

// startBackground starts what runs beside clients, until the context ends.
func (s *Service) startBackground(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { s.watchDiscovery(ctx); return nil })
	group.Go(func() error { s.pool.reap(ctx); return nil })
	group.Go(func() error { s.keepHeadroom(ctx); return nil })
	if s.registryConfig != nil {
		group.Go(func() error { s.registryWatcher.Run(ctx); return nil })
		group.Go(func() error { every(ctx, rosterInterval, s.tickRoster); return nil })
	}
	if s.switchovers != nil {
		group.Go(func() error { return s.switchovers.run(ctx) })
	}
	s.fleet.run(ctx, group)
	if s.zones != nil {
		group.Go(func() error { return s.zones.run(ctx) })
	}
	if s.stateSaver != nil {
		go s.stateSaver.run(ctx) // outside the group: a disk that hangs must not keep the rest from ending
	}
}

// Report logs the counters.
func (s *Service) Report() { s.log.Info("counters", s.counters.attrs()...) }

func (s *Service) stopping() bool { return s.stopRequestedAt.Load() != nil }

// stopTime is when the service was asked to stop, or now.
func (s *Service) stopTime() time.Time {
	if t := s.stopRequestedAt.Load(); t != nil {
		return *t
	}
	return time.Now()
}

// every does something again and again, with a pause before each time, until the context ends.
func every(ctx context.Context, pause time.Duration, do func()) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			do()
		}
	}
}
