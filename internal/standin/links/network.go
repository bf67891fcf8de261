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
	Blocked   bool          // datagrams are dropped; bytes of connections wait, as TCP retransmits
	Loss      float64       // share of datagrams that are dropped
	Duplicate float64       // share of datagrams that are delivered twice
	Delay     time.Duration // of datagrams and bytes
	Jitter    time.Duration // at most so much beside the delay, drawn for each datagram, which reorders them
	Rate      int           // bytes a second; 0: no limit
}

// direction identifies a link by the indexes of its two processes.
type direction struct{ from, to int }

// Network is the mesh of links between some processes, which are known by their indexes from 0.
type Network struct {
	processes  int
	block      *loopback.Block // has the processes' and the relays' addresses
	relays     []*relay        // by process
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // the relays' goroutines

	mu       sync.Mutex // guards what follows
	links    map[direction]Link
	freeAt   map[direction]time.Time // when a throttled link has forwarded what it was given
	random   *rand.Rand
	recorded [][]byte // the latest datagrams, for Replay
}

const (
	maxProcesses  = 100
	peerPort      = 0 // of a process and of its relay
	servePort     = 1
	maxRecorded   = 256 // datagrams
	firstRelay    = 100 // last byte of the first relay's address
	recheckPeriod = 20 * time.Millisecond
	dialTimeout   = 2 * time.Second
)

// New opens the relays of some processes, 100 at most. The seed decides losses, duplicates and jitter.
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

// ownAddress is where a process listens and from where it sends; its relay forwards to it.
func (n *Network) ownAddress(process int) netip.AddrPort { return n.address(process + 1) }

func (n *Network) relayAddress(process int) netip.AddrPort { return n.address(firstRelay + process) }

// ListenAddr is where a process has to listen for its peers.
func (n *Network) ListenAddr(process int) string { return n.ownAddress(process).String() }

// ServeAddr is where a process may listen for others than its peers. Its port is outside the ephemeral range.
func (n *Network) ServeAddr(process int) string {
	return n.block.Address(process+1, servePort)
}

// AdvertisedAddr is the address that a process has to advertise: peers reach it there by its relay.
func (n *Network) AdvertisedAddr(process int) string { return n.relayAddress(process).String() }

// open listens at all relays' addresses and starts them. An error leaves relays open, which Close closes.
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
	_ = n.block.Close() // a listener that nobody accepts at
}

// Set replaces one direction of one pair; open connections follow it.
func (n *Network) Set(from, to int, link Link) {
	n.mu.Lock()
	n.links[direction{from, to}] = link
	n.mu.Unlock()
	n.relays[from].linkChanged(from, to)
	n.relays[to].linkChanged(from, to)
}

// SetAll replaces every direction.
func (n *Network) SetAll(link func(from, to int) Link) {
	for from := range n.processes {
		for to := range n.processes {
			if from != to {
				n.Set(from, to, link(from, to))
			}
		}
	}
}

// Partition blocks the links between processes of different sides, given by process, and restores those within one.
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

// throttle reserves a link's rate for a number of bytes and gives the time that they have to wait. The lock is held.
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

// Replay sends the latest datagrams once more, as an attacker would who recorded them, and gives their number.
func (n *Network) Replay() int {
	n.mu.Lock()
	recorded := n.recorded
	n.mu.Unlock()
	for i, datagram := range recorded {
		n.relays[i%n.processes].send(datagram)
	}
	return len(recorded)
}

// processAt is the process that an address belongs to, -1 for none.
func (n *Network) processAt(address netip.Addr) int {
	host, ok := n.block.HostOf(address)
	if !ok || host < 1 || host > n.processes {
		return -1
	}
	return host - 1
}
