package controlplane

import (
	"sync/atomic"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/idempotency"
)

const (
	// leaderTimeout is for how long a request is retried while no leader is known. Callers turn to another machine after
	// a second of silence, and back off before each retry, so that a request that outlasts an election is answered
	// sooner than its retry.
	leaderTimeout = 800 * time.Millisecond
	leaderPause   = 30 * time.Millisecond // between two attempts
)

// submit has the leader decide a request, here or by forwarding it, and gives the caller's answer. It waits for
// requestTimeout at most, after the last attempt, or until the process ends. It is not bound to the context of a
// caller: a request whose caller has gone is decided all the same, and recognized when the caller retries.
func (h *Server) submit(request controlmsg.Request) answer {
	if !h.inContact() {
		return answerTo(errNoContact)
	}
	request.Origin = h.settings.Hostname
	began := time.Now()
	for {
		a, mayHaveRun := h.attempt(request, began.Add(requestTimeout))
		if !a.undecided() {
			return a
		}
		if mayHaveRun && effectOf(&request) == idempotency.AtMostOnce || time.Since(began) > leaderTimeout {
			return a.forCaller()
		}
		select {
		case <-time.After(leaderPause):
		case <-h.ctx.Done():
			return answerTo(errStopping)
		}
	}
}

// effectOf tells which requests can be retried as they were: reads, and changes that are recognized among those that
// were applied.
func effectOf(r *controlmsg.Request) idempotency.Kind {
	if r.ShardChange != nil && r.ShardChange.ID != "" {
		return idempotency.Idempotent
	}
	if r.ShardChange != nil || r.SiteChange != nil || r.SiteLease != nil {
		return idempotency.AtMostOnce
	}
	return idempotency.Idempotent
}

// attempt has one machine decide. mayHaveRun: it may have been carried out.
func (h *Server) attempt(request controlmsg.Request, deadline time.Time) (result answer, mayHaveRun bool) {
	call := &routedCall{request: request, response: make(chan *controlmsg.Response, 1), done: make(chan struct{})}
	defer close(call.done)
	if !h.loop.offer(func() { h.route(call) }) {
		return answerTo(errBusy), false
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case r := <-call.response:
		result = answer{status: r.Status, body: r.Body}
	case <-timer.C:
		result = answerTo(errNoAnswer)
	case <-h.ctx.Done():
		result = answerTo(errStopping)
	}
	return result, call.mayHaveRun.Load()
}

// routedCall is a request that one machine is to decide.
type routedCall struct {
	request    controlmsg.Request
	response   chan *controlmsg.Response // has room for one
	done       chan struct{}             // closed when the caller waits no longer
	mayHaveRun atomic.Bool               // a machine may have decided it
}

// route has a request decided by this machine's own queue, or by the leader, which is asked once. It runs in the
// consensus loop.
func (h *Server) route(call *routedCall) {
	node := h.loop.node
	leader, known := node.Leader()
	if known && leader.ID == node.HardState.ID {
		call.mayHaveRun.Store(true)
		h.loop.submit(call.request, func(status int, body []byte) {
			call.response <- &controlmsg.Response{Status: status, Body: body}
		})
		return
	}
	var l *link
	if known {
		l = h.cores.linkTo(leader.Addr)
	}
	if l == nil {
		unknown := answerTo(errNoLeader)
		call.response <- &controlmsg.Response{Status: unknown.status, Body: unknown.body}
		return
	}
	call.mayHaveRun.Store(true)
	id := h.pending.send(l, leader.Addr, call.request, call.response)
	go func() {
		<-call.done
		h.pending.forget(id)
	}()
}
