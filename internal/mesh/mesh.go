// Package mesh carries what internal/membership decides between drivers: UDP for probes and word, TCP for whole states, both
// at one address. Each outgoing socket is bound to the address it listens at, and answers go to the address that a fellow
// advertises, never to where a datagram came from.
//
// This file owns the sockets and the lock around the view. It must never decide who lives, wait for a fellow with the
// lock held, or let what a stranger sends cost anybody anything but its own connection.
package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/durable"
	"weirwind/internal/membership"
)

const (
	callTime    = 2 * time.Second
	mostCallers = 32 // connections of fellows at a time
	mostCalls   = 8  // to fellows at a time
	mostQueue   = 64 // calls that wait for a place
	wordsTo     = 8  // fellows that are told of news at once; they tell others
	wordsEvery  = time.Second
	ticks       = 10 // a period
	leaveTime   = 300 * time.Millisecond
	badEvery    = 30 * time.Second // between two lines on what was refused
)

// Options are what a mesh goes by.
type Options struct {
	Name, Zone string
	Listen     netip.AddrPort
	Advertise  string // host:port at which fellows reach this driver; empty: Listen as it was opened
	Seeds      []string
	Secret     string
	Period     time.Duration
	Expect     int           // drivers, before they have agreed on a roster
	Yield      time.Duration // see membership.Rules
	Seed       uint64
	Run        uint64
	Folder     string         // where votes outlive the process; empty: nowhere
	Now        func() float64 // milliseconds; never steps
	Log        *slog.Logger

	Words func(all bool) *Words // goes along with whole states, and else those of late; nil for none
	// Told takes a fellow's. asked is when it was asked for them, on Now's clock, and -Inf where it said them unasked. again:
	// it is to be asked at once what it says when asked.
	Told func(w *Words, asked float64) (news, again bool)
	// Heard takes what a fellow sent by Send, and gives what goes back. Nil: nothing is taken.
	Heard func(from string, what []byte) (back []byte)
	Stand func(membership.Standing, int)  // is told of the standing and the count of drivers, when they change
	On    func(note membership.Note) bool // sees each note; false keeps it out of the log. Nil: all are logged
}

// Mesh is a driver's place among its fellows.
type Mesh struct {
	o      Options
	udp    *net.UDPConn
	tcp    *net.TCPListener
	dgrams codec
	frames codec
	calls  chan string // addresses to exchange whole states with
	asks   chan string // and words
	wake   chan struct{}
	left   atomic.Bool
	bad    atomic.Int64  // datagrams and frames that could not be taken
	badAt  atomic.Int64  // when that was logged last, milliseconds
	sent   atomic.Int64  // bytes by UDP
	kept   *durable.Last // nil where nothing is

	telling sync.Mutex // held while somebody is told of the standing

	mu       sync.Mutex // guards what follows
	view     *membership.Fleet
	standing membership.Standing
	count    int
	told     bool
	period   time.Duration
}

// Open opens the sockets. Fellows are spoken to once Run is called.
func Open(o Options) (*Mesh, error) {
	if o.Secret == "" {
		return nil, errors.New("there is no secret")
	}
	m := &Mesh{o: o, dgrams: newCodec(o.Secret, "datagram"), frames: newCodec(o.Secret, "frame"), calls: make(chan string, mostQueue), asks: make(chan string, mostCalls),
		wake: make(chan struct{}, 1), period: o.Period}
	var err error
	for range 16 { // with port 0 the one that UDP got may be taken for TCP
		if m.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(o.Listen)); err != nil {
			return nil, err
		}
		at := m.udp.LocalAddr().(*net.UDPAddr).AddrPort()
		if m.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(at.Addr().Unmap(), at.Port()))); err == nil {
			break
		}
		if m.udp.Close(); o.Listen.Port() != 0 {
			return nil, err
		}
	}
	if err != nil {
		return nil, err
	}
	if m.o.Advertise == "" {
		m.o.Advertise = m.tcp.Addr().String()
	}
	var kept *membership.Kept
	if o.Folder != "" {
		if m.kept, kept, err = openKeeper(o.Folder); err != nil {
			m.udp.Close()
			m.tcp.Close()
			return nil, err
		}
	}
	m.view = membership.New(o.Now(), membership.Rules{Period: milliseconds(o.Period), Expect: o.Expect, Keep: milliseconds(10 * time.Minute),
		Most: 20000, Yield: milliseconds(o.Yield), Keeps: m.kept != nil, Kept: kept}, membership.Record{Name: o.Name, Run: o.Run, Address: m.o.Advertise, Zone: o.Zone}, o.Seeds, o.Seed)
	return m, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Address is the one that fellows are told.
