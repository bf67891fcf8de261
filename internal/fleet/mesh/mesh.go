// Package mesh carries what internal/fleet/membership decides between drivers: UDP for probes and gossip, TCP for whole
// states, both at one address. Each outgoing socket is bound to the address it listens at, and answers go to the
// address that a peer advertises, never to where a datagram came from.
//
// This file owns the sockets and the lock around the view. It must never decide who lives, wait for a peer with the
// lock held, or let what a stranger sends cost anybody anything but its own connection.
package mesh

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/durable"
	"weirwind/internal/fleet/membership"
)

const (
	callTimeout         = 2 * time.Second
	maxIncomingCalls    = 32 // connections of peers at a time
	maxOutgoingCalls    = 8  // to peers at a time
	maxQueuedExchanges  = 64 // calls that wait for a place
	gossipFanout        = 8  // peers that are told of news at once; they tell others
	gossipInterval      = time.Second
	ticksPerPeriod      = 10
	listenAttempts      = 16
	retainLeft          = 10 * time.Minute // a driver that left is remembered for so long
	maxDrivers          = 20000
	leaveDelay          = 300 * time.Millisecond
	rejectedLogInterval = 30 * time.Second // between two lines on what was refused
)

// Options are what a mesh goes by.
type Options struct {
	Name, Zone      string
	Listen          netip.AddrPort
	Advertise       string // host:port at which peers reach this driver; empty: Listen as it was opened
	Seeds           []string
	Secret          string
	Period          time.Duration
	ExpectedDrivers int           // drivers, before they have agreed on a roster
	TakeoverAfter   time.Duration // see membership.Options
	RandomSeed      uint64
	Run             uint64
	StateDir        string         // where votes outlive the process; empty: nowhere
	Now             func() float64 // milliseconds; never steps
	Log             *slog.Logger

	Gossip func(all bool) *Gossip // goes along with whole states, and else those of late; nil for none
	// ReceiveGossip takes a peer's. asked is when it was asked for it, on Now's clock, and -Inf where it came unasked.
	// changed: it is to be passed on. again: the peer is to be asked at once what it says when asked.
	ReceiveGossip func(g *Gossip, asked float64) (changed, again bool)
	// ReceivePayload takes what a peer sent by Send, and gives what goes back. Nil: nothing is taken.
	ReceivePayload func(from string, what []byte) (back []byte)
	// OnPartitionStatus is told of the standing and the count of drivers, when they change.
	OnPartitionStatus func(membership.PartitionStatus, int)
	// OnEvent sees each note; false keeps it out of the log. Nil: all are logged.
	OnEvent func(note membership.Event) bool
}

// Mesh is a driver's place among its peers.
type Mesh struct {
	options          Options
	udp              *net.UDPConn
	tcp              *net.TCPListener
	datagramCodec    codec
	frameCodec       codec
	exchanges        chan string // addresses to exchange whole states with
	gossipRequests   chan string // and gossip
	wake             chan struct{}
	leaving          atomic.Bool
	rejectedCount    atomic.Int64    // datagrams and frames that could not be taken
	rejectedLoggedAt atomic.Int64    // when that was logged last, milliseconds
	bytesSent        atomic.Int64    // bytes by UDP
	votes            *durable.Latest // nil where nothing is

	notifying sync.Mutex // held while somebody is told of the standing

	mu                sync.Mutex // guards what follows
	view              *membership.Fleet
	partition         membership.PartitionStatus
	count             int
	partitionNotified bool
	period            time.Duration
}

// Open opens the sockets. Peers are spoken to once Run is called.
func Open(o Options) (*Mesh, error) {
	if o.Secret == "" {
		return nil, errors.New("there is no secret")
	}
	m := &Mesh{
		options:        o,
		datagramCodec:  newCodec(o.Secret, "datagram"),
		frameCodec:     newCodec(o.Secret, "frame"),
		exchanges:      make(chan string, maxQueuedExchanges),
		gossipRequests: make(chan string, maxOutgoingCalls),
		wake:           make(chan struct{}, 1),
		period:         o.Period,
	}
	if err := m.listen(o.Listen); err != nil {
		return nil, err
	}
	if m.options.Advertise == "" {
		m.options.Advertise = m.tcp.Addr().String()
	}
	var kept *membership.SavedState
	if o.StateDir != "" {
		var err error
		if m.votes, kept, err = openVotes(o.StateDir); err != nil {
			m.udp.Close()
			m.tcp.Close()
			return nil, err
		}
	}
	rules := membership.Options{
		Period:          milliseconds(o.Period),
		ExpectedDrivers: o.ExpectedDrivers,
		RetainFor:       milliseconds(retainLeft),
		MaxDrivers:      maxDrivers,
		TakeoverAfter:   milliseconds(o.TakeoverAfter),
		Persistent:      m.votes != nil,
		Saved:           kept,
	}
	self := membership.Record{Name: o.Name, Run: o.Run, Address: m.options.Advertise, Zone: o.Zone}
	m.view = membership.New(o.Now(), rules, self, o.Seeds, o.RandomSeed)
	return m, nil
}

