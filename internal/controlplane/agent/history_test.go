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

// pipeListener is a listener whose connections are in-memory pipes, so that links need no sockets.
type pipeListener struct{ conns chan net.Conn }

func (p *pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p *pipeListener) Close() error   { return nil }
func (p *pipeListener) Addr() net.Addr { return nil }

// simulation runs an agent through random steps in virtual time, and records its state after each of them.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	agent     *Agent
	elapsedMs float64 // virtual time
	links     []*recordedLink
	out       io.Writer
	listener  *pipeListener
	accepted  chan *controlLink
}

// recordedLink is a link of the agent with counters of the frames that the agent sent over it.
type recordedLink struct {
	name     string
	link     *controlLink
	counters transport.Counters
}

func newSimulation(t *testing.T, seed uint64, out io.Writer) *simulation {
	ctx, stop := context.WithCancel(context.Background())
	stop() // so that commands enqueued by real dials and links are dropped
	cfg := &settings.Settings{Hostname: "front-1", IP: "127.1.0.9", Zone: "z", PortRange: [2]int{1, 3},
		Peers: []string{"127.1.0.1:8782", "127.2.0.1:8782"}}
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), out: out, listener: &pipeListener{make(chan net.Conn)},
		accepted: make(chan *controlLink)}
	sim.agent = &Agent{settings: cfg, log: events.Discard(), ctx: ctx, commands: commandqueue.New(ctx, 0),
		members: directory.NewMembers(), proxies: map[*controlLink]bool{}, peers: map[string]*peer{},
		coreAddrs: cfg.Peers, backoff: initialBackoff, quotaRoute: quotaRoute{originLinks: map[string]*controlLink{}},
		self: directory.Driver{Name: "front-1", Addr: "127.1.0.9:1", Zone: "z", Incarnation: 5}}
	var ended sync.WaitGroup
	ended.Go(func() {
		up := func(link *controlLink) { sim.accepted <- link }
		transport.Serve(sim.listener, 0, up, func(*controlLink, *controlmsg.Frame) {}, func(*controlLink) {})
	})
	t.Cleanup(func() {
		close(sim.listener.conns)
		ended.Wait()
		for _, recorded := range sim.links {
			recorded.link.Close()
		}
	})
	return sim
}

// link returns a new link of the agent, and records it under a name.
func (sim *simulation) link(name string) *controlLink {
	local, remote := net.Pipe()
	go io.Copy(io.Discard, remote)
	sim.listener.conns <- local
	recorded := &recordedLink{name: name, link: <-sim.accepted}
	recorded.link.SetCounters(&recorded.counters)
	sim.links = append(sim.links, recorded)
	return recorded.link
}

// advance advances the virtual time.
func (sim *simulation) advance(ms float64) {
	sim.elapsedMs += ms
	sim.agent.startedAt = time.Now().Add(-time.Duration(sim.elapsedMs * float64(time.Millisecond)))
}

// update returns a random update.
func (sim *simulation) update() *controlmsg.StateUpdate {
	update, random := &controlmsg.StateUpdate{}, sim.random
	if random.IntN(4) == 0 {
		update.ConfigVersion, update.Config = uint64(random.IntN(8)), make([]byte, 5+random.IntN(20))
	}
	if random.IntN(3) == 0 {
		for range 1 + random.IntN(3) {
			update.Members = append(update.Members, directory.Member{ID: fmt.Sprint("m", random.IntN(5)), Service: "s", Addr: "a",
				Incarnation: uint64(1 + random.IntN(3)), Seq: uint64(random.IntN(20)), Leaving: random.IntN(5) == 0})
		}
	}
	if random.IntN(6) == 0 {
		update.ShardMap = &shardmap.Map{Version: uint64(1 + random.IntN(9))}
	}
	if random.IntN(8) == 0 {
		update.CoreAddrs = []string{"127.1.0.1:8782", "127.2.0.1:8782", "127.2.0.2:8782"}[random.IntN(2):]
	}
	drivers := func() (list []directory.Driver) {
		for i := range 6 {
			if random.IntN(2) == 0 {
				list = append(list, directory.Driver{Name: fmt.Sprint("front-", i), Addr: fmt.Sprintf("127.3.0.%d:1", i),
					Incarnation: uint64(random.IntN(3))})
			}
		}
		return list
	}
	switch random.IntN(10) {
	case 0:
		update.Drivers = drivers()
	case 1:
		update.DriversAdded = drivers()
	case 2:
		update.DriversRemoved = []string{fmt.Sprint("front-", random.IntN(6))}
	}
	if random.IntN(2) == 0 {
		age := []float64{0, 100, 900, 1e4}[random.IntN(4)]
		update.QuorumContactAgeMs = &age
	}
	return update
}

// digest returns the agent's own digest with a random difference, or none.
func (sim *simulation) digest() *controlmsg.StateDigest {
	digest := sim.agent.digest()
	digest.Isolated, digest.NoReply = sim.random.IntN(2) == 0, sim.random.IntN(2) == 0
	switch sim.random.IntN(4) {
	case 0:
		digest.ConfigVersion = uint64(sim.random.IntN(8))
	case 1:
		digest.MembersHash++
	case 2:
		digest.ShardMapVersion = uint64(sim.random.IntN(8))
	}
	return &digest
}

