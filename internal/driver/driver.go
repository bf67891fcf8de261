// Package driver is the service: it stands between clients and members on sockets and puts every op before
// the decision module. This file owns what the driver is told, at its start and on SIGHUP, how its parts are put
// together and how they end. It must never hold state of ops, members or connections.
package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/discovery"
	"weirwind/internal/opening"
	"weirwind/internal/operator"
	"weirwind/internal/registry"
	"weirwind/internal/roster"
	"weirwind/logic"
)

const (
	spareSockets = 32                      // of the limit: listener, peers, discovery, log, poller, connections being turned away
	clientShare  = 0.6                     // of the sockets: ops that are held need a client's and no member's
	memoryShare  = 0.75                    // of the limit: from there on the collector works harder
	bytesShare   = 0.25                    // of the limit, for big messages from clients
	watchWait    = 1500 * time.Millisecond // a connection that fell silent is found out after this
	callTime     = 1700 * time.Millisecond // and that: what discovery has to tell counts as told 2 s after the wait
	probesAtOnce = 64
	logTime      = time.Second // for the last lines of the log
)

// Assignment is what a driver is told at its start.
type Assignment struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	PeerListen string `json:"peer_listen"`
	Peers      []string
	PeersAll   string `json:"peers_all"`
	Known      json.RawMessage
	Told       json.RawMessage `json:"settings"`
}

// file is a configuration that makes sense, and its values by name as they stand in it.
type file struct {
	Assignment
	told   opening.Told
	known  discovery.Answer
	values map[string]json.RawMessage
}

// Service is one driver.
type Service struct {
	log          *slog.Logger
	level        slog.LevelVar
	keep         *keeper // of learned state; nil where none is kept
	count        counters
	decide       *decider
	members      *members
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
	switches  *switches          // nil where the operators switch no control socket on
	registry  *operator.Registry // nil where members come from discovery alone
	following *registry.Watcher
	fellows   *fellows // the other drivers
	zoning    *zoning  // nil where zones are not decided on in common

	moving  sync.Mutex // guards what follows
	movedTo string     // where discovery is now, until the watch has moved there
	leave   func()     // ends the call to discovery that is out
}

