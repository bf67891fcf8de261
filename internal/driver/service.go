package driver

import (
	"fmt"
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
)

const (
	// reservedSockets of the limit are the listener, peers, discovery, log, poller, and connections being rejected.
	reservedSockets    = 32
	clientSocketShare  = 0.6  // of the sockets: an op that is held needs its client's and no member's
	memoryLimitShare   = 0.75 // of the limit: from there on the garbage collector works harder
	messageMemoryShare = 0.25 // of the limit, for large messages of clients
)

// Service is one driver.
type Service struct {
	config   configuration // its Discovery is under discoveryMu
	log      *slog.Logger
	level    slog.LevelVar
	logLines *logQueue
	counters counters

	decider *decider
	pool    *pool
	fleet   *fleet // the other drivers

	listener      *net.TCPListener
	clients       clientSet
	clientBudget  budget         // of connections
	messageBudget budget         // of bytes of large messages from clients
	inFlight      errgroup.Group // clients' connections, and attempts
	evictions     chan struct{}  // holds a place for each client that is closing after it was reassigned
	rejections    chan struct{}  // and for each that is being told that there is no room
	acceptEnded   chan struct{}  // closed when no new connection is accepted any more

	stopRequestedAt atomic.Pointer[time.Time] // nil until then

	healthChecks     errgroup.Group
	openHealthChecks atomic.Int64

	rosterMu sync.Mutex // guards what follows, and the order in which its changes are published
	roster   *roster.Roster

	discovery           discovery.Client // the watching goroutine's
	listRequested       chan struct{}    // holds one request
	discoveryMu         sync.Mutex       // guards what follows
	newDiscovery        string           // where discovery has moved, until the watch follows; else empty
	cancelDiscoveryCall func()           // ends the call that is out; nil before the first

	// What the operators' file switches on; nil where it doesn't.
	stateSaver      *stateSaver
	ledger          *opLedger
	switchovers     *switchovers
	zones           *zoneAgent
	registryConfig  *operator.Registry
	registryWatcher *registry.Watcher
}

// New reads a configuration, opens the sockets and the decision module, and restores the state that an earlier run
// saved, where the operators have that kept. The driver serves as soon as Run is called.
func New(text []byte, o operator.File) (*Service, error) {
	c, err := parseConfiguration(text)
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB * memoryLimitShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, min(int(c.Limits.Cores+0.5), runtime.NumCPU())))

	s := newService(c, o)
	if s.fleet.datagrams, err = newDatagrams(&c.Assignment, c.settings.Index,
		o.Registry != nil && o.Registry.DriversPrefix != "", &s.counters); err != nil {
		return nil, fmt.Errorf("configuration: peers: %w", err)
	}
	c.settings.Opening.MaxMessages = float64(o.Peers.MessagesPerSecond)
	applyOverrides(c.settings.Opening, o.Fleet)
	s.decider = newDecider(newClock(time.Now), c.settings, s)
	s.registryConfig = o.Registry
	s.roster = roster.New(rosterOptions(o.Registry))
	if o.State != nil {
		s.restoreState(*o.State, c.settings, c.membership)
	} else {
		s.initMembership(c.membership)
	}
	if err := s.openParts(&c, o); err != nil {
		return nil, err
	}
	address, err := net.ResolveTCPAddr("tcp", c.Listen)
	if err == nil {
		s.listener, err = net.ListenTCP("tcp", address)
	}
	if err != nil {
		return nil, fmt.Errorf("configuration: listen: %w", err)
	}
	return s, nil
}

// newService is a driver without its sockets and optional parts.
func newService(c configuration, o operator.File) *Service {
	s := &Service{
		config:        c,
		listRequested: make(chan struct{}, 1),
		evictions:     make(chan struct{}, maxEvictions),
		rejections:    make(chan struct{}, maxRejections),
		clients:       clientSet{all: map[*client]bool{}},
		acceptEnded:   make(chan struct{}),
		discovery:     discovery.Client{Address: c.Discovery, Timeout: discoveryTimeout},
	}
	s.level.Set(o.Log.Level)
	s.log, s.logLines = newLog(o.Log.Format, &s.level, &s.counters.LogLost)
	sockets := c.Limits.Sockets - reservedSockets
	s.clientBudget.available.Store(int64(float64(sockets) * clientSocketShare))
	s.messageBudget.available.Store(int64(c.Limits.MemoryMB * messageMemoryShare * (1 << 20)))
	memberBudget := &budget{}
	memberBudget.available.Store(int64(sockets) - s.clientBudget.available.Load())
	s.pool = &pool{
		connectTimeout:   duration(c.settings.ConnectTimeout),
		idleTimeout:      duration(c.settings.ConnIdleTimeout * idleTimeoutShare),
		budget:           memberBudget,
		counters:         &s.counters,
		log:              s.log,
		healthCheckQuery: "SELECT 1",
		members:          map[string]*poolMember{},
	}
	if c.settings.Opening.ReportsByProbe {
		s.pool.healthCheckQuery = "SHOW usage"
	}
	s.fleet = &fleet{service: s}
	return s
}

// openParts opens what the operators' file switches on. Zones come before the mesh, which delivers to them, and both
// before the registry, to which the mesh's address is announced.
func (s *Service) openParts(c *configuration, o operator.File) error {
	opening := c.settings.Opening
	if o.Ledger != nil {
		if err := s.openLedger(*o.Ledger, opening.OpTypes); err != nil {
			return err
		}
	}
	if o.Control != nil {
		if err := s.openControl(*o.Control, c.settings.Index); err != nil {
			return err
		}
	}
	if o.Zones != nil && o.Membership != nil {
		if err := s.openZones(*o.Zones, *o.Membership, c); err != nil {
			return err
		}
	}
	if o.Membership != nil {
		if err := s.fleet.openMesh(*o.Membership, c); err != nil {
			return err
		}
	}
	if s.registryConfig == nil {
		return nil
	}
	if err := s.openRegistry(opening.Drivers, opening.Seed); err != nil {
		return err
	}
	if s.registryConfig.DriversPrefix == "" {
		return nil
	}
	return s.openDriverPresence(c)
}

// openDriverPresence announces this driver to others in the registry, under the address at which they reach it.
func (s *Service) openDriverPresence(c *configuration) error {
	opening, datagrams := c.settings.Opening, s.fleet.datagrams
	address, mayMessage := c.PeerListen, opening.MayMessage && datagrams.conn != nil
	switch {
	case datagrams.conn != nil:
		address = datagrams.conn.LocalAddr().String()
	case s.fleet.mesh != nil:
		address = s.fleet.mesh.Address()
	case address == "":
		address = c.Listen
	}
	if err := s.openPresence(address, opening.Drivers, opening.Seed, mayMessage); err != nil {
		return err
	}
	if mayMessage {
		datagrams.onMessage = s.fleet.presence.messageReceived
	}
	return nil
}