// anyCore returns the link in use or, at random, the candidate if it is up. It returns nil if there is neither.
func (sim *simulation) anyCore() *coreLink {
	switch core := []*coreLink{sim.agent.core, sim.agent.candidate, {addr: "127.9.0.1:1"}}[sim.random.IntN(8)/3]; {
	case core == nil || core.link == nil:
		return sim.agent.core
	default:
		return core
	}
}

// step advances the virtual time, runs a random step, and returns its name.
func (sim *simulation) step() string {
	a, random := sim.agent, sim.random
	// No sum of these steps is within 20 ms of a timeout, so that real time spent in the test makes no difference.
	sim.advance(70 * float64(1+random.IntN(13)))
	switch choice := random.IntN(20); {
	case choice < 2:
		a.dialNextCore()
		return "seek"
	case choice < 5 && a.candidate != nil && a.candidate.link == nil:
		a.coreUp(a.candidate, sim.link(a.candidate.addr))
		return "link up"
	case choice < 6 && a.candidate != nil:
		candidate := a.candidate
		if candidate.link != nil {
			candidate.link.Close()
		}
		a.coreDown(candidate)
		return "trial ended"
	case choice < 7 && a.core != nil && random.IntN(3) == 0:
		core := a.core
		core.link.Close()
		a.coreDown(core)
		return "core ended"
	case choice < 12:
		if core := sim.anyCore(); core != nil {
			a.handleCoreFrame(core, &controlmsg.Frame{Update: sim.update()})
		}
		return "from core"
	case choice < 13:
		if core := sim.anyCore(); core != nil {
			a.handleCoreFrame(core, &controlmsg.Frame{Digest: sim.digest()})
		}
		return "digest of core"
	case choice < 14:
		if core := sim.anyCore(); core != nil {
			a.handleCoreFrame(core, controlmsg.NewHello(controlmsg.KindHelloReply, "", ""))
		}
		return "hello of core"
	case choice < 15:
		a.applyUpdate(sim.update())
		return "from peer"
	case choice < 16:
		a.reconcile(sim.link("peer that dialled"), sim.digest())
		return "digest of peer"
	case choice < 17 && len(a.proxies) < 2:
		a.proxyUp(sim.link("proxy"))
		return "proxy up"
	case choice < 18:
		for _, addr := range []string{"127.3.0.0:1", "127.3.0.1:1", "127.3.0.2:1", "127.3.0.3:1"} {
			if p := a.peers[addr]; p != nil && p.link == nil {
				p.link = sim.link("peer " + addr)
			}
		}
		return "peers up"
	default:
		a.nextNearAttempt = []float64{0, 1e12}[random.IntN(2)]
		a.renewTick()
		return "renew"
	}
}

// writeState writes the agent's state and the counts of frames sent, without randomly drawn values. The text is hashed.
func (sim *simulation) writeState(step string) {
	a := sim.agent
	fmt.Fprintf(sim.out, "%.1f %s: gen %d shards %v members %x cores %v drivers %d proxies %d ", sim.elapsedMs, step,
		a.configVersion, a.shardMap != nil, a.members.Digest(), a.coreAddrs, len(a.drivers), len(a.proxies))
	fmt.Fprintf(sim.out, "pause %.3f tries %d nth %d planned %v", a.backoff, a.attempts, a.nextCore, a.failoverScheduled)
	for _, core := range []*coreLink{a.core, a.candidate} {
		if core == nil {
			fmt.Fprint(sim.out, " none")
		} else {
			fmt.Fprintf(sim.out, " %s linked %v apart %v", core.addr, core.link != nil, core.isolated)
		}
	}
	for i := range 6 {
		if p := a.peers[fmt.Sprintf("127.3.0.%d:1", i)]; p != nil {
			fmt.Fprintf(sim.out, " peer %d %v", i, p.link != nil)
		}
	}
	for i, recorded := range sim.links {
		fmt.Fprintf(sim.out, "\n  %d %s %v", i, recorded.name, recorded.link.Up())
		for class := range uint8(transport.MaxClasses) {
			if sent := recorded.counters.Sent(class); sent.Frames > 0 {
				fmt.Fprintf(sim.out, " %d:%d/%d", class, sent.Frames, sent.Bytes)
			}
		}
	}
	fmt.Fprintln(sim.out)
}

// Compares random runs in virtual time with recorded digests: the core machines used, the frames sent over each link,
// and the agent's state. The digests were recorded before the package was split into its present files.
func TestRandomRunsMatchRecordedDigests(t *testing.T) {
	want := []uint64{0x8bafdca46ff99f64, 0x85c15f1729ef196b, 0x616350acc2de1b50, 0xf7e4ce0d7c29ea30}
	for seed, digest := range want {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sum := fnv.New64a()
			sim := newSimulation(t, uint64(seed), sum)
			for range 600 {
				if sim.agent.failoverScheduled && sim.random.IntN(3) > 0 {
					sim.agent.failoverScheduled = false // as if the timer had run
					sim.agent.dialNextCore()
				}
				sim.writeState(sim.step())
			}
			if got := sum.Sum64(); got != digest {
				t.Errorf("digest %#x, want %#x", got, digest)
			}
		})
	}
}
