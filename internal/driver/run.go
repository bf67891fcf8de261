package driver

import (
	"context"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

const logFlushTimeout = time.Second // for the last lines of the log

// Run serves until the context ends, then finishes what was accepted, in this order: clients and attempts; the last save
// of state and of the ledger; decisions; health checks; the background goroutines; the log, which goes to the writer.
func (v *Service) Run(ctx context.Context, logTo io.Writer) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx)) // what was accepted is finished once ctx ends
	logging, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		v.logLines.writeTo(logging, logTo)
		close(logged)
	}()
	v.log.Info("serving", "listen", v.listener.Addr().String())
	var background errgroup.Group
	v.startBackground(life, &background)
	stop := context.AfterFunc(ctx, func() {
		now := time.Now()
		v.stopRequestedAt.Store(&now)
		v.log.Info("stopping", v.counters.attrs()...)
	})
	defer stop()
	err := v.accept(ctx, v.listener)
	_ = v.inFlight.Wait() // its functions return no error
	if v.stateSaver != nil {
		v.stateSaver.close()
	}
	if v.ledger != nil {
		v.ledger.close()
	}
	v.decider.close()
	_ = v.healthChecks.Wait() // likewise
	end()
	_ = background.Wait() // what failed has been logged
	v.log.Info("stopped", v.counters.attrs()...)
	stopLog()
	select {
	case <-logged:
	case <-time.After(logFlushTimeout): // nobody reads it
	}
	return err
}

// startBackground starts what runs beside clients, until the context ends.
func (v *Service) startBackground(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { v.watchDiscovery(ctx); return nil })
	group.Go(func() error { v.pool.reap(ctx); return nil })
	group.Go(func() error { v.keepHeadroom(ctx); return nil })
	if v.registryConfig != nil {
		group.Go(func() error { v.registryWatcher.Run(ctx); return nil })
		group.Go(func() error { every(ctx, rosterInterval, v.tickRoster); return nil })
	}
	if v.switchovers != nil {
		group.Go(func() error { return v.switchovers.run(ctx) })
	}
	v.fleet.run(ctx, group)
	if v.zones != nil {
		group.Go(func() error { return v.zones.run(ctx) })
	}
	if v.stateSaver != nil {
		go v.stateSaver.run(ctx) // outside the group: a disk that hangs must not keep the rest from ending
	}
}

// Report logs the counters.
func (v *Service) Report() { v.log.Info("counters", v.counters.attrs()...) }

func (v *Service) stopping() bool { return v.stopRequestedAt.Load() != nil }

// stopTime is when the service was asked to stop, or now.
func (v *Service) stopTime() time.Time {
	if t := v.stopRequestedAt.Load(); t != nil {
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
