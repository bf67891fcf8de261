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
	spareSockets = 32
	clientShare  = 0.6                     // of the sockets: ops that are held need a client's and no member's
	memoryShare  = 0.75                    // of the limit: from there on the collector works harder
	bytesShare   = 0.25                    // of the limit, for big messages from clients
	watchWait    = 1500 * time.Millisecond // a connection that fell silent is found out after this
	callTime     = 1700 * time.Millisecond // and that: what discovery has to tell counts as told 2 s after the wait
	probesAtOnce = 64
	logTime      = time.Second // for the last lines of the log
)

// Service is one driver.
type Service struct {
	log          *slog.Logger
	level        slog.LevelVar
	keep         *keeper // of learned state; nil where none is kept
	count        counters
	decide       *decider
	members      *pool
	watching     chan struct{}
	group        errgroup.Group // connections of clients, and sends
	probing      errgroup.Group
	clientBudget budget
	bytes        budget // of big messages from clients
	clients      clients
	leaving      chan struct{} // a place for each that makes room for one already let in
	turnAway     chan struct{} // and for each that is told that there is none
	closing      chan struct{} // closed when no new connection is taken any more
	stopped      atomic.Pointer[time.Time]
	probes       atomic.Int64
	lines        *queue
	listener     *net.TCPListener
	discovery    discovery.Client
	config       file

	listing sync.Mutex // guards what follows
	roster  *roster.Roster

	ledger    *outcomes          // nil where outcomes are not kept
	switches  *switchovers       // nil where the operators switch no control socket on
	registry  *operator.Registry // nil where members come from discovery alone
	following *registry.Watcher
	fleet     *fleet     // the other drivers
	zoning    *zoneAgent // nil where zones are not decided on in common

	moving  sync.Mutex // guards what follows
	movedTo string     // where discovery is now, until the watch has moved there
	leave   func()     // ends the call to discovery that is out
}

// New reads an assignment, opens the sockets and the module, which is told what an earlier run has left where the
// operators keep that. The driver serves as soon as Run is called.
func New(text []byte, o operator.File) (*Service, error) {
	a, err := parse(text)
	if err != nil {
		return nil, err
	}
	told, known := a.told, a.known
	debug.SetMemoryLimit(int64(a.Limits.MemoryMB * memoryShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, min(int(a.Limits.Cores+0.5), runtime.NumCPU())))

	v := newService(a, o)
	if v.fleet.datagrams, err = newDatagrams(&a.Assignment, told.Index,
		o.Registry != nil && o.Registry.DriversPrefix != "", &v.count); err != nil {
		return nil, fmt.Errorf("configuration: peers: %w", err)
	}
	told.Opening.MaxMessages = float64(o.Peers.Messages)
	shape(told.Opening, o.Fleet)
	v.decide = newDecider(newClock(time.Now), told, v)
	v.registry = o.Registry
	v.roster = roster.New(rosterRules(o.Registry))
	if o.State != nil {
		v.begin(*o.State, told, known)
	} else {
		v.start(known)
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
func newService(a file, o operator.File) *Service {
	v := &Service{
		watching:  make(chan struct{}, 1),
		leaving:   make(chan struct{}, leavers),
		turnAway:  make(chan struct{}, turnAways),
		clients:   clients{all: map[*client]bool{}},
		closing:   make(chan struct{}),
		config:    a,
		discovery: discovery.Client{Address: a.Discovery, Timeout: callTime},
	}
	v.level.Set(o.Log.Level)
	v.log, v.lines = newLog(o.Log.Format, &v.level, &v.count.LogLost)
	sockets := a.Limits.Sockets - spareSockets
	v.clientBudget.left.Store(int64(float64(sockets) * clientShare))
	v.bytes.left.Store(int64(a.Limits.MemoryMB * bytesShare * (1 << 20)))
	memberBudget := &budget{}
	memberBudget.left.Store(int64(sockets) - v.clientBudget.left.Load())
	v.members = &pool{
		connectTime: duration(a.told.ConnectTimeout),
		idleTime:    duration(a.told.ConnIdleTimeout * idleShare),
		budget:      memberBudget,
		count:       &v.count,
		log:         v.log,
		probeQuery:  "SELECT 1",
		hosts:       map[string]*host{},
	}
	if a.told.Opening.ReportsByProbe {
		v.members.probeQuery = "SHOW usage"
	}
	v.fleet = &fleet{v: v}
	return v
}

// openParts opens what the operators' file switches on.
func (v *Service) openParts(a *file, o operator.File) error {
	told := a.told
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
	if v.registry == nil {
		return nil
	}
	if err := v.openRegistry(told.Opening.Drivers, told.Opening.Seed); err != nil {
		return err
	}
	if v.registry.DriversPrefix == "" {
		return nil
	}
	return v.announce(a)
}

// announce has the registry tell other drivers of this one, under the address at which they reach it.
func (v *Service) announce(a *file) error {
	opening, datagrams := a.told.Opening, v.fleet.datagrams
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
		datagrams.heard = v.fleet.presence.heard
	}
	return nil
}

// Run serves until the context ends, then finishes what was taken. The log goes to the writer.
func (v *Service) Run(ctx context.Context, logTo io.Writer) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx)) // what was taken is finished once ctx ends
	logging, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		v.lines.run(logging, logTo)
		close(logged)
	}()
	v.log.Info("serving", "listen", v.listener.Addr().String())
	var back errgroup.Group
	back.Go(func() error { v.watch(life); return nil })
	back.Go(func() error { v.members.reap(life); return nil })
	back.Go(func() error { v.keepRoomLoop(life); return nil })
	if v.registry != nil {
		back.Go(func() error { v.following.Run(life); return nil })
		back.Go(func() error { every(life, rosterTick, v.tick); return nil })
	}
	if v.switches != nil {
		back.Go(func() error { return v.switches.run(life) })
	}
	v.fleet.run(life, &back)
	if v.zoning != nil {
		back.Go(func() error { return v.zoning.run(life) })
	}
	if v.keep != nil {
		go v.keep.run(life) // a disk that hangs must not keep the rest from ending
	}
	stop := context.AfterFunc(ctx, func() {
		now := time.Now()
		v.stopped.Store(&now)
		v.log.Info("stopping", v.count.attrs()...)
	})
	defer stop()
	err := v.accept(ctx, v.listener)
	_ = v.group.Wait() // its functions return no error
	if v.keep != nil {
		v.keep.finish()
	}
	if v.ledger != nil {
		v.ledger.finish()
	}
	v.decide.close()
	_ = v.probing.Wait() // likewise
	end()
	_ = back.Wait() // what failed has been logged
	v.log.Info("stopped", v.count.attrs()...)
	stopLog()
	select {
	case <-logged:
	case <-time.After(logTime): // nobody reads it
	}
	return err
}

