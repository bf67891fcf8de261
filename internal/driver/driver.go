// Package driver is the service: it stands between clients and members on sockets and puts every op before
// the decision module. This file owns what the driver is told, at its start and on SIGHUP, how its parts are put
// together and how they end. It must never hold state of ops, members or connections.
package driver

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/discovery"
	"weirwind/internal/operator"
	"weirwind/internal/registry"
	"weirwind/internal/roster"
	"weirwind/logic"
)

const (
	// of the limit: listener, peers, discovery, log, poller, connections being turned away
	reservedSockets    = 32
	clientSocketShare  = 0.6                     // of the sockets: ops that are held need a client's and no member's
	memoryLimitShare   = 0.75                    // of the limit: from there on the collector works harder
	messageMemoryShare = 0.25                    // of the limit, for big messages from clients
	watchTimeout       = 1500 * time.Millisecond // a connection that fell silent is found out after this
	discoveryTimeout   = 1700 * time.Millisecond // and that: what discovery has to tell counts as told 2 s after the wait
	maxHealthChecks    = 64
	logFlushTimeout    = time.Second // for the last lines of the log
)

// Service is one driver.
type Service struct {
	log              *slog.Logger
	level            slog.LevelVar
	stateSaver       *stateSaver // of learned state; nil where none is kept
	counters         counters
	decider          *decider
	pool             *pool
	listRequested    chan struct{}
	inFlight         errgroup.Group // connections of clients, and sends
	healthChecks     errgroup.Group
	clientBudget     budget
	messageBudget    budget // of big messages from clients
	clients          clientSet
	evictions        chan struct{} // a place for each that makes room for one already let in
	rejections       chan struct{} // and for each that is told that there is none
	acceptEnded      chan struct{} // closed when no new connection is taken any more
	stopRequestedAt  atomic.Pointer[time.Time]
	openHealthChecks atomic.Int64
	logLines         *logQueue
	listener         *net.TCPListener
	discovery        discovery.Client
	config           configuration

	rosterMu sync.Mutex // guards what follows
	roster   *roster.Roster

	ledger          *opLedger          // nil where outcomes are not kept
	switchovers     *switchovers       // nil where the operators switch no control socket on
	registryConfig  *operator.Registry // nil where members come from discovery alone
	registryWatcher *registry.Watcher
	fleet           *fleet     // the other drivers
	zones           *zoneAgent // nil where zones are not decided on in common

	discoveryMu         sync.Mutex // guards what follows
	newDiscovery        string     // where discovery is now, until the watch has moved there
	cancelDiscoveryCall func()     // ends the call to discovery that is out
}

// New reads an assignment, opens the sockets and the module, which is told what an earlier run has left where the
// operators keep that. The driver serves as soon as Run is called.
func New(text []byte, o operator.File) (*Service, error) {
	a, err := parseConfiguration(text)
	if err != nil {
		return nil, err
	}
	told, known := a.settings, a.membership
	debug.SetMemoryLimit(int64(a.Limits.MemoryMB * memoryLimitShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, min(int(a.Limits.Cores+0.5), runtime.NumCPU())))

	v := newService(a, o)
	if v.fleet.datagrams, err = newDatagrams(&a.Assignment, told.Index,
		o.Registry != nil && o.Registry.DriversPrefix != "", &v.counters); err != nil {
		return nil, fmt.Errorf("configuration: peers: %w", err)
	}
	told.Opening.MaxMessages = float64(o.Peers.MessagesPerSecond)
	applyOverrides(told.Opening, o.Fleet)
	v.decider = newDecider(newClock(time.Now), told, v)
	v.registryConfig = o.Registry
	v.roster = roster.New(rosterOptions(o.Registry))
	if o.State != nil {
		v.restoreState(*o.State, told, known)
	} else {
		v.initMembership(known)
	}
	if err := v.openParts(&a, o); err != nil {
		return nil, err
	}
	address, err := net.ResolveTCPAddr("tcp", a.Listen)
	if err == nil {
		v.listener, err = net.ListenTCP("tcp", address)
	}
	if err != nil {
		return nil, fmt.Errorf("configuration: listen: %w", err)
	}
	return v, nil
}

