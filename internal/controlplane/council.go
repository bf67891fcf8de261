package controlplane

// This file owns the council: the goroutine that holds the agreement and its disk. Nothing else touches either. It waits for
// the disk before it says anything that follows from what it wrote.

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"math"
	"os"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/commandqueue"
	"weirwind/internal/config"
	"weirwind/internal/consensus"
	"weirwind/internal/consensus/store"
	"weirwind/internal/controlmsg"
	"weirwind/internal/events"
	"weirwind/internal/session/sites"
)

// Times of the agreement.
const (
	heartbeatInterval  = 200 * time.Millisecond
	electionTimeout    = 900 * time.Millisecond
	requestTimeout     = 3 * time.Second
	maxPendingRequests = 64
	diskWrongs         = 20
)

// pendingRequest is an operator's call that waits for its answer.
type pendingRequest struct {
	controlmsg.Request
	until float64
	round uint64 // a refusal or a reading waits for it; 0: not yet asked
	index uint64 // a proposal waits for it
	term  uint64
	reply func(status int, body []byte)
}

type council struct {
	h     *Server
	node  *consensus.Node
	store *store.Store
	q     *commandqueue.Queue
	asks  []*pendingRequest

	state *config.State
	seen  [2]uint64
	known uint64 // gen told to the tables
	led   bool
	voted string
	wrong int

	syncs    uint64
	lastSync float64 // milliseconds
	mostSync float64
}

func openCouncil(h *Server) (*council, error) {
	s := h.set
	store, hard, found, err := store.Open(s.DataDir)
	if err != nil {
		return nil, err
	}
	if !found {
		if s.Init && slices.Contains(s.Peers, s.Ctl) {
			hard = consensus.Bootstrap(s.Ctl, s.Peers)
			h.log.Event(events.Founded, "voters", s.Peers)
		} else {
			var b [8]byte
			_, _ = rand.Read(b[:])
			hard = consensus.Empty(hex.EncodeToString(b[:]) + "@" + s.Ctl)
			h.log.Event(events.Joining, "id", hard.ID)
		}
		if err := store.Save(&hard); err != nil {
			return nil, err
		}
	}
	c := &council{h: h, store: store, q: commandqueue.New(h.ctx, 256)}
	c.node = consensus.New(consensus.Options{Addr: s.Ctl, Seeds: s.Peers, MinVoters: 2*s.TolerateNodes + 1,
		HeartbeatInterval: ms(heartbeatInterval), ElectionTimeout: ms(electionTimeout), RemoveAfter: 5 * ms(electionTimeout), Draw: h.draw}, hard, h.now())
	c.commits()
	return c, nil
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }

func (c *council) do(f func()) { c.q.Do(f) }

func (c *council) run(ctx context.Context) {
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			c.store.Close()
			return
		case f := <-c.q.C:
			f()
			for more := true; more; { // what came together costs one sync
				select {
				case f := <-c.q.C:
					f()
				default:
					more = false
				}
			}
		case <-tick.C:
		}
		c.node.Tick(c.h.now())
		c.settle()
	}
}

