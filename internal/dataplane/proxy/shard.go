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

const shardRetryDelay = 15 * time.Millisecond // before a retry at a node that does not know the epoch yet

// resolveService returns the service that statements of a route are sent to. For a route with a shard that is the owner
// of the shard, and epoch is the epoch of its ownership. While the shard has no owner, it waits; ok is false if no
// owner becomes known in time.
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

// handleShardMoved handles a node's refusal of a statement that was sent with an epoch. text is the code of the refusal
// and the newest epoch that the node knows. If the node does not know the sent epoch yet, handleShardMoved waits for a
// short time. Otherwise the shard has another owner, and the next resolveService waits for a map that names it.
func (s *session) handleShardMoved(route *config.Route, epoch uint64, text string) {
	_, knownText := wire.CutField(text)
	knownEpoch, _ := strconv.ParseUint(knownText, 10, 64) // 0 if the refusal names no epoch
	router := s.proxy.router
	retry, err := commandqueue.Call(s.proxy.ctx, router.commands, func() bool {
		return router.shards.table.HandleMoved(route.Shard, epoch, knownEpoch)
	})
	if err == nil && retry {
		time.Sleep(shardRetryDelay)
	}
}

// resolveOutcome queries the outcome of an attempt that was sent to the owner of a shard and not answered, and answers
// the client. The node that owns the shard now either knows the outcome or makes sure that the attempt never takes
// effect.
func (s *session) resolveOutcome(route *config.Route, id string, startedAt, deadline float64) {
	request := &connRequest{startedAt: startedAt, deadline: deadline, requirement: group.Requirement{Write: true}}
	for s.proxy.now() < deadline {
		node, epoch, ok := s.resolveService(route, deadline)
		if !ok {
			break
		}
		checkout, err := s.acquire(node, request)
		if err != nil {
			break
		}
		query := fmt.Sprintf("SHARD SETTLE %s %d %s", route.Shard, epoch, id)
		rows, err := checkout.conn.Query(query, s.proxy.timeAt(deadline))
		var refusal *memberconn.MemberError
		refused := errors.As(err, &refusal)
		if err != nil && !refused {
			s.release(checkout, false, group.NoAnswer, wire.Position{})
			continue
		}
		s.release(checkout, true, group.Answered, wire.Position{})
		switch {
		case !refused && len(rows) == 1:
			s.replyLine(wire.MsgDone + " " + rows[0])
			s.replyReady(wire.StateIdle, wire.NoStamp)
			return
		case refused && refusal.Code == shardnode.CodeAborted:
			s.replyError(errRetryLater, wire.StateIdle)
			return
		case refused && refusal.Code == shardnode.CodeMoved:
			s.handleShardMoved(route, epoch, refusal.Text)
		default:
			time.Sleep(shardRetryDelay)
		}
	}
	s.replyError(shardOutcomeError(route.Shard), wire.StateIdle)
}
