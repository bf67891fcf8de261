package proxy

// This file owns what a proxy does with routes whose shard says who serves them: the shard's writer slot comes before the group's.
// While it is empty, what wants the shard is held, and released in order when a newer map fills it.

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/memberconn"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/shard/shardnode"
)

const (
	shardAgain  = 15 * time.Millisecond // a node that has not heard of its epoch yet is asked again
	mostAtShard = 4000                  // held for one shard; more are refused at once
)

// shardWaiter is a session that waits for a shard's holder.
type shardWaiter struct {
	until float64
	reply chan shardmap.Assignment
}

// where gives a shard's holder, or queues who asks.
func (d *desk) where(shard string, w *shardWaiter) {
	if p, ok := d.slots.Owner(shard); ok {
		w.reply <- p
		return
	}
	if len(d.atShard[shard]) >= mostAtShard {
		close(w.reply)
		return
	}
	d.atShard[shard] = append(d.atShard[shard], w)
}

// release lets go of what waited for shards that have a holder again, and of whose time is over.
func (d *desk) release(now float64) {
	for shard, all := range d.atShard {
		p, ok := d.slots.Owner(shard)
		kept := all[:0]
		for _, w := range all {
			switch {
			case ok:
				w.reply <- p
			case now >= w.until:
				close(w.reply)
			default:
				kept = append(kept, w)
			}
		}
		if clear(all[len(kept):]); len(kept) == 0 {
			delete(d.atShard, shard)
		} else {
			d.atShard[shard] = kept
		}
	}
}

// place waits for a shard's holder. ok is false where there was none in time.
func (s *session) place(r *config.Route, until float64) (shardmap.Assignment, bool) {
	w := &shardWaiter{until, make(chan shardmap.Assignment, 1)}
	s.p.desk.do(func() { s.p.desk.where(r.Shard, w) })
	select {
	case p, ok := <-w.reply:
		s.on = ""
		if ok {
			s.on = fmt.Sprintf("ON %s %d ", r.Shard, p.Epoch)
		}
		return p, ok
	case <-s.p.ctx.Done():
		return shardmap.Assignment{}, false
	}
}

// serves gives the service that a route's statement goes to now. ok is false where it is not known in time.
func (s *session) serves(r *config.Route, until float64) (svc string, p shardmap.Assignment, ok bool) {
	if r.Shard == "" {
		s.on = ""
		return r.Service, p, true
	}
	p, ok = s.place(r, until)
	return p.Node, p, ok
}

// missed takes a node's refusal by the epoch; what was refused is held, and goes to the next holder.
func (s *session) missed(r *config.Route, p shardmap.Assignment, text string) {
	_, epoch := wire.CutField(text)
	known, _ := strconv.ParseUint(epoch, 10, 64)
	again := make(chan bool, 1)
	s.p.desk.do(func() { again <- s.p.desk.slots.HandleMoved(r.Shard, p.Epoch, known) })
	select {
	case a := <-again:
		if a {
			time.Sleep(shardAgain)
		}
	case <-s.p.ctx.Done():
	}
}

// settle finds out what came of a try that was sent to a shard and not answered: at whichever node holds it now its outcome is
// known, or is made never to be. It gives the answer for the client.
func (s *session) settle(r *config.Route, id string, at, until float64) {
	w := &waiter{at: at, until: until, need: group.Requirement{Write: true}}
	for s.p.now() < until {
		node, p, ok := s.serves(r, until)
		if !ok {
			break
		}
		g, c, fail := s.acquire(node, w)
		if fail != "" {
			break
		}
		rows, err := c.Query(fmt.Sprintf("SHARD SETTLE %s %d %s", r.Shard, p.Epoch, id), s.p.at(until))
		said, refused := err.(*memberconn.MemberError)
		if err != nil && !refused {
			c.Close()
			s.done(g, nil, g.sent, group.NoAnswer, wire.Position{})
			continue
		}
		s.done(g, c, g.sent, group.Answered, wire.Position{})
		switch {
		case !refused && len(rows) == 1:
			s.say(wire.MsgDone + " " + rows[0])
			s.say(wire.MsgReady + " " + wire.StateIdle + " -")
			return
		case refused && said.Code == shardnode.CodeVoid:
			s.fail(wire.CodeRetry, comeBack, wire.StateIdle)
			return
		case refused && said.Code == shardnode.CodeMoved:
			s.missed(r, p, said.Text)
		default:
			time.Sleep(shardAgain)
		}
	}
	s.fail(wire.CodeOutcomeUnknown, "no node that holds "+r.Shard+" could say what came of it", wire.StateIdle)
}

// shardRefusal says what a node's own refusal is for a client; "" for one that is passed on.
func shardRefusal(code string) string {
	switch strings.ToUpper(code) {
	case shardnode.CodeNoRoom, shardnode.CodeVoid, shardnode.CodeState:
		return wire.CodeRetry
	}
	return ""
}
