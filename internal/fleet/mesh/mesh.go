package mesh

// This file owns the sockets, the goroutines and the lock around the view.

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
	maxQueuedExchanges = 64 // addresses that wait for a whole state to be exchanged
	listenAttempts     = 16
	leaveDelay         = 300 * time.Millisecond // between leaving and closing the sockets
)

var errNoSecret = errors.New("there is no secret")

// Mesh is a driver's place among its peers. It is safe for concurrent use.
type Mesh struct {
	options       Options
	udp           *net.UDPConn
	tcp           *net.TCPListener
	datagramCodec codec
	frameCodec    codec
	votes         *durable.Latest // nil where they do not outlive the process

	exchanges      chan string   // addresses to exchange whole states with
	gossipRequests chan string   // addresses to exchange gossip with
	wake           chan struct{} // there is new gossip to be spread

	leaving          atomic.Bool
	rejectedCount    atomic.Int64 // datagrams and frames
	rejectedLoggedAt atomic.Int64 // when that was logged last, milliseconds by Options.Now; 0: never
	bytesSent        atomic.Int64 // by UDP

	notifying sync.Mutex // held during OnPartitionStatus; never taken with mu held

	mu                sync.Mutex // guards what follows
	view              *membership.Fleet
	period            time.Duration              // tickLoop brings the view's to it
	partition         membership.PartitionStatus // as of the last step
	drivers           int                        // as of the last step
	partitionNotified bool                       // there was a step
}

// Open opens the sockets. No peer is contacted before Run.
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

// Address is the one that is advertised to peers.
func (m *Mesh) Address() string { return m.options.Advertise }

// Close closes the sockets of a mesh that does not run.
func (m *Mesh) Close() {
	m.udp.Close()
	m.tcp.Close()
	if m.votes != nil {
		_ = m.votes.Close() // what was appended is on disk
	}
}

// Run takes part until the context ends, then leaves, and returns once all goroutines have ended. It closes the mesh.
func (m *Mesh) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx)) // it leaves in order once ctx ends
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
	time.Sleep(leaveDelay) // the message goes out a few times; nobody waits for this
	stop()
	m.Close()
	return loops.Wait()
}

// tickLoop lets time pass in the view.
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

// step has the view decide with the lock held, and carries out what comes of it. Votes are on disk before they are
// sent, and before anything else is decided.
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
		default: // membership asks for another one
		}
	}
}

// save brings votes to disk, and tells the view of the outcome. The caller holds the lock.
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

// notifyPartition notifies of the status and the count as they are now: of two that notify at once the second has the
// newest.
func (m *Mesh) notifyPartition() {
	m.notifying.Lock()
	defer m.notifying.Unlock()
	m.mu.Lock()
	partition, drivers := m.partition, m.drivers
	m.mu.Unlock()
	m.options.OnPartitionStatus(partition, drivers)
}

// Leave tells peers that this driver leaves on purpose.
func (m *Mesh) Leave() {
	m.leaving.Store(true)
	m.step(func(view *membership.Fleet) membership.Output { return view.Leave(m.options.Now()) })
}

// Forget takes a failed driver off the roster; see membership.Fleet.
func (m *Mesh) Forget(name string, certain bool) (err error) {
	m.step(func(view *membership.Fleet) (out membership.Output) {
		out, err = view.Forget(m.options.Now(), name, certain)
		return out
	})
	return err
}

// Reconfigure takes other seeds and another period.
func (m *Mesh) Reconfigure(seeds []string, period time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.period = period
	m.view.SetSeeds(seeds)
}
