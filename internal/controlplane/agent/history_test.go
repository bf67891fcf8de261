package agent

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

// pipes is a listener whose connections are pipes, so that links need no sockets.
type pipes struct{ conns chan net.Conn }

func (p *pipes) Accept() (net.Conn, error) {
	if c, ok := <-p.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p *pipes) Close() error   { return nil }
func (p *pipes) Addr() net.Addr { return nil }

// history runs an agent through random steps in virtual time, and takes down what it does after each.
type history struct {
	t     *testing.T
	draw  *rand.Rand
	a     *Agent
	ms    float64 // virtual time
	links []*sentOver
	out   io.Writer
	ln    *pipes
	up    chan *controlLink
}

// sentOver is a link of the agent with what the agent sent over it.
type sentOver struct {
	name     string
	l        *controlLink
	counters transport.Counters
}

func newHistory(t *testing.T, seed uint64, out io.Writer) *history {
	ctx, stop := context.WithCancel(context.Background())
	stop() // commands of dials and peers' links are dropped
	s := &settings.Settings{Hostname: "front-1", IP: "127.1.0.9", Zone: "z", PortRange: [2]int{1, 3},
		Peers: []string{"127.1.0.1:8782", "127.2.0.1:8782"}}
	h := &history{t: t, draw: rand.New(rand.NewPCG(seed, 1)), out: out, ln: &pipes{make(chan net.Conn)},
		up: make(chan *controlLink)}
	h.a = &Agent{settings: s, log: events.Discard(), ctx: ctx, commands: commandqueue.New(ctx, 0),
		members: directory.NewMembers(), proxies: map[*controlLink]bool{}, peers: map[string]*peer{},
		coreAddrs: s.Peers, backoff: initialBackoff, quotaWay: quotaWay{origins: map[string]*controlLink{}},
		self: directory.Driver{Name: "front-1", Addr: "127.1.0.9:1", Zone: "z", Incarnation: 5}}
	var ended sync.WaitGroup
	ended.Go(func() {
		up := func(l *controlLink) { h.up <- l }
		transport.Serve(h.ln, 0, up, func(*controlLink, *controlmsg.Frame) {}, func(*controlLink) {})
	})
	t.Cleanup(func() {
		close(h.ln.conns)
		ended.Wait()
		for _, o := range h.links {
			o.l.Close()
		}
	})
	return h
}

func (h *history) link(name string) *controlLink {
	near, far := net.Pipe()
	go io.Copy(io.Discard, far)
	h.ln.conns <- near
	o := &sentOver{name: name, l: <-h.up}
	o.l.SetCounters(&o.counters)
	h.links = append(h.links, o)
	return o.l
}

// pass lets virtual time go on.
func (h *history) pass(ms float64) {
	h.ms += ms
	h.a.startedAt = time.Now().Add(-time.Duration(h.ms * float64(time.Millisecond)))
}

func (h *history) update() *controlmsg.StateUpdate {
	n, r := &controlmsg.StateUpdate{}, h.draw
	if r.IntN(4) == 0 {
		n.ConfigVersion, n.Config = uint64(r.IntN(8)), make([]byte, 5+r.IntN(20))
	}
	if r.IntN(3) == 0 {
		for range 1 + r.IntN(3) {
			n.Members = append(n.Members, directory.Member{ID: fmt.Sprint("m", r.IntN(5)), Service: "s", Addr: "a",
				Incarnation: uint64(1 + r.IntN(3)), Seq: uint64(r.IntN(20)), Leaving: r.IntN(5) == 0})
		}
	}
	if r.IntN(6) == 0 {
		n.ShardMap = &shardmap.Map{Version: uint64(1 + r.IntN(9))}
	}
	if r.IntN(8) == 0 {
		n.CoreAddrs = []string{"127.1.0.1:8782", "127.2.0.1:8782", "127.2.0.2:8782"}[r.IntN(2):]
	}
	drivers := func() (d []directory.Driver) {
		for i := range 6 {
			if r.IntN(2) == 0 {
				d = append(d, directory.Driver{Name: fmt.Sprint("front-", i), Addr: fmt.Sprintf("127.3.0.%d:1", i),
					Incarnation: uint64(r.IntN(3))})
			}
		}
		return d
	}
	switch r.IntN(10) {
	case 0:
		n.Drivers = drivers()
	case 1:
		n.DriversAdded = drivers()
	case 2:
		n.DriversRemoved = []string{fmt.Sprint("front-", r.IntN(6))}
	}
	if r.IntN(2) == 0 {
		age := []float64{0, 100, 900, 1e4}[r.IntN(4)]
		n.QuorumContactAgeMs = &age
	}
	return n
}

func (h *history) digest() *controlmsg.StateDigest {
	d := h.a.digest()
	d.Isolated, d.NoReply = h.draw.IntN(2) == 0, h.draw.IntN(2) == 0
	switch h.draw.IntN(4) {
	case 0:
		d.ConfigVersion = uint64(h.draw.IntN(8))
	case 1:
		d.MembersHash++
	case 2:
		d.ShardMapVersion = uint64(h.draw.IntN(8))
	}
	return &d
}

