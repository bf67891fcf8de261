package mesh

// This file implements the mesh's sockets, goroutines and the lock around the view.

import (
	"context"
	"errors"
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
	maxQueuedExchanges = 64 // addresses that wait for a snapshot exchange
	listenAttempts     = 16
	leaveDelay         = 300 * time.Millisecond // between Leave and closing the sockets
)

var errNoSecret = errors.New("no fleet secret is set")

// Mesh connects a driver with its peers. It is safe for concurrent use.
type Mesh struct {
	options       Options
	udp           *net.UDPConn
	tcp           *net.TCPListener
	datagramCodec codec
	frameCodec    codec
	votes         *durable.Latest // stores votes; nil if they do not survive a restart

	exchanges      chan string   // addresses to exchange snapshots with
	gossipRequests chan string   // addresses to exchange gossip with
	wake           chan struct{} // signals that there is gossip to spread

	leaving          atomic.Bool
	rejectedCount    atomic.Int64 // number of rejected datagrams and frames
	rejectedLoggedAt atomic.Int64 // when rejections were last logged, milliseconds by Options.Now; 0: never
	bytesSent        atomic.Int64 // over UDP

	notifying sync.Mutex // held during OnPartitionStatus; never taken with mu held

	mu                sync.Mutex // guards the fields below
	view              *membership.Fleet
	period            time.Duration              // wanted probe period; tickLoop applies it to the view
	partition         membership.PartitionStatus // as of the last step
	drivers           int                        // as of the last step
	partitionNotified bool                       // set by the first step
}

// Open opens the sockets and returns the mesh. No peer is contacted before Run.
func Open(o Options) (*Mesh, error) {
	if o.Secret == "" {
		return nil, errNoSecret
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
	var saved *membership.SavedState
	if o.StateDir != "" {
		var err error
		if m.votes, saved, err = openVotes(o.StateDir); err != nil {
			m.udp.Close()
			m.tcp.Close()
			return nil, err
		}
	}
	self := membership.Record{Name: o.Name, Run: o.Run, Address: m.options.Advertise, Zone: o.Zone}
	m.view = membership.New(o.Now(), o.membershipOptions(m.votes != nil, saved), self, o.Seeds, o.RandomSeed)
	return m, nil
}

// listen opens both sockets at one port. With port 0 the port chosen for UDP may be in use for TCP, so it retries.
func (m *Mesh) listen(address netip.AddrPort) (err error) {
	for range listenAttempts {
		if m.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err != nil {
			return err
		}
		udpAddress := m.udp.LocalAddr().(*net.UDPAddr).AddrPort()
		tcpAddress := netip.AddrPortFrom(udpAddress.Addr().Unmap(), udpAddress.Port())
		if m.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(tcpAddress)); err == nil {
			return nil
		}
		if m.udp.Close(); address.Port() != 0 {
			return err
		}
	}
	return err
}

// Address returns the address that is advertised to peers.
func (m *Mesh) Address() string { return m.options.Advertise }

// Close closes the sockets and the vote store of a mesh that does not run.
func (m *Mesh) Close() {
	m.udp.Close()
	m.tcp.Close()
	if m.votes != nil {
		_ = m.votes.Close() // saved votes are on disk already
	}
}

// Run runs the mesh until the context ends, then leaves, closes the mesh and returns once all goroutines have ended.
func (m *Mesh) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx)) // outlives ctx, so that the driver leaves gracefully
	var loops errgroup.Group
	start := func(loop func(context.Context)) {
		loops.Go(func() error { loop(running); return nil })
	}
	start(m.receiveLoop)
	start(m.acceptLoop)
	for range maxOutgoingCalls {
		start(m.callLoop)
	}
	start(m.spreadLoop)
	start(m.tickLoop)
	<-ctx.Done()
	if !m.leaving.Load() {
		m.Leave()
	}
	time.Sleep(leaveDelay) // time to send the leave message several times
	stop()
	m.Close()
	return loops.Wait()
}

// tickLoop ticks the view until the context ends.
func (m *Mesh) tickLoop(ctx context.Context) {
	m.mu.Lock()
	period := m.period
	m.mu.Unlock()
	ticker := time.NewTicker(period / ticksPerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.step(func(view *membership.Fleet) membership.Output {
			if m.period != period {
				period = m.period
				ticker.Reset(period / ticksPerPeriod)
				view.SetPeriod(milliseconds(period))
			}
			return view.Tick(m.options.Now())
		})
	}
}

// step runs a decision of the view with the lock held, and carries out its output. Votes are on disk before they are
// sent, and before the next decision.
func (m *Mesh) step(decide func(view *membership.Fleet) membership.Output) {
	m.mu.Lock()
	out := decide(m.view)
	if out.Save != nil && !m.save(out.Save) {
		out.Messages = nil
	}
	partition, _, _ := m.view.PartitionStatus()
	drivers := m.view.DriverCount()
	changed := !m.partitionNotified || partition != m.partition || drivers != m.drivers
	m.partition, m.drivers, m.partitionNotified = partition, drivers, true
	m.mu.Unlock()
	m.logEvents(out.Events)
	if changed && m.options.OnPartitionStatus != nil {
		m.notifyPartition()
	}
	for i := range out.Messages {
		m.sendDatagram(&out.Messages[i])
	}
	for _, address := range out.SyncWith {
		select {
		case m.exchanges <- address:
		default: // the queue is full; membership requests a later exchange
		}
	}
}

// save writes votes to disk and reports the result to the view. The caller holds the lock.
func (m *Mesh) save(state *membership.SavedState) bool {
	b, err := encoder.Marshal(state)
	if err == nil {
		err = m.votes.Save(b)
	}
	if err != nil {
		m.options.Log.Warn("membership", "reason", "votes_not_kept", "error", err)
	}
	m.view.Saved(err == nil)
	return err == nil
}

func (m *Mesh) logEvents(events []membership.Event) {
	for _, e := range events {
		if m.options.OnEvent == nil || m.options.OnEvent(e) {
			m.options.Log.Info("membership", "reason", e.Reason, "name", e.Name, "text", e.Text)
		}
	}
}

// notifyPartition calls OnPartitionStatus with the current status and count. Concurrent calls are serialized, so that
// the last one passes the latest values.
func (m *Mesh) notifyPartition() {
	m.notifying.Lock()
	defer m.notifying.Unlock()
	m.mu.Lock()
	partition, drivers := m.partition, m.drivers
	m.mu.Unlock()
	m.options.OnPartitionStatus(partition, drivers)
}

// Leave notifies peers that this driver leaves gracefully.
func (m *Mesh) Leave() {
	m.leaving.Store(true)
	m.step(func(view *membership.Fleet) membership.Output { return view.Leave(m.options.Now()) })
}

// Forget removes a failed driver from the roster; see membership.Fleet.Forget.
func (m *Mesh) Forget(name string, certain bool) (err error) {
	m.step(func(view *membership.Fleet) (out membership.Output) {
		out, err = view.Forget(m.options.Now(), name, certain)
		return out
	})
	return err
}

// Reconfigure replaces the seeds and the probe period.
func (m *Mesh) Reconfigure(seeds []string, period time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.period = period
	m.view.SetSeeds(seeds)
}