// listen opens both sockets at one port. With port 0 the one that UDP got may be taken for TCP: it tries a few.
func (m *Mesh) listen(at netip.AddrPort) (err error) {
	for range listenAttempts {
		if m.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
			return err
		}
		got := m.udp.LocalAddr().(*net.UDPAddr).AddrPort()
		same := netip.AddrPortFrom(got.Addr().Unmap(), got.Port())
		if m.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(same)); err == nil {
			return nil
		}
		if m.udp.Close(); at.Port() != 0 {
			return err
		}
	}
	return err
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Address is the one that peers are told.
func (m *Mesh) Address() string { return m.options.Advertise }

// Close lets go of the sockets of a mesh that does not run.
func (m *Mesh) Close() {
	m.udp.Close()
	m.tcp.Close()
	if m.votes != nil {
		_ = m.votes.Close() // what was appended is on disk
	}
}

// Run is among peers until the context ends, then leaves.
func (m *Mesh) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx)) // it leaves in order once ctx ends
	var all errgroup.Group
	all.Go(func() error { m.receiveLoop(life); return nil })
	all.Go(func() error { m.acceptLoop(life); return nil })
	for range maxOutgoingCalls {
		all.Go(func() error {
			for {
				select {
				case <-life.Done():
					return nil
				case at := <-m.exchanges:
					m.exchangeState(life, at)
				case at := <-m.gossipRequests:
					m.exchangeGossip(life, at)
				}
			}
		})
	}
	all.Go(func() error { m.spreadLoop(life); return nil })
	all.Go(func() error { m.tickLoop(life); return nil })
	<-ctx.Done()
	if !m.leaving.Load() {
		m.Leave()
	}
	time.Sleep(leaveDelay) // the message goes out a few times; nobody waits for this
	end()
	m.Close()
	return all.Wait()
}

// tickLoop lets time go by before the view.
func (m *Mesh) tickLoop(ctx context.Context) {
	m.mu.Lock()
	period := m.period
	m.mu.Unlock()
	tick := time.NewTicker(period / ticksPerPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		m.mu.Lock()
		if m.period != period {
			period = m.period
			tick.Reset(period / ticksPerPeriod)
			m.view.SetPeriod(milliseconds(period))
		}
		out := m.view.Tick(m.options.Now())
		m.apply(out)
	}
}

// apply carries out what was decided and tells of changes. It is called with the lock, and lets go of it. Votes are on
// disk before they are sent, and before anything else is decided.
func (m *Mesh) apply(out membership.Output) {
	if out.Save != nil {
		b, err := encoder.Marshal(out.Save)
		if err == nil {
			err = m.votes.Save(b)
		}
		if err != nil {
			m.options.Log.Warn("membership", "reason", "votes_not_kept", "error", err)
			out.Messages = nil
		}
		m.view.Saved(err == nil)
	}
	standing, _, _ := m.view.PartitionStatus()
	count := m.view.DriverCount()
	changed := !m.partitionNotified || standing != m.partition || count != m.count
	m.partition, m.count, m.partitionNotified = standing, count, true
	m.mu.Unlock()
	for _, n := range out.Events {
		if m.options.OnEvent == nil || m.options.OnEvent(n) {
			m.options.Log.Info("membership", "reason", n.Reason, "name", n.Name, "text", n.Text)
		}
	}
	if changed && m.options.OnPartitionStatus != nil {
		m.notifyPartition()
	}
	for i := range out.Messages {
		m.sendDatagram(&out.Messages[i])
	}
	for _, at := range out.SyncWith {
		select {
		case m.exchanges <- at:
		default: // another one follows
		}
	}
}

// notifyStanding tells of the standing and the count as they are now: of two that tell at once the second has the
// newest.
func (m *Mesh) notifyPartition() {
	m.notifying.Lock()
	defer m.notifying.Unlock()
	m.mu.Lock()
	standing, count := m.partition, m.count
	m.mu.Unlock()
	m.options.OnPartitionStatus(standing, count)
}

// Leave tells peers that this driver goes on purpose.
func (m *Mesh) Leave() {
	m.leaving.Store(true)
	m.mu.Lock()
	m.apply(m.view.Leave(m.options.Now()))
}

// Forget takes a failed driver off the roster; see membership.Fleet.
func (m *Mesh) Forget(name string, certain bool) error {
	m.mu.Lock()
	out, err := m.view.Forget(m.options.Now(), name, certain)
	m.apply(out)
	return err
}

// Change takes other seeds and another period.
func (m *Mesh) Reconfigure(seeds []string, period time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.period = period
	m.view.SetSeeds(seeds)
}