func (m *Mesh) Address() string { return m.o.Advertise }

// Close lets go of the sockets of a mesh that does not run.
func (m *Mesh) Close() {
	m.udp.Close()
	m.tcp.Close()
	if m.kept != nil {
		m.kept.Close()
	}
}

// Run is among fellows until the context ends, then leaves.
func (m *Mesh) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	var all errgroup.Group
	all.Go(func() error { m.receive(life); return nil })
	all.Go(func() error { m.accept(life); return nil })
	for range mostCalls {
		all.Go(func() error {
			for {
				select {
				case <-life.Done():
					return nil
				case at := <-m.calls:
					m.exchange(life, at)
				case at := <-m.asks:
					m.askWords(life, at)
				}
			}
		})
	}
	all.Go(func() error { m.spreadWords(life); return nil })
	all.Go(func() error { m.pass(life); return nil })
	<-ctx.Done()
	if !m.left.Load() {
		m.Leave()
	}
	time.Sleep(leaveTime) // the word goes out a few times; nobody waits for this
	end()
	m.Close()
	return all.Wait()
}

// pass lets time go by before the view.
func (m *Mesh) pass(ctx context.Context) {
	m.mu.Lock()
	period := m.period
	m.mu.Unlock()
	tick := time.NewTicker(period / ticks)
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
			tick.Reset(period / ticks)
			m.view.Pace(milliseconds(period))
		}
		out := m.view.Tick(m.o.Now())
		m.do(out)
	}
}

// do carries out what was decided and tells of changes. It is called with the lock, and lets go of it. Votes are on disk
// before they are sent, and before anything else is decided.
func (m *Mesh) do(out membership.Out) {
	if out.Save != nil {
		b, err := encoder.Marshal(out.Save)
		if err == nil {
			err = m.kept.Save(b)
		}
		if err != nil {
			m.o.Log.Warn("membership", "reason", "votes_not_kept", "error", err)
			out.Sends = nil
		}
		m.view.Saved(err == nil)
	}
	standing, _, _ := m.view.Standing()
	count := m.view.Count()
	changed := !m.told || standing != m.standing || count != m.count
	m.standing, m.count, m.told = standing, count, true
	m.mu.Unlock()
	for _, n := range out.Notes {
		if m.o.On == nil || m.o.On(n) {
			m.o.Log.Info("membership", "reason", n.Reason, "name", n.Name, "text", n.Text)
		}
	}
	if changed && m.o.Stand != nil {
		m.tell()
	}
	for i := range out.Sends {
		m.send(&out.Sends[i])
	}
	for _, at := range out.Exchanges {
		select {
		case m.calls <- at:
		default: // another one follows
		}
	}
}

// tell tells of the standing and the count as they are now: of two that tell at once the second has the newest.
func (m *Mesh) tell() {
	m.telling.Lock()
	defer m.telling.Unlock()
	m.mu.Lock()
	standing, count := m.standing, m.count
	m.mu.Unlock()
	m.o.Stand(standing, count)
}

func (m *Mesh) send(s *membership.Send) {
	to, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return
	}
	b, err := m.dgrams.seal(&s.Message)
	if err != nil || len(b) > mostDatagram {
		return
	}
	if n, err := m.udp.WriteToUDPAddrPort(b, to); err == nil {
		m.sent.Add(int64(n))
	}
}

// receive takes datagrams.
func (m *Mesh) receive(ctx context.Context) {
	buf := make([]byte, mostDatagram+1)
	for ctx.Err() == nil {
		n, from, err := m.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			select { // an error of one datagram, such as a fellow that does not listen
			case <-ctx.Done():
			case <-time.After(time.Millisecond):
			}
			continue
		}
		var msg membership.Message
		err = errLong
		if n <= mostDatagram {
			err = m.dgrams.open(buf[:n], &msg)
		}
		if err != nil {
			m.refused(err, from.String())
			continue
		}
		m.mu.Lock()
		m.do(m.view.Got(m.o.Now(), msg))
	}
}