// anyCore gives a link to the core: the one in use, the one on trial, or one that was left.
func (h *history) anyCore() *coreLink {
	switch t := []*coreLink{h.a.core, h.a.candidate, {addr: "127.9.0.1:1"}}[h.draw.IntN(8)/3]; {
	case t == nil || t.link == nil:
		return h.a.core
	default:
		return t
	}
}

func (h *history) step() string {
	a, r := h.a, h.draw
	// No sum of these is within 20 ms of a bound, so that the time which the machine itself takes makes no difference.
	h.pass(70 * float64(1+r.IntN(13)))
	switch n := r.IntN(20); {
	case n < 2:
		a.dialNextCore()
		return "seek"
	case n < 5 && a.candidate != nil && a.candidate.link == nil:
		a.coreUp(a.candidate, h.link(a.candidate.addr))
		return "link up"
	case n < 6 && a.candidate != nil:
		t := a.candidate
		if t.link != nil {
			t.link.Close()
		}
		a.coreDown(t)
		return "trial ended"
	case n < 7 && a.core != nil && r.IntN(3) == 0:
		t := a.core
		t.link.Close()
		a.coreDown(t)
		return "core ended"
	case n < 12:
		if t := h.anyCore(); t != nil {
			a.takeFromCore(t, &controlmsg.Frame{Update: h.update()})
		}
		return "from core"
	case n < 13:
		if t := h.anyCore(); t != nil {
			a.takeFromCore(t, &controlmsg.Frame{Digest: h.digest()})
		}
		return "digest of core"
	case n < 14:
		if t := h.anyCore(); t != nil {
			a.takeFromCore(t, controlmsg.NewHello(controlmsg.KindHelloReply, "", ""))
		}
		return "hello of core"
	case n < 15:
		a.applyUpdate(h.update())
		return "from peer"
	case n < 16:
		a.reconcile(h.link("peer that dialled"), h.digest())
		return "digest of peer"
	case n < 17 && len(a.proxies) < 2:
		a.proxyUp(h.link("proxy"))
		return "proxy up"
	case n < 18:
		for _, addr := range []string{"127.3.0.0:1", "127.3.0.1:1", "127.3.0.2:1", "127.3.0.3:1"} {
			if p := a.peers[addr]; p != nil && p.link == nil {
				p.link = h.link("peer " + addr)
			}
		}
		return "peers up"
	default:
		a.nextNearAttempt = []float64{0, 1e12}[r.IntN(2)]
		a.renewTick()
		return "renew"
	}
}

// state is what the agent is and has sent, without what is drawn at random.
func (h *history) state(step string) {
	a := h.a
	fmt.Fprintf(h.out, "%.1f %s: gen %d shards %v members %x cores %v drivers %d proxies %d ", h.ms, step,
		a.configVersion, a.shardMap != nil, a.members.Digest(), a.coreAddrs, len(a.drivers), len(a.proxies))
	fmt.Fprintf(h.out, "pause %.3f tries %d nth %d planned %v", a.backoff, a.attempts, a.nextCore, a.failoverScheduled)
	for _, c := range []*coreLink{a.core, a.candidate} {
		if c == nil {
			fmt.Fprint(h.out, " none")
		} else {
			fmt.Fprintf(h.out, " %s linked %v apart %v", c.addr, c.link != nil, c.isolated)
		}
	}
	for i := range 6 {
		if p := a.peers[fmt.Sprintf("127.3.0.%d:1", i)]; p != nil {
			fmt.Fprintf(h.out, " peer %d %v", i, p.link != nil)
		}
	}
	for i, o := range h.links {
		fmt.Fprintf(h.out, "\n  %d %s %v", i, o.name, o.l.Up())
		for class := range uint8(transport.MaxClasses) {
			if c := o.counters.Sent(class); c.Frames > 0 {
				fmt.Fprintf(h.out, " %d:%d/%d", class, c.Frames, c.Bytes)
			}
		}
	}
	fmt.Fprintln(h.out)
}

// What the agent does in random histories in virtual time: which core machines it goes to, what it sends over which
// link, and what it knows. The digests are those of the code before it was taken apart.
func TestHistoriesStay(t *testing.T) {
	want := []uint64{0xbb816959df882b3a, 0x78f63b7b54556bd2, 0xd266f7c21bf9f279, 0xf366ba9127e32a40}
	for seed, digest := range want {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sum := fnv.New64a()
			h := newHistory(t, uint64(seed), sum)
			for range 600 {
				if h.a.failoverScheduled && h.draw.IntN(3) > 0 {
					h.a.failoverScheduled = false // as if the timer had run
					h.a.dialNextCore()
				}
				h.state(h.step())
			}
			if got := sum.Sum64(); got != digest {
				t.Errorf("digest %#x, want %#x", got, digest)
			}
		})
	}
}
