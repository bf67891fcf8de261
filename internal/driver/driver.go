// Package driver is the service: it stands between clients and members on sockets and puts every op before
// the decision module. This file owns what the driver is told at its start, how its parts are put together
// and how they end. It must never hold state of ops, members or connections.
package driver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/discovery"
	"weirwind/internal/opening"
	"weirwind/logic"
)

const (
	spareSockets = 32   // of the limit: listener, peers, discovery, log, poller, connections being turned away
	clientShare  = 0.6  // of the sockets: ops that are held need a client's and no member's
	memoryShare  = 0.75 // of the limit: from there on the collector works harder
	bytesShare   = 0.25 // of the limit, for big messages from clients
	watchWait    = 20 * time.Second
	callTime     = 2500 * time.Millisecond // beyond the wait: discovery itself gives up sooner
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

// Service is one driver.
type Service struct {
	log          logger
	count        counters
	decide       *decider
	members      *members
	peers        *peers
	watching     chan struct{}
	group        errgroup.Group // connections of clients, and sends
	probing      errgroup.Group
	clientBudget budget
	bytes        budget // of big messages from clients
	turnAway     chan struct{}
	closing      chan struct{} // closed when no new connection is taken any more
	stopped      atomic.Pointer[time.Time]
	probes       atomic.Int64
	lines        *queue
	listener     *net.TCPListener
	discovery    discovery.Client
	revision     int64
}

type logger = *log.Logger

// New reads an assignment, opens the sockets and the module. The driver serves as soon as Run is called.
func New(text []byte) (*Service, error) {
	var a Assignment
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, fmt.Errorf("configuration: %v", err)
	}
	seed, err := strconv.ParseUint(a.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("configuration: seed %q is no hexadecimal number", a.Seed)
	}
	told, err := opening.Parse(a.Told, seed)
	if err != nil {
		return nil, fmt.Errorf("configuration: %v", err)
	}
	if told.ConnectTimeout <= 0 || told.ConnIdle <= 0 {
		return nil, errors.New("configuration: settings lack connect_timeout or conn_idle")
	}
	known, err := discovery.Parse(a.Known)
	if err != nil {
		return nil, fmt.Errorf("configuration: known %v", err)
	}
	if a.Listen == "" || a.Discovery == "" {
		return nil, errors.New("configuration: lacks listen or discovery")
	}
	if a.Limits.Sockets < 2*spareSockets || a.Limits.MemoryMB < 16 {
		return nil, fmt.Errorf("configuration: limits of %d sockets and %g MB are too low", a.Limits.Sockets,
			a.Limits.MemoryMB)
	}
	debug.SetMemoryLimit(int64(a.Limits.MemoryMB * memoryShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, min(int(a.Limits.Cores+0.5), runtime.NumCPU())))

	v := &Service{watching: make(chan struct{}, 1), turnAway: make(chan struct{}, turnAways),
		closing: make(chan struct{}), revision: known.Revision,
		discovery: discovery.Client{Address: a.Discovery, Timeout: callTime}}
	v.log, v.lines = newLog(&v.count.LogLost)
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
	if v.peers, err = newPeers(&a, told.Index, &v.count); err != nil {
		return nil, fmt.Errorf("configuration: peers: %v", err)
	}
	v.decide = newDecider(newClock(time.Now), told, v)
	v.apply(known, logic.ListCached)
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
	v.log.Printf("event=serving listen=%s", v.listener.Addr())
	var back errgroup.Group
	back.Go(func() error { v.watch(life); return nil })
	back.Go(func() error { v.members.reap(life); return nil })
	if v.peers.conn != nil {
		back.Go(func() error { v.peers.write(life); return nil })
		back.Go(func() error { v.peers.read(life, v.decide); return nil })
	}
	stop := context.AfterFunc(ctx, func() {
		now := time.Now()
		v.stopped.Store(&now)
		v.log.Printf("event=stopping%s", &v.count)
	})
	defer stop()
	err := v.accept(ctx, v.listener)
	v.group.Wait()
	v.decide.close()
	v.probing.Wait()
	end()
	back.Wait()
	v.log.Printf("event=stopped%s", &v.count)
	stopLog()
	select {
	case <-logged:
	case <-time.After(logTime): // nobody reads it
	}
	return err
}

// Report puts the counters into the log.
func (v *Service) Report() { v.log.Printf("event=counters%s", &v.count) }

func (v *Service) stopping() bool { return v.stopped.Load() != nil }

func (v *Service) stoppedAt() time.Time {
	if t := v.stopped.Load(); t != nil {
		return *t
	}
	return time.Now()
}

// apply gives a list, or changes of it, to those who go by it: addresses first, so that sends find them.
func (v *Service) apply(a discovery.Answer, kind logic.ListKind) {
	v.members.list(a.Members)
	v.decide.list(kind, a.Members)
}

// watch keeps one watch going from each time that the module asks for one until it fails. The next call follows
// an answer at once, so that nothing is missed in between.
func (v *Service) watch(ctx context.Context) {
	defer v.discovery.Close()
	whole := false // a list is wanted that does not build on the one held
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.watching:
		}
		for {
			var a discovery.Answer
			var err error
			if whole {
				a, err = v.discovery.List(ctx)
			} else {
				a, err = v.discovery.Watch(ctx, v.revision, watchWait)
			}
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				v.count.ListsFailed.Add(1)
				v.log.Printf("event=list_failed error=%q", err)
				v.decide.list(logic.ListFailed, nil)
				break
			}
			v.count.Lists.Add(1)
			if whole = !a.Complete && a.Revision < v.revision; whole {
				v.log.Printf("event=list_went_back from=%d to=%d", v.revision, a.Revision)
				continue
			}
			v.revision = a.Revision
			if a.Complete {
				v.apply(a, logic.ListFull)
			} else if len(a.Members) > 0 {
				v.apply(a, logic.ListChanges)
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
		v.decide.probed(member, s.run(), time.Since(began))
		return nil
	})
}

func (v *Service) note(text string) { v.log.Printf("event=decided text=%q", text) }

func (v *Service) tellPeers(data []byte) { v.peers.tell(data) }

func (v *Service) askList() {
	select {
	case v.watching <- struct{}{}:
	default:
	}
}