// refused counts what could not be taken, and says so now and then.
func (m *Mesh) refused(err error, from string) {
	n := m.bad.Add(1)
	now, last := int64(m.o.Now()), m.badAt.Load()
	if (last == 0 || now-last >= badEvery.Milliseconds()) && m.badAt.CompareAndSwap(last, max(now, 1)) {
		m.o.Log.Warn("membership", "reason", "frame_refused", "from", from, "error", err, "in_all", n)
	}
}

// accept serves fellows' calls.
func (m *Mesh) accept(ctx context.Context) {
	places := make(chan struct{}, mostCallers)
	for ctx.Err() == nil {
		c, err := m.tcp.Accept()
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		select {
		case places <- struct{}{}:
			go func() {
				defer func() { <-places }()
				m.serve(c)
			}()
		default: // too many at a time: it calls again, or another one
			c.Close()
		}
	}
}

// serve answers one call.
func (m *Mesh) serve(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(callTime))
	f, err := m.frames.read(c)
	if err != nil {
		if !errors.Is(err, io.EOF) {
			m.refused(err, c.RemoteAddr().String())
		}
		return
	}
	back := &frame{Call: f.Call, Nonce: f.Nonce}
	switch f.Call {
	case callExchange, callWords:
		if f.Call == callExchange && f.Exchange != nil {
			m.mu.Lock()
			x := m.view.Exchange()
			back.Exchange = &x
			m.do(m.view.Merge(m.o.Now(), *f.Exchange))
		}
		back.Words = m.words(f.Call == callExchange)
		m.hear(f.Words, math.Inf(-1))
	case callSend:
		if m.o.Heard != nil && f.From != "" {
			back.Sent = m.o.Heard(f.From, f.Sent)
		}
	case callStatus:
		back.Status, _ = json.Marshal(m.Status())
	}
	m.frames.write(c, back)
}

// words are what this driver says to fellows; nil for nothing.
func (m *Mesh) words(all bool) *Words {
	if m.o.Words == nil {
		return nil
	}
	w := m.o.Words(all)
	w.From = m.o.Advertise
	return w
}

// hear takes a fellow's words, and passes on what was news.
func (m *Mesh) hear(words *Words, asked float64) {
	if words == nil || m.o.Told == nil {
		return
	}
	news, again := m.o.Told(words, asked)
	if again && words.From != "" {
		select {
		case m.asks <- words.From:
		default: // the next one that is asked will do
		}
	}
	if news {
		m.Spread()
	}
}

// Send has a fellow take something, and gives what it sends back.
func (m *Mesh) Send(ctx context.Context, to string, what []byte) ([]byte, error) {
	m.mu.Lock()
	address := m.view.Address(to)
	m.mu.Unlock()
	if address == "" {
		return nil, membership.ErrUnknown
	}
	back, err := m.call(ctx, address, &frame{Call: callSend, From: m.o.Name, Sent: what})
	if err != nil {
		return nil, err
	}
	return back.Sent, nil
}

// askWords exchanges words with one fellow.
func (m *Mesh) askWords(ctx context.Context, at string) {
	asked := m.o.Now()
	if back, err := m.call(ctx, at, &frame{Call: callWords, Words: m.words(false)}); err == nil {
		m.hear(back.Words, asked)
	}
}

// call makes one call to a fellow.
func (m *Mesh) call(ctx context.Context, address string, f *frame) (*frame, error) {
	d := net.Dialer{Timeout: callTime}
	if ip := m.tcp.Addr().(*net.TCPAddr).IP; !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(time.Now().Add(callTime))
	f.Nonce = rand.Uint64()
	if err := m.frames.write(c, f); err != nil {
		return nil, err
	}
	back, err := m.frames.read(c)
	if err == nil && (back.Call != f.Call || back.Nonce != f.Nonce) {
		err = errors.New("the answer is to another call")
	}
	if err != nil {
		return nil, err
	}
	return back, nil
}

// exchange trades whole states, and words, with a fellow.
func (m *Mesh) exchange(ctx context.Context, address string) {
	m.mu.Lock()
	x := m.view.Exchange()
	m.mu.Unlock()
	f, asked := &frame{Call: callExchange, Exchange: &x, Words: m.words(true)}, m.o.Now()
	back, err := m.call(ctx, address, f)
	if err != nil {
		m.o.Log.Debug("membership", "reason", "exchange_failed", "address", address, "error", err)
		return
	}
	if back.Exchange != nil {
		m.mu.Lock()
		m.do(m.view.Merge(m.o.Now(), *back.Exchange))
	}
	m.hear(back.Words, asked)
}

