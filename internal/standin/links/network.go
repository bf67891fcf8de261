package links

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"weirwind/internal/standin/loopback"
)

// Link is one direction of one pair of processes. The zero Link forwards everything at once.
type Link struct {
	Blocked   bool          // datagrams are dropped; bytes of TCP connections wait, as TCP would retransmit them
	Loss      float64       // fraction of datagrams that are dropped
	Duplicate float64       // fraction of datagrams that are delivered twice
	Delay     time.Duration // of datagrams and bytes
	Jitter    time.Duration // maximum of a random delay added for each datagram, which reorders them
	Rate      int           // bytes a second; 0: no limit
}

// direction identifies a link by the indexes of its two processes.
type direction struct{ from, to int }

// Network is the mesh of links between processes, which are identified by their indexes from 0.
type Network struct {
	processes  int
	block      *loopback.Block // has the processes' and the relays' addresses
	relays     []*relay        // by process
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // the relays' goroutines

	mu       sync.Mutex // guards the fields below
	links    map[direction]Link
	freeAt   map[direction]time.Time // when a throttled link will have forwarded all bytes so far
	random   *rand.Rand
	recorded [][]byte // the latest datagrams, for Replay
}

const (
	maxProcesses  = 100
	peerPort      = 0   // port index at which a process and its relay listen for peers
	servePort     = 1   // port index of ServeAddr
	maxRecorded   = 256 // datagrams
	firstRelay    = 100 // last byte of the first relay's address
	recheckPeriod = 20 * time.Millisecond
	dialTimeout   = 2 * time.Second
)

// New opens the relays of a number of processes, at most 100. The seed determines losses, duplicates and jitter.
func New(processes int, seed uint64) (*Network, error) {
	if processes > maxProcesses {
		return nil, fmt.Errorf("%d processes; %d at most", processes, maxProcesses)
	}
	block, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	n := &Network{
		processes: processes,
		block:     block,
		links:     map[direction]Link{},
		freeAt:    map[direction]time.Time{},
		random:    rand.New(rand.NewPCG(seed, 21)),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.open(); err != nil {
		n.Close()
		return nil, err
	}
	return n, nil
}

func (n *Network) address(host int) netip.AddrPort {
	return netip.MustParseAddrPort(n.block.Address(host, peerPort))
}

// ownAddress returns the address at which a process listens and from which it sends. Its relay forwards to it.
func (n *Network) ownAddress(process int) netip.AddrPort { return n.address(process + 1) }

func (n *Network) relayAddress(process int) netip.AddrPort { return n.address(firstRelay + process) }

// ListenAddr returns the address at which a process has to listen for its peers.
func (n *Network) ListenAddr(process int) string { return n.ownAddress(process).String() }

// ServeAddr returns the address at which a process may listen for clients other than its peers. Its port is outside the
// ephemeral range.
func (n *Network) ServeAddr(process int) string {
	return n.block.Address(process+1, servePort)
}

// AdvertisedAddr returns the address that a process has to advertise: that of its relay.
func (n *Network) AdvertisedAddr(process int) string { return n.relayAddress(process).String() }

// open listens at all relays' addresses and starts the relays. After an error some relays are open, until Close.
func (n *Network) open() error {
	for process := range n.processes {
		r := &relay{network: n, process: process, connections: map[*connection]bool{}}
		addr := n.relayAddress(process)
		var err error
		if r.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr)); err != nil {
			return err
		}
		n.relays = append(n.relays, r)
		if r.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr)); err != nil {
			return err
		}
	}
	for _, r := range n.relays {
		n.goroutines.Go(r.forwardDatagrams)
		n.goroutines.Go(r.acceptConnections)
	}
	return nil
}

// Close ends all relays and their connections.
func (n *Network) Close() {
	n.cancel()
	for _, r := range n.relays {
		r.close()
	}
	n.goroutines.Wait()
	_ = n.block.Close() // its listener accepts no connections
}

// Set replaces the link of one direction of one pair. It applies to open connections too.
func (n *Network) Set(from, to int, link Link) {
	n.mu.Lock()
	n.links[direction{from, to}] = link
	n.mu.Unlock()
	n.relays[from].linkChanged(from, to)
	n.relays[to].linkChanged(from, to)
}

// SetAll replaces all links.
func (n *Network) SetAll(link func(from, to int) Link) {
	for from := range n.processes {
		for to := range n.processes {
			if from != to {
				n.Set(from, to, link(from, to))
			}
		}
	}
}

// Partition blocks the links between processes on different sides and restores those within a side. sides has the side
// of each process.
func (n *Network) Partition(sides ...int) {
	n.SetAll(func(from, to int) Link { return Link{Blocked: sides[from] != sides[to]} })
}

// Heal restores every link.
func (n *Network) Heal() { n.SetAll(func(from, to int) Link { return Link{} }) }

func (n *Network) link(from, to int) Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[direction{from, to}]
}

// throttle reserves capacity of a rate-limited link for a number of bytes, and returns how long they have to wait. The
// caller holds the lock.
func (n *Network) throttle(from, to int, link Link, bytes int) time.Duration {
	if link.Rate <= 0 {
		return 0
	}
	now := time.Now()
	key := direction{from, to}
	start := n.freeAt[key]
	if start.Before(now) {
		start = now
	}
	n.freeAt[key] = start.Add(time.Duration(float64(bytes) / float64(link.Rate) * float64(time.Second)))
	return start.Sub(now)
}

// Replay resends the latest datagrams, as an attacker who recorded them would, and returns their number.
func (n *Network) Replay() int {
	n.mu.Lock()
	recorded := n.recorded
	n.mu.Unlock()
	for i, datagram := range recorded {
		n.relays[i%n.processes].send(datagram)
	}
	return len(recorded)
}

// processAt returns the process that an address belongs to, -1 if there is none.
func (n *Network) processAt(address netip.Addr) int {
	host, ok := n.block.HostOf(address)
	if !ok || host < 1 || host > n.processes {
		return -1
	}
	return host - 1
}
