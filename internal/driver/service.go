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
	// reservedSockets are kept for the listener, peers, discovery, log, poller, and connections being rejected.
	reservedSockets    = 32
	clientSocketShare  = 0.6  // share of the sockets for clients: a queued op has its client's, but none to a member
	memoryLimitShare   = 0.75 // share of the limit from which the garbage collector works harder
	messageMemoryShare = 0.25 // share of the limit for large messages of clients
)

// Service is a driver.
type Service struct {
	config   configuration // its Discovery is guarded by discoveryMu
	log      *slog.Logger
	level    slog.LevelVar
	logLines *logQueue
	counters counters

	decider *decider
	pool    *pool
	fleet   *fleet // the other drivers

	listener      *net.TCPListener
	clients       clientSet
	clientBudget  budget         // client connections
	messageBudget budget         // bytes of large messages from clients
	inFlight      errgroup.Group // client connections and attempts
	evictions     chan struct{}  // holds a value for each closing client whose slot was reassigned
	rejections    chan struct{}  // holds a value for each client that is being rejected with an answer
	acceptEnded   chan struct{}  // closed when no more connections are accepted

	stopRequestedAt atomic.Pointer[time.Time] // nil until a stop is requested

	healthChecks     errgroup.Group
	openHealthChecks atomic.Int64

	rosterMu sync.Mutex // guards what follows, and the order in which its changes are published
	roster   *roster.Roster

	discovery           discovery.Client // used by the watching goroutine only
	listRequested       chan struct{}    // buffers one request
	discoveryMu         sync.Mutex       // guards what follows
	newDiscoveryAddress string           // address that the watch is to switch to; else empty
	cancelDiscoveryCall func()           // ends the current call; nil before the first

	// Optional parts, enabled in the operators' file; nil if disabled.
	stateSaver      *stateSaver
	ledger          *opLedger
	switchovers     *switchovers
	zones           *zoneAgent
	registryConfig  *operator.Registry
	registryWatcher *registry.Watcher
}

// New parses a configuration, opens the sockets and the decision module, and restores the state that an earlier run
// saved, if the operators have enabled that. The driver serves once Run is called.
func New(text []byte, operators operator.File) (*Service, error) {
	config, err := parseConfiguration(text)
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(int64(config.Limits.MemoryMB * memoryLimitShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, min(int(config.Limits.Cores+0.5), runtime.NumCPU())))

	s := newService(config, operators)
	if s.fleet.datagrams, err = newDatagrams(&config.Assignment, config.settings.Index,
		operators.Registry != nil && operators.Registry.DriversPrefix != "", &s.counters); err != nil {
		return nil, fmt.Errorf("configuration: peers: %w", err)
	}
	config.settings.Opening.MaxMessages = float64(operators.Peers.MessagesPerSecond)
	applyOverrides(config.settings.Opening, operators.Fleet)
	s.decider = newDecider(newClock(time.Now), config.settings, s)
	s.registryConfig = operators.Registry
	s.roster = roster.New(rosterOptions(operators.Registry))
	if operators.State != nil {
		s.restoreState(*operators.State, config.settings, config.membership)
	} else {
		s.initMembership(config.membership)
	}
	if err := s.openParts(&config, operators); err != nil {
		return nil, err
	}
	address, err := net.ResolveTCPAddr("tcp", config.Listen)
	if err == nil {
		s.listener, err = net.ListenTCP("tcp", address)
	}
	if err != nil {
		return nil, fmt.Errorf("configuration: listen: %w", err)
	}
	return s, nil
}

// newService returns a driver without its sockets and optional parts.
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
	s.log, s.logLines = newLogger(operators.Log.Format, &s.level, &s.counters.LogLost)
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

// openParts opens the parts that the operators' file enables. Zones are opened before the mesh, which delivers messages
// to them, and both before the registry, in which the mesh's address is announced.
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

// openDriverPresence announces this driver in the registry, with the address at which other drivers reach it.
func (s *Service) openDriverPresence(config *configuration) error {
	opening, datagrams := config.settings.Opening, s.fleet.datagrams
	address, messagesAllowed := config.PeerListen, opening.MayMessage && datagrams.conn != nil
	switch {
	case datagrams.conn != nil:
		address = datagrams.conn.LocalAddr().String()
	case s.fleet.mesh != nil:
		address = s.fleet.mesh.Address()
	case address == "":
		address = config.Listen
	}
	if err := s.openPresence(address, opening.Drivers, opening.Seed, messagesAllowed); err != nil {
		return err
	}
	if messagesAllowed {
		datagrams.onMessage = s.fleet.presence.messageReceived
	}
	return nil
}