// Spread has fellows told of words that are new here, soon.
func (m *Mesh) Spread() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// spreadWords exchanges words with some fellows when there are new ones, and with one every second in case a word was lost.
func (m *Mesh) spreadWords(ctx context.Context) {
	if m.o.Words == nil {
		return
	}
	var behind sync.WaitGroup
	defer behind.Wait()
	tick := time.NewTicker(wordsEvery)
	defer tick.Stop()
	for {
		n := 1
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-m.wake:
			n = wordsTo
		}
		m.mu.Lock()
		living := m.view.Living()
		m.mu.Unlock()
		rand.Shuffle(len(living), func(i, j int) { living[i], living[j] = living[j], living[i] })
		for _, at := range living[:min(n, len(living))] {
			behind.Add(1)
			go func() { // each ends within callTime
				defer behind.Done()
				m.askWords(ctx, at)
			}()
		}
	}
}

// Status is the view as it is now.
func (m *Mesh) Status() membership.Status {
	m.mu.Lock()
	m.do(m.view.Tick(m.o.Now()))
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.view.Status()
	s.Refused, s.Sent = m.bad.Load(), m.sent.Load()
	return s
}

// Standing is this driver's as it is now.
func (m *Mesh) Standing() (membership.Standing, string) {
	m.mu.Lock()
	m.do(m.view.Tick(m.o.Now()))
	m.mu.Lock()
	defer m.mu.Unlock()
	s, why, _ := m.view.Standing()
	return s, why
}

// Leave tells fellows that this driver goes on purpose.
func (m *Mesh) Leave() {
	m.left.Store(true)
	m.mu.Lock()
	m.do(m.view.Leave(m.o.Now()))
}

// Forget takes a failed driver off the roster; see membership.Fleet.
func (m *Mesh) Forget(name string, certain bool) error {
	m.mu.Lock()
	out, err := m.view.Forget(m.o.Now(), name, certain)
	m.do(out)
	return err
}

// Change takes other seeds and another period.
func (m *Mesh) Change(seeds []string, period time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.period = period
	m.view.Seeds(seeds)
}

// Compared is what a driver answered when it was asked for its view, or why there is none.
type Compared struct {
	Name   string             `json:"name"`
	Error  string             `json:"error,omitempty"`
	Status *membership.Status `json:"status,omitempty"`
}

// Compare asks all fellows that are known for their views. The first one is this driver's.
func (m *Mesh) Compare(ctx context.Context) []Compared {
	own := m.Status()
	all := []Compared{{Name: own.Self, Status: &own}}
	for _, d := range own.Drivers {
		if d.State != membership.Left {
			all = append(all, Compared{Name: d.Name})
		}
	}
	var asked errgroup.Group
	asked.SetLimit(mostCalls)
	addresses := map[string]string{}
	for _, d := range own.Drivers {
		addresses[d.Name] = d.Address
	}
	for i := range all[1:] {
		c := &all[i+1]
		asked.Go(func() error {
			back, err := m.call(ctx, addresses[c.Name], &frame{Call: callStatus})
			if err == nil {
				c.Status = &membership.Status{}
				err = json.Unmarshal(back.Status, c.Status)
			}
			if err != nil {
				c.Status, c.Error = nil, err.Error()
			}
			return nil
		})
	}
	asked.Wait()
	return all
}

// Differences says in words where views differ: of states, and of rosters.
func Differences(all []Compared) (lines []string) {
	type saying struct{ of, says string }
	said := map[saying][]string{}
	for _, c := range all {
		if c.Status == nil {
			lines = append(lines, fmt.Sprintf("%s gives no view: %s", c.Name, c.Error))
			continue
		}
		for _, d := range c.Status.Drivers {
			said[saying{d.Name, d.State.String()}] = append(said[saying{d.Name, d.State.String()}], c.Name)
		}
		roster := "none"
		if r := c.Status.Roster; r != nil {
			roster = fmt.Sprintf("version %d of %d drivers", r.Version, len(r.Names))
		}
		said[saying{"the roster", roster}] = append(said[saying{"the roster", roster}], c.Name)
	}
	ways := map[string]int{}
	for s := range said {
		ways[s.of]++
	}
	for s, by := range said {
		if ways[s.of] > 1 {
			slices.Sort(by)
			lines = append(lines, fmt.Sprintf("%s: %s, say %v", s.of, s.says, by))
		}
	}
	slices.Sort(lines)
	return lines
}