// Report puts the counters into the log.
func (v *Service) Report() { v.log.Info("counters", v.count.attrs()...) }

func (v *Service) stopping() bool { return v.stopped.Load() != nil }

func (v *Service) stoppedAt() time.Time {
	if t := v.stopped.Load(); t != nil {
		return *t
	}
	return time.Now()
}

// watch keeps one watch going from each time that the module asks for one until it fails. The next call follows
// an answer at once, so that nothing is missed in between. Where discovery has moved, the old watch is left
// at once, even while it waits, and the new one starts with a whole list, whatever its revision.
func (v *Service) watch(ctx context.Context) {
	defer v.discovery.Close()
	whole := v.registry != nil // a list is wanted that does not build on the one held
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.watching:
		}
		for {
			call, leave := context.WithCancel(ctx)
			whole = v.move(leave) || whole
			var a discovery.Answer
			var err error
			if whole {
				a, err = v.discovery.List(call)
			} else {
				a, err = v.discovery.Watch(call, v.revision(), watchWait)
			}
			leave()
			if ctx.Err() != nil {
				return
			}
			if err != nil && v.moves() {
				continue
			}
			if err != nil {
				v.count.ListsFailed.Add(1)
				v.lost(roster.SourceDiscovery)
				v.log.Warn("list_failed", "error", err)
				v.decide.list(logic.ListFailed, nil)
				break
			}
			v.count.Lists.Add(1)
			held := v.revision()
			if whole = v.told(discoveryUpdate(a)) == roster.VerdictGap; whole {
				v.log.Warn("list_went_back", "from", held, "to", a.Revision)
			}
		}
	}
}

// probe, tellPeers, askList and note carry out what the module asks beside ops.
func (v *Service) probe(member string) {
	if v.probes.Add(1) > probesAtOnce {
		v.probes.Add(-1)
		return
	}
	v.count.Probes.Add(1)
	v.probing.Go(func() error {
		defer v.probes.Add(-1)
		began := time.Now()
		s := v.members.send(member, nil, v.members.connectTime)
		r := s.run()
		v.decide.probed(member, r, time.Since(began))
		if v.switches != nil && r.outcome == logic.OK {
			v.switches.role(member, r.reportRole)
		}
		return nil
	})
}

func (v *Service) note(text string) { v.log.Info("decided", "text", text) }

func (v *Service) tellPeers(data []byte) { v.fleet.datagrams.tell(data) }

func (v *Service) askList() {
	select {
	case v.watching <- struct{}{}:
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