// settle syncs, sends and answers until nothing more follows.
func (c *council) settle() {
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
				if c.wrong > diskWrongs {
					c.h.fail(err)
				}
				c.node.Messages() // what would follow from it is not said
				return
			}
			c.wrong = 0
			c.node.Synced(c.h.now())
		}
		for _, s := range c.node.Messages() {
			c.h.sendCore(s.To, &controlmsg.Frame{Agree: &s.Message})
		}
		c.commits()
		c.answer()
		if !c.node.Dirty() {
			break
		}
	}
	if leads := c.node.Ready(); leads != c.led {
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

// commits takes what is known committed for the operator's word.
func (c *council) commits() {
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
	news := book.Gen > c.known
	c.known = max(c.known, book.Gen)
	if c.h.tables != nil {
		c.h.tables.do(func() { c.h.tables.agreed(book, news, addrs) })
	} else {
		c.h.first = func() { c.h.tables.agreed(book, news, addrs) }
	}
}

// take queues an operator's call at the leader.
func (c *council) take(a *pendingRequest) {
	if len(c.asks) >= maxPendingRequests {
		a.reply(503, []byte("too many calls wait\n"))
		return
	}
	a.until = c.h.now() + ms(requestTimeout)
	c.asks = append(c.asks, a)
}

func (c *council) answer() {
	now := c.h.now()
	kept := c.asks[:0]
	blocked := false
	for _, a := range c.asks {
		if now >= a.until {
			a.reply(503, []byte("not decided in time\n"))
			continue
		}
		if !c.node.Ready() {
			a.reply(503, []byte("this machine leads no longer; ask again\n"))
			continue
		}
		if !c.one(a, now, &blocked) {
			kept = append(kept, a)
		}
	}
	c.asks = kept
}

// grant answers for a site's lease; the sites that it knows come along.
func (c *council) grant(a *pendingRequest) {
	known := c.state.Sites
	if known == nil || known.Sites[a.Grant.Site].Life != a.Grant.Life || known.Sites[a.Grant.Site].State == sites.Out {
		a.reply(409, []byte("this life of the site is over, or has not joined\n"))
		return
	}
	c.h.tables.do(func() { c.h.tables.granted[a.Grant.Site] = c.h.now() })
	body, err := json.Marshal(known)
	if err != nil {
		a.reply(500, []byte(err.Error()+"\n"))
		return
	}
	a.reply(200, body)
}

// next gives the book that a change makes, the same one if it was taken before.
func (c *council) next(a *pendingRequest) (*config.State, error) {
	if a.Shards != nil {
		return c.state.WithShards(a.Shards)
	}
	if a.Sites != nil {
		return c.state.WithSites(a.Sites)
	}
	change := &config.Change{Amend: a.Amend, Base: a.Base, Body: a.Body}
	if c.state.Taken(change) {
		return c.state, nil
	}
	return c.state.Apply(change, a.Node, time.Now().UnixMilli())
}

// one looks whether a call can be answered. blocked: a change before it is not decided yet.
func (c *council) one(a *pendingRequest, now float64, blocked *bool) bool {
	if a.index > 0 {
		e, ok := c.node.Committed()
		if ok && e.Term == a.term && e.Index >= a.index {
			if a.Sites != nil {
				c.h.log.Event(events.SiteMap, "kind", a.Sites.Kind, "site", a.Sites.Name, "version", c.state.Sites.Version)
			} else if a.Shards != nil {
				c.h.log.Event(events.ShardMap, "kind", a.Shards.Kind, "shard", a.Shards.Shard, "node", a.Shards.Node, "version", c.state.Shards.Version)
			} else {
				c.h.log.Event(events.ConfigTaken, "gen", c.state.Gen, "base", a.Base, "from", a.Node)
			}
			a.reply(200, []byte("taken\n"))
			return true
		}
		*blocked = true
		return false
	}
	if *blocked || c.node.Busy() || c.state == nil {
		*blocked = true
		return false
	}
	if a.Grant != nil {
		if a.round > 0 && c.node.Confirmed(a.round) {
			c.grant(a)
			return true
		}
	} else if !a.Show {
		next, err := c.next(a)
		if next == c.state && err == nil {
			a.reply(200, []byte("taken before\n"))
			return true
		}
		if err == nil {
			value, err := cbor.Marshal(next)
			if err != nil {
				a.reply(500, []byte(err.Error()+"\n"))
				return true
			}
			if e, ok := c.node.Propose(value, now); ok {
				a.index, a.term = e.Index, e.Term
			}
			*blocked = true
			return false
		}
		if a.round > 0 && c.node.Confirmed(a.round) { // only who leads for certain may refuse
			status, reason := 500, "error"
			var r *config.Refusal
			if errors.As(err, &r) {
				status, reason = r.Status, r.Reason
			}
			c.h.log.Event(events.ConfigNot, "reason", reason, "why", err.Error(), "from", a.Node)
			a.reply(status, []byte(err.Error()+"\n"))
			return true
		}
	} else if a.round > 0 && c.node.Confirmed(a.round) {
		if c.state.Gen == 0 {
			a.reply(404, []byte("there is no configuration yet\n"))
		} else {
			a.reply(200, c.state.Raw)
		}
		return true
	}
	if a.round == 0 {
		a.round = c.node.Confirm(now)
		c.node.Tick(now)
	}
	return false
}

func (h *Server) draw() float64 {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		return float64(os.Getpid()%97) / 97
	}
	return float64(uint32(b[0])|uint32(b[1])<<8|uint32(b[2])<<16|uint32(b[3])<<24) / math.MaxUint32
}
