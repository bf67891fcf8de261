package proxy

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/shard/shardnode"
	"weirwind/internal/util/commandqueue"
)

const shardRetryPause = 15 * time.Millisecond // before a retry at a node that doesn't know its epoch yet

// resolveService returns the service that a route's statement goes to now, and the epoch by which it owns the route's
// shard, if the route has one. While the shard has no owner, it waits. false: none is known in time.
func (s *session) resolveService(route *config.Route, deadline float64) (service string, epoch uint64, ok bool) {
	s.shardPrefix = ""
	if route.Shard == "" {
		return route.Service, 0, true
	}
	request := &shardRequest{deadline, make(chan shardmap.Assignment, 1)}
	router := s.proxy.router
	router.do(func() { router.shards.resolve(route.Shard, request) })
	select {
	case owner, ok := <-request.reply:
		if ok {
			s.shardPrefix = fmt.Sprintf("ON %s %d ", route.Shard, owner.Epoch)
		}
		return owner.Node, owner.Epoch, ok
	case <-s.proxy.ctx.Done():
		return "", 0, false
	}
}

// shardMoved takes a node's refusal of a statement that was sent by an epoch: text is the refusal's code and the
// newest epoch that the node knows. A node that doesn't know the epoch yet is given a moment; otherwise the shard has
// another owner, and the next resolveService waits for a map that names it.
func (s *session) shardMoved(route *config.Route, epoch uint64, text string) {
	_, number := wire.CutField(text)
	known, _ := strconv.ParseUint(number, 10, 64) // a refusal without one is as of epoch 0
	router := s.proxy.router
	retry, err := commandqueue.Call(s.proxy.ctx, router.commands, func() bool {
		return router.shards.table.HandleMoved(route.Shard, epoch, known)
	})
	if err == nil && retry {
		time.Sleep(shardRetryPause)
	}
}

// resolveOutcome finds out what came of an attempt that was sent to a shard's owner and not answered, and answers the
// client. Whichever node owns the shard now either knows the outcome or makes sure that the attempt never has any.
func (s *session) resolveOutcome(route *config.Route, id string, startedAt, deadline float64) {
	request := &connRequest{startedAt: startedAt, deadline: deadline, requirement: group.Requirement{Write: true}}
	for s.proxy.now() < deadline {
		node, epoch, ok := s.resolveService(route, deadline)
		if !ok {
			break
		}
		lent, err := s.acquire(node, request)
		if err != nil {
			break
		}
		question := fmt.Sprintf("SHARD SETTLE %s %d %s", route.Shard, epoch, id)
		rows, err := lent.conn.Query(question, s.proxy.timeAt(deadline))
		var refusal *memberconn.MemberError
		refused := errors.As(err, &refusal)
		if err != nil && !refused {
			s.finish(lent, false, group.NoAnswer, wire.Position{})
			continue
		}
		s.finish(lent, true, group.Answered, wire.Position{})
		switch {
		case !refused && len(rows) == 1:
			s.replyLine(wire.MsgDone + " " + rows[0])
			s.replyReady(wire.StateIdle, wire.NoStamp)
			return
		case refused && refusal.Code == shardnode.CodeVoid:
			s.replyError(errRetryLater, wire.StateIdle)
			return
		case refused && refusal.Code == shardnode.CodeMoved:
			s.shardMoved(route, epoch, refusal.Text)
		default:
			time.Sleep(shardRetryPause)
		}
	}
	s.replyError(shardOutcomeError(route.Shard), wire.StateIdle)
}