// newService is a driver without its sockets and optional parts.
func newService(a configuration, o operator.File) *Service {
	v := &Service{
		listRequested: make(chan struct{}, 1),
		evictions:     make(chan struct{}, maxEvictions),
		rejections:    make(chan struct{}, maxRejections),
		clients:       clientSet{all: map[*client]bool{}},
		acceptEnded:   make(chan struct{}),
		config:        a,
		discovery:     discovery.Client{Address: a.Discovery, Timeout: discoveryTimeout},
	}
	v.level.Set(o.Log.Level)
	v.log, v.logLines = newLog(o.Log.Format, &v.level, &v.counters.LogLost)
	sockets := a.Limits.Sockets - reservedSockets
	v.clientBudget.available.Store(int64(float64(sockets) * clientSocketShare))
	v.messageBudget.available.Store(int64(a.Limits.MemoryMB * messageMemoryShare * (1 << 20)))
	memberBudget := &budget{}
	memberBudget.available.Store(int64(sockets) - v.clientBudget.available.Load())
	v.pool = &pool{
		connectTimeout:   duration(a.settings.ConnectTimeout),
		idleTimeout:      duration(a.settings.ConnIdleTimeout * idleTimeoutShare),
		budget:           memberBudget,
		counters:         &v.counters,
		log:              v.log,
		healthCheckQuery: "SELECT 1",
		members:          map[string]*poolMember{},
	}
	if a.settings.Opening.ReportsByProbe {
		v.pool.healthCheckQuery = "SHOW usage"
	}
	v.fleet = &fleet{service: v}
	return v
}

// openParts opens what the operators' file switches on.
func (v *Service) openParts(a *configuration, o operator.File) error {
	told := a.settings
	if o.Ledger != nil {
		if err := v.openLedger(*o.Ledger, told.Opening.OpTypes); err != nil {
			return err
		}
	}
	if o.Control != nil {
		if err := v.openControl(*o.Control, told.Index); err != nil {
			return err
		}
	}
	if o.Zones != nil && o.Membership != nil {
		if err := v.openZones(*o.Zones, *o.Membership, a); err != nil {
			return err
		}
	}
	if o.Membership != nil {
		if err := v.fleet.openMesh(*o.Membership, a); err != nil {
			return err
		}
	}
	if v.registryConfig == nil {
		return nil
	}
	if err := v.openRegistry(told.Opening.Drivers, told.Opening.Seed); err != nil {
		return err
	}
	if v.registryConfig.DriversPrefix == "" {
		return nil
	}
	return v.openDriverPresence(a)
}

// announce has the registry tell other drivers of this one, under the address at which they reach it.
func (v *Service) openDriverPresence(a *configuration) error {
	opening, datagrams := a.settings.Opening, v.fleet.datagrams
	address, talks := a.PeerListen, opening.MayMessage && datagrams.conn != nil
	switch {
	case datagrams.conn != nil:
		address = datagrams.conn.LocalAddr().String()
	case v.fleet.mesh != nil:
		address = v.fleet.mesh.Address()
	case address == "":
		address = a.Listen
	}
	if err := v.openPresence(address, opening.Drivers, opening.Seed, talks); err != nil {
		return err
	}
	if talks {
		datagrams.onMessage = v.fleet.presence.messageReceived
	}
	return nil
}

