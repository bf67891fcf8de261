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
	evictions     chan struct{}  // holds a value for each client that is closing after its slot was reassigned
	rejections    chan struct{}  // and for each that is being rejected with an answer
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
// saved, where the operators have state saved. The driver serves as soon as Run is called.
func New(text []byte, operators operator.File) (*Service, error) {
	c, err := parseConfiguration(text)
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB * memoryLimitShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, min(int(c.Limits.Cores+0.5), runtime.NumCPU())))

	s := newService(c, operators)
	if s.fleet.datagrams, err = newDatagrams(&c.Assignment, c.settings.Index,
		operators.Registry != nil && operators.Registry.DriversPrefix != "", &s.counters); err != nil {
		return nil, fmt.Errorf("configuration: peers: %w", err)
	}
	c.settings.Opening.MaxMessages = float64(operators.Peers.MessagesPerSecond)
	applyOverrides(c.settings.Opening, operators.Fleet)
	s.decider = newDecider(newClock(time.Now), c.settings, s)
	s.registryConfig = operators.Registry
	s.roster = roster.New(rosterOptions(operators.Registry))
	if operators.State != nil {
		s.restoreState(*operators.State, c.settings, c.membership)
	} else {
		s.initMembership(c.membership)
	}
	if err := s.openParts(&c, operators); err != nil {
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
func newService(config configuration, operators operator.File) *Service {
	s := &Service{
		config:        config,
		listRequested: make(chan struct{}, 1),
		evictions:     make(chan struct{}, maxEvictions),
		rejections:    make(chan struct{}, maxRejections),
		clients:       clientSet{all: map[*client]bool{}},
		acceptEnded:   make(chan struct{}),
		discovery:     discovery.Client{Address: config.Discovery, Timeout: discoveryTimeout},
	}
	s.level.Set(operators.Log.Level)
	s.log, s.logLines = newLog(operators.Log.Format, &s.level, &s.counters.LogLost)
	sockets := config.Limits.Sockets - reservedSockets
	s.clientBudget.available.Store(int64(float64(sockets) * clientSocketShare))
	s.messageBudget.available.Store(int64(config.Limits.MemoryMB * messageMemoryShare * (1 << 20)))
	memberBudget := &budget{}
	memberBudget.available.Store(int64(sockets) - s.clientBudget.available.Load())
	s.pool = &pool{
		connectTimeout:   duration(config.settings.ConnectTimeout),
		idleTimeout:      duration(config.settings.ConnIdleTimeout * idleTimeoutShare),
		budget:           memberBudget,
		counters:         &s.counters,
		log:              s.log,
		healthCheckQuery: "SELECT 1",
		members:          map[string]*poolMember{},
	}
	if config.settings.Opening.ReportsByProbe {
		s.pool.healthCheckQuery = "SHOW usage"
	}
	s.fleet = &fleet{service: s}
	return s
}

// openParts opens what the operators' file switches on. Zones come before the mesh, which delivers to them, and both
// before the registry, to which the mesh's address is announced.
func (s *Service) openParts(config *configuration, operators operator.File) error {
	opening := config.settings.Opening
	if operators.Ledger != nil {
		if err := s.openLedger(*operators.Ledger, opening.OpTypes); err != nil {
			return err
		}
	}
	if operators.Control != nil {
		if err := s.openControl(*operators.Control, config.settings.Index); err != nil {
			return err
		}
	}
	if operators.Zones != nil && operators.Membership != nil {
		if err := s.openZones(*operators.Zones, *operators.Membership, config); err != nil {
			return err
		}
	}
	if operators.Membership != nil {
		if err := s.fleet.openMesh(*operators.Membership, config); err != nil {
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
	return s.openDriverPresence(config)
}

// openDriverPresence announces this driver to others in the registry, under the address at which they reach it.
func (s *Service) openDriverPresence(config *configuration) error {
	opening, datagrams := config.settings.Opening, s.fleet.datagrams
	address, mayMessage := config.PeerListen, opening.MayMessage && datagrams.conn != nil
	switch {
	case datagrams.conn != nil:
		address = datagrams.conn.LocalAddr().String()
	case s.fleet.mesh != nil:
		address = s.fleet.mesh.Address()
	case address == "":
		address = config.Listen
	}
	if err := s.openPresence(address, opening.Drivers, opening.Seed, mayMessage); err != nil {
		return err
	}
	if mayMessage {
		datagrams.onMessage = s.fleet.presence.messageReceived
	}
	return nil
}
