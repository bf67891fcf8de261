package controlplane

import (
	"sync/atomic"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/idempotency"
)

const (
	// leaderTimeout is how long a request is retried while no leader is known. Callers turn to another machine after a
	// second without an answer, and back off before each retry, so that waiting out an election here is faster than the
	// caller's retry.
	leaderTimeout       = 800 * time.Millisecond
	leaderRetryInterval = 30 * time.Millisecond // between two attempts
)

// submit has the leader decide a request, here or by forwarding it, and returns the answer for the caller. It waits for
// requestTimeout in total, or until the process stops. It is not bound to the caller's context: a request whose caller
// has disconnected is still decided, and recognized when the caller retries.
func (srv *Server) submit(request controlmsg.Request) answer {
	if !srv.inContact() {
		return errorAnswer(errNoContact)
	}
	request.Origin = srv.settings.Hostname
	startedAt := time.Now()
	for {
		result, mayHaveRun := srv.attempt(request, startedAt.Add(requestTimeout))
		if !result.undecided() {
			return result
		}
		if mayHaveRun && idempotencyOf(&request) == idempotency.AtMostOnce || time.Since(startedAt) > leaderTimeout {
			return result.forCaller()
		}
		select {
		case <-time.After(leaderRetryInterval):
		case <-srv.ctx.Done():
			return errorAnswer(errStopping)
		}
	}
}

// idempotencyOf reports whether a request can be repeated unchanged. That holds for reads, and for changes that are
// recognized if they were applied before.
func idempotencyOf(r *controlmsg.Request) idempotency.Kind {
	if r.ShardChange != nil && r.ShardChange.ID != "" {
		return idempotency.Idempotent
	}
	if r.ShardChange != nil || r.SiteChange != nil || r.SiteLease != nil {
		return idempotency.AtMostOnce
	}
	return idempotency.Idempotent
}

// attempt has one machine decide a request. mayHaveRun reports whether the request may have been carried out.
func (srv *Server) attempt(request controlmsg.Request, deadline time.Time) (result answer, mayHaveRun bool) {
	call := &routedCall{request: request, response: make(chan *controlmsg.Response, 1), done: make(chan struct{})}
	defer close(call.done)
	if !srv.loop.offer(func() { srv.route(call) }) {
		return errorAnswer(errBusy), false
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r := <-call.response:
		result = answer{status: r.Status, body: r.Body}
	case <-timer.C:
		result = errorAnswer(errNoAnswer)
	case <-srv.ctx.Done():
		result = errorAnswer(errStopping)
	}
	return result, call.mayHaveRun.Load()
}

// routedCall is one attempt to have a machine decide a request.
type routedCall struct {
	request    controlmsg.Request
	response   chan *controlmsg.Response // buffers one response
	done       chan struct{}             // closed when the caller stops waiting
	mayHaveRun atomic.Bool               // a machine may have decided it
}

// route has a request decided by this machine's own queue if it leads; otherwise it forwards the request to the leader
// once. It runs in the consensus loop.
func (srv *Server) route(call *routedCall) {
	node := srv.loop.node
	leader, known := node.Leader()
	if known && leader.ID == node.HardState.ID {
		call.mayHaveRun.Store(true)
		srv.loop.submit(call.request, func(status int, body []byte) {
			call.response <- &controlmsg.Response{Status: status, Body: body}
		})
		return
	}
	var l *link
	if known {
		l = srv.cores.linkTo(leader.Addr)
	}
	if l == nil {
		unknown := errorAnswer(errNoLeader)
		call.response <- &controlmsg.Response{Status: unknown.status, Body: unknown.body}
		return
	}
	call.mayHaveRun.Store(true)
	id := srv.pending.send(l, leader.Addr, call.request, call.response)
	go func() {
		<-call.done
		srv.pending.forget(id)
	}()
}