// Run serves until the context ends, then finishes what was taken. The log goes to the writer.
func (v *Service) Run(ctx context.Context, logTo io.Writer) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx)) // what was taken is finished once ctx ends
	logging, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		v.logLines.writeTo(logging, logTo)
		close(logged)
	}()
	v.log.Info("serving", "listen", v.listener.Addr().String())
	var back errgroup.Group
	back.Go(func() error { v.watchDiscovery(life); return nil })
	back.Go(func() error { v.pool.reap(life); return nil })
	back.Go(func() error { v.keepHeadroom(life); return nil })
	if v.registryConfig != nil {
		back.Go(func() error { v.registryWatcher.Run(life); return nil })
		back.Go(func() error { every(life, rosterInterval, v.tickRoster); return nil })
	}
	if v.switchovers != nil {
		back.Go(func() error { return v.switchovers.run(life) })
	}
	v.fleet.run(life, &back)
	if v.zones != nil {
		back.Go(func() error { return v.zones.run(life) })
	}
	if v.stateSaver != nil {
		go v.stateSaver.run(life) // a disk that hangs must not keep the rest from ending
	}
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
	_ = back.Wait() // what failed has been logged
	v.log.Info("stopped", v.counters.attrs()...)
	stopLog()
	select {
	case <-logged:
	case <-time.After(logFlushTimeout): // nobody reads it
	}
	return err
}

// Report puts the counters into the log.
func (v *Service) Report() { v.log.Info("counters", v.counters.attrs()...) }

func (v *Service) stopping() bool { return v.stopRequestedAt.Load() != nil }

func (v *Service) stopTime() time.Time {
	if t := v.stopRequestedAt.Load(); t != nil {
		return *t
	}
	return time.Now()
}

// watch keeps one watch going from each time that the module asks for one until it fails. The next call follows
// an answer at once, so that nothing is missed in between. Where discovery has moved, the old watch is left
// at once, even while it waits, and the new one starts with a whole list, whatever its revision.
func (v *Service) watchDiscovery(ctx context.Context) {
	defer v.discovery.Close()
	whole := v.registryConfig != nil // a list is wanted that does not build on the one held
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.listRequested:
		}
		for {
			call, leave := context.WithCancel(ctx)
			whole = v.takeMove(leave) || whole
			var a discovery.Response
			var err error
			if whole {
				a, err = v.discovery.List(call)
			} else {
				a, err = v.discovery.Watch(call, v.discoveryRevision(), watchTimeout)
			}
			leave()
			if ctx.Err() != nil {
				return
			}
			if err != nil && v.movePending() {
				continue
			}
			if err != nil {
				v.counters.ListsFailed.Add(1)
				v.sourceDisconnected(roster.SourceDiscovery)
				v.log.Warn("list_failed", "error", err)
				v.decider.updateMembership(logic.ListFailed, nil)
				break
			}
			v.counters.Lists.Add(1)
			held := v.discoveryRevision()
			if whole = v.updateMembership(discoveryUpdate(a)) == roster.VerdictGap; whole {
				v.log.Warn("list_went_back", "from", held, "to", a.Revision)
			}
		}
	}
}

// probe, tellPeers, askList and note carry out what the module asks beside ops.
func (v *Service) checkHealth(member string) {
	if v.openHealthChecks.Add(1) > maxHealthChecks {
		v.openHealthChecks.Add(-1)
		return
	}
	v.counters.Probes.Add(1)
	v.healthChecks.Go(func() error {
		defer v.openHealthChecks.Add(-1)
		began := time.Now()
		s := v.pool.newAttempt(member, nil, v.pool.connectTimeout)
		r := s.run()
		v.decider.healthChecked(member, r, time.Since(began))
		if v.switchovers != nil && r.outcome == logic.OK {
			v.switchovers.observeRole(member, r.reportRole)
		}
		return nil
	})
}

func (v *Service) logDecision(text string) { v.log.Info("decided", "text", text) }

func (v *Service) sendToPeers(data []byte) { v.fleet.datagrams.send(data) }

func (v *Service) requestList() {
	select {
	case v.listRequested <- struct{}{}:
	default:
	}
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