// parse reads a configuration, at the start and again on SIGHUP, and refuses one that makes no sense.
func parse(text []byte) (f file, err error) {
	if err = json.Unmarshal(text, &f.Assignment); err == nil {
		err = json.Unmarshal(text, &f.values)
	}
	if err != nil {
		return f, fmt.Errorf("configuration: %v", err)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return f, fmt.Errorf("configuration: seed %q is no hexadecimal number", f.Seed)
	}
	if f.told, err = opening.Parse(f.Told, seed); err != nil {
		return f, fmt.Errorf("configuration: %v", err)
	}
	if f.told.ConnectTimeout <= 0 || f.told.ConnIdle <= 0 {
		return f, errors.New("configuration: settings lack connect_timeout or conn_idle")
	}
	if f.known, err = discovery.Parse(f.Known); err != nil {
		return f, fmt.Errorf("configuration: known %v", err)
	}
	if f.Listen == "" {
		return f, errors.New("configuration: lacks listen")
	}
	if _, _, err = net.SplitHostPort(f.Discovery); err != nil {
		return f, fmt.Errorf("configuration: discovery: %v", err)
	}
	if f.Limits.Sockets < 2*spareSockets || f.Limits.MemoryMB < 16 {
		return f, fmt.Errorf("configuration: limits of %d sockets and %g MB are too low", f.Limits.Sockets,
			f.Limits.MemoryMB)
	}
	return f, nil
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

	v := &Service{watching: make(chan struct{}, 1), leaving: make(chan struct{}, leavers),
		turnAway: make(chan struct{}, turnAways), clients: clients{all: map[*client]bool{}},
		closing: make(chan struct{}), config: a,
		discovery: discovery.Client{Address: a.Discovery, Timeout: callTime}}
	v.level.Set(o.Log.Level)
	v.log, v.lines = newLog(o.Log.Format, &v.level, &v.count.LogLost)
	sockets := a.Limits.Sockets - spareSockets
	v.clientBudget.left.Store(int64(float64(sockets) * clientShare))
	v.bytes.left.Store(int64(a.Limits.MemoryMB * bytesShare * (1 << 20)))
	memberBudget := &budget{}
	memberBudget.left.Store(int64(sockets) - v.clientBudget.left.Load())
	v.members = &members{connectTime: duration(told.ConnectTimeout), idleTime: duration(told.ConnIdle * idleShare),
		budget: memberBudget, count: &v.count, log: v.log, probeQuery: "SELECT 1", hosts: map[string]*host{}}
	if told.Opening.ReportsByProbe {
		v.members.probeQuery = "SHOW usage"
	}
	v.fellows = &fellows{v: v}
	if v.fellows.peers, err = newPeers(&a.Assignment, told.Index,
		o.Registry != nil && o.Registry.DriversPrefix != "", &v.count); err != nil {
		return nil, fmt.Errorf("configuration: peers: %v", err)
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
	if o.Ledger != nil {
		if err := v.openLedger(*o.Ledger, told.Opening.OpTypes); err != nil {
			return nil, err
		}
	}
	if o.Control != nil {
		if err := v.openControl(*o.Control, told.Index); err != nil {
			return nil, err
		}
	}
	if o.Zones != nil && o.Membership != nil {
		if err := v.openZones(*o.Zones, *o.Membership, &a); err != nil {
			return nil, err
		}
	}
	if o.Membership != nil {
		if err := v.fellows.openMesh(*o.Membership, &a); err != nil {
			return nil, err
		}
	}
	if v.registry != nil {
		if err := v.openRegistry(told.Opening.Drivers, told.Opening.Seed); err != nil {
			return nil, err
		}
		if v.registry.DriversPrefix != "" {
			address, talks := a.PeerListen, told.Opening.MayMessage && v.fellows.peers.conn != nil
			if v.fellows.peers.conn != nil {
				address = v.fellows.peers.conn.LocalAddr().String()
			} else if v.fellows.mesh != nil {
				address = v.fellows.mesh.Address()
			} else if address == "" {
				address = a.Listen
			}
			if err := v.openPresence(address, told.Opening.Drivers, told.Opening.Seed, talks); err != nil {
				return nil, err
			}
			if talks {
				v.fellows.peers.heard = v.fellows.present.heard
			}
		}
	}
	address, err := net.ResolveTCPAddr("tcp", a.Listen)
	if err == nil {
		v.listener, err = net.ListenTCP("tcp", address)
	}
	if err != nil {
		return nil, fmt.Errorf("configuration: listen: %v", err)
	}
	return v, nil
}

// Run serves until the context ends, then finishes what was taken. The log goes to the writer.
func (v *Service) Run(ctx context.Context, logTo io.Writer) error {
	life, end := context.WithCancel(context.Background())
	logging, stopLog := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() {
		v.lines.run(logging, logTo)
		close(logged)
	}()
	v.log.Info("serving", "listen", v.listener.Addr().String())
	var back errgroup.Group
	back.Go(func() error { v.watch(life); return nil })
	back.Go(func() error { v.members.reap(life); return nil })
	back.Go(func() error { v.keepRoom(life); return nil })
	if v.registry != nil {
		back.Go(func() error { v.following.Run(life); return nil })
		back.Go(func() error { every(life, rosterTick, v.tick); return nil })
	}
	if v.switches != nil {
		back.Go(func() error { return v.switches.run(life) })
	}
	v.fellows.run(life, &back)
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
	v.group.Wait()
	if v.keep != nil {
		v.keep.finish()
	}
	if v.ledger != nil {
		v.ledger.finish()
	}
	v.decide.close()
	v.probing.Wait()
	end()
	back.Wait()
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

// Reload takes up a configuration that has replaced the one in use. Of its values only the address of discovery
// is one that a running driver changes; a file that makes no sense changes nothing. The operators' file goes with
// it: the log's level, and how often and how much state is saved.
func (v *Service) Reload(text []byte, err error, o operator.File) {
	var f file
	if err == nil {
		f, err = parse(text)
	}
	if err != nil {
		v.count.ReloadsFailed.Add(1)
		v.log.Error("reload_failed", "error", err)
		return
	}
	v.count.Reloads.Add(1)
	if v.keep != nil && o.State != nil {
		v.keep.change(*o.State)
	}
	v.fellows.change(o.Membership)
	v.moving.Lock()
	from, kept := v.config.Discovery, v.config.differs(f)
	if v.config.Discovery = f.Discovery; from != f.Discovery {
		if v.movedTo = f.Discovery; v.leave != nil {
			v.leave()
		}
		v.askList()
	}
	v.moving.Unlock()
	v.log.Info("reloaded", "discovery", f.Discovery, "before", from, "kept", strings.Join(kept, ","))
	v.level.Set(o.Log.Level)
}

// differs names the values that another file has otherwise and that stay as they were up to a restart.
func (f *file) differs(other file) (names []string) {
	for name, value := range other.values {
		switch name {
		case "discovery", "known", "seed": // the list is discovery's to tell, and the seed is new with each start
		default:
			if !bytes.Equal(value, f.values[name]) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// move makes discovery's calls go to where it has moved, and leave end the call that is to come.
func (v *Service) move(leave func()) (moved bool) {
	v.moving.Lock()
	defer v.moving.Unlock()
	if v.leave = leave; v.movedTo == "" {
		return false
	}
	v.discovery.Close()
	v.discovery.Address, v.movedTo = v.movedTo, ""
	return true
}

// moves says whether the call that is out has become moot.
func (v *Service) moves() bool {
	v.moving.Lock()
	defer v.moving.Unlock()
	return v.movedTo != ""
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
				v.lost(roster.Discovery)
				v.log.Warn("list_failed", "error", err)
				v.decide.list(logic.ListFailed, nil)
				break
			}
			v.count.Lists.Add(1)
			held := v.revision()
			if whole = v.told(discoveryUpdate(a)) == roster.Gap; whole {
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

func (v *Service) tellPeers(data []byte) { v.fellows.peers.tell(data) }

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

// Check says what is wrong with a configuration.
func Check(text []byte) error {
	_, err := parse(text)
	return err
}

// shape lays the operators' word on the deployment's shape over the platform's settings. Drivers may be told to
// keep silent where the platform would let them talk, never the other way round.
func shape(o *logic.Opening, f *operator.Fleet) {
	if f == nil {
		return
	}
	if f.Peers != nil {
		o.MayMessage = o.MayMessage && *f.Peers
	}
	if f.Drivers > 0 {
		o.Drivers = f.Drivers
	}
	if f.DrainingBinds != nil {
		o.OnlyDrainBinds = *f.DrainingBinds
	}
}
