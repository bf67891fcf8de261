package controlplane

// This file owns the consensus loop: the goroutine that holds the agreement and its disk. Nothing else touches either. It waits for
// the disk before it says anything that follows from what it wrote.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"math"
	"os"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/consensus/store"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/orders"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
)

// Times of the agreement.
const (
	heartbeatInterval  = 200 * time.Millisecond
	electionTimeout    = 900 * time.Millisecond
	removeAfter        = electionTimeout * 7 / 4 // before a leader that hears no majority of the voters steps down, at twice the timeout
	requestTimeout     = 3 * time.Second
	leaveTimeout       = time.Second           // for which a process that ends in order waits until the lead is another's, or it votes no longer
	leaveLinger        = 50 * time.Millisecond // in which its last messages are written
	maxPendingRequests = 64
	diskWrongs         = 20
)

type consensusLoop struct {
	h      *Server
	node   *consensus.Node
	store  *store.Store
	q      *commandqueue.Queue
	end    context.CancelFunc // behind Leave: the queue outlives the process's own context by that
	orders *orders.Queue

	state *config.State
	seen  [2]uint64
	known uint64 // gen told to the tables
	led   bool
	leads consensus.Voter // who is followed; its own where it leads
	split bool            // a voter is silent, as the tables know
	voted string
	wrong int

	contactAt float64 // as the tables were told last

	syncs    uint64
	lastSync float64 // milliseconds
	mostSync float64
}

func openConsensusLoop(h *Server) (*consensusLoop, error) {
	s := h.set
	store, hard, found, err := store.Open(s.DataDir)
	if err != nil {
		return nil, err
	}
	if !found {
		if s.Bootstrap && slices.Contains(s.Peers, s.ControlAddr) {
			hard = consensus.Bootstrap(s.ControlAddr, s.Peers)
			h.log.Event(events.Founded, "voters", s.Peers)
		} else {
			var b [8]byte
			_, _ = rand.Read(b[:])
			hard = consensus.Empty(hex.EncodeToString(b[:]) + "@" + s.ControlAddr)
			h.log.Event(events.Joining, "id", hard.ID)
		}
		if err := store.Save(&hard); err != nil {
			return nil, err
		}
	}
	ctx, end := context.WithCancel(context.Background())
	queue := orders.New(orders.Limits{Pending: maxPendingRequests, Timeout: ms(requestTimeout)})
	c := &consensusLoop{h: h, store: store, q: commandqueue.New(ctx, 256), end: end, orders: queue}
	c.node = consensus.New(consensus.Options{Addr: s.ControlAddr, Seeds: s.Peers, MinVoters: 2*s.TolerateNodes + 1,
		HeartbeatInterval: ms(heartbeatInterval), ElectionTimeout: ms(electionTimeout), RemoveAfter: ms(removeAfter), Random: h.draw}, hard, h.now())
	c.commits()
	return c, nil
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }

func (c *consensusLoop) do(f func()) { c.q.Do(f) }

func (c *consensusLoop) run(ctx context.Context) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	defer c.store.Close()
	defer c.end()
	ended, leaveBy := ctx.Done(), math.Inf(1)
	for {
		select {
		case <-ended:
			if context.Cause(ctx) != context.Canceled { // a failure: nothing more is said
				return
			}
			ended, leaveBy = nil, c.h.now()+ms(leaveTimeout)
			c.node.Leave(c.h.now())
			c.h.log.Event(events.Leaving, "leads", c.led)
		case f := <-c.q.Commands:
			f()
			for more := true; more; { // what came together costs one sync
				select {
				case f := <-c.q.Commands:
					f()
				default:
					more = false
				}
			}
		case <-tick.C:
		}
		c.node.Tick(c.h.now())
		c.settle()
		c.tellContact()
		if ended == nil && (c.node.LeaveDone(c.h.now()) || c.h.now() > leaveBy) {
			time.Sleep(leaveLinger)
			return
		}
	}
}

// tellContact renews the machine's contact, behind all that the tables were told before: who reads it finds what it vouches for.
func (c *consensusLoop) tellContact() {
	at := c.node.LastContact()
	if at == c.contactAt {
		return
	}
	c.contactAt = at
	c.h.tables.do(func() { c.h.contact.set(at) })
}

// settle syncs, sends and answers until nothing more follows.
func (c *consensusLoop) settle() {
	for range 8 {
		if c.node.Dirty() {
			began := c.h.now()
			err := c.store.Save(&c.node.HardState)
			c.lastSync = c.h.now() - began
			c.mostSync = max(c.mostSync, c.lastSync)
			c.syncs++
			if err != nil {
				if c.wrong++; c.wrong == 1 {
					c.h.log.Error(events.DiskFailed, err)
				}
				if c.wrong > diskWrongs || errors.Is(err, store.ErrBroken) {
					c.h.fail(err)
				}
				c.node.Messages() // what would follow from it is not said
				return
			}
			c.wrong = 0
			c.node.Synced(c.h.now())
		}
		c.send()
		c.commits()
		c.answer()
		if !c.node.Dirty() {
			break
		}
	}
	if leader, _ := c.node.Leader(); leader != c.leads {
		c.h.pending.leadEnded(c.leads.Addr)
		c.leads = leader
	}
	c.watchVoters()
	if leads := c.node.Established(); leads != c.led {
		c.led = leads
		if leads {
			c.h.log.Event(events.Leads, "term", c.node.HardState.Term)
		} else {
			c.h.log.Event(events.LedOver, "term", c.node.HardState.Term)
		}
		term := c.node.HardState.Term
		c.h.tables.do(func() { c.h.tables.lead(leads, term) })
	}
}

// send gives the node's messages to those whom they are for.
func (c *consensusLoop) send() {
	for _, s := range c.node.Messages() {
		c.h.sendCore(s.To, &controlmsg.Frame{Consensus: &s.Message})
	}
}

// commits takes what is known committed for the operator's word.
func (c *consensusLoop) commits() {
	e, ok := c.node.Committed()
	if !ok || c.seen == [2]uint64{e.Term, e.Index} {
		return
	}
	c.seen = [2]uint64{e.Term, e.Index}
	book := &config.State{}
	if len(e.Value) > 0 {
		if err := cbor.Unmarshal(e.Value, book); err != nil {
			c.h.fail(err)
			return
		}
	}
	c.state = book
	var addrs []string
	voters := ""
	for _, v := range e.Voters {
		addrs = append(addrs, v.Addr)
		voters += v.ID + " "
	}
	if voters != c.voted {
		c.voted = voters
		c.h.log.Event(events.VotersChange, "voters", voters, "index", e.Index)
	}
	news := book.Version > c.known
	c.known = max(c.known, book.Version)
	if c.h.tables != nil {
		c.h.tables.do(func() { c.h.tables.agreed(book, news, addrs) })
	} else {
		c.h.first = func() { c.h.tables.agreed(book, news, addrs) }
	}
}

func (h *Server) draw() float64 {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return float64(os.Getpid()%97) / 97
	}
	return float64(uint32(b[0])|uint32(b[1])<<8|uint32(b[2])<<16|uint32(b[3])<<24) / math.MaxUint32
}
