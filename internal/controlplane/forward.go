package controlplane

// This file owns operators' calls on their way to the machine that leads, and what becomes of them when the lead is another's.

import (
	"net/http"
	"sync/atomic"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/idempotency"
)

const (
	// statusNotLeading is said between core machines only: the call was not decided where it went.
	statusNotLeading = http.StatusMisdirectedRequest
	// leaderTimeout is for how long a call is held while nobody is known to lead. Callers go on to another machine after a second
	// of silence, and wait longer before each try, so that a call that outlasts an election is answered sooner than its next try.
	leaderTimeout = 800 * time.Millisecond
	leaderPause   = 30 * time.Millisecond
)

// call answers an operator's call, here or at who leads.
func (h *Server) call(a controlmsg.Request) (int, []byte) {
	if !h.inContact() {
		return http.StatusServiceUnavailable, []byte(noContactText + "\n")
	}
	a.Origin = h.set.Hostname
	began := time.Now()
	for {
		r, sent := h.callOnce(a, began.Add(requestTimeout))
		if r.Status != statusNotLeading {
			return r.Status, r.Body
		}
		if sent && kindOf(&a) == idempotency.AtMostOnce || time.Since(began) > leaderTimeout {
			return http.StatusServiceUnavailable, r.Body
		}
		select {
		case <-time.After(leaderPause):
		case <-h.ctx.Done():
			return http.StatusServiceUnavailable, []byte("stopping\n")
		}
	}
}

// kindOf says which calls can be made again as they were: readings, and changes that are found among those taken.
func kindOf(a *controlmsg.Request) idempotency.Kind {
	if a.ShardChange != nil || a.SiteChange != nil || a.SiteLease != nil {
		return idempotency.AtMostOnce
	}
	return idempotency.Idempotent
}

// callOnce has one machine decide. sent: it may have been carried out.
func (h *Server) callOnce(a controlmsg.Request, until time.Time) (r *controlmsg.Response, sent bool) {
	c := &routedCall{request: a, answer: make(chan *controlmsg.Response, 1), over: make(chan struct{})}
	defer close(c.over)
	h.loop.do(func() { h.route(c) })
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case r = <-c.answer:
	case <-timer.C:
		r = &controlmsg.Response{Status: http.StatusServiceUnavailable, Body: []byte("no answer from who leads the core\n")}
	case <-h.ctx.Done():
		r = &controlmsg.Response{Status: http.StatusServiceUnavailable, Body: []byte("stopping\n")}
	}
	return r, c.sent.Load()
}

// routedCall is a call that one machine is to decide.
type routedCall struct {
	request controlmsg.Request
	answer  chan *controlmsg.Response // has room for one
	over    chan struct{}             // closed when the caller waits no longer
	sent    atomic.Bool               // somebody may have decided it
}

// route runs in the consensus loop: the call is decided in this machine's own queue, or by who leads, who is asked once.
func (h *Server) route(c *routedCall) {
	leader, known := h.loop.node.Leader()
	if known && leader.ID == h.loop.node.HardState.ID {
		c.sent.Store(true)
		h.loop.take(c.request, func(status int, body []byte) { c.answer <- &controlmsg.Response{Status: status, Body: body} })
		return
	}
	var l *link
	if known {
		l = h.coreLink(leader.Addr)
	}
	if l == nil {
		c.answer <- &controlmsg.Response{Status: statusNotLeading, Body: []byte("nobody is known to lead the core\n")}
		return
	}
	c.sent.Store(true)
	id := h.pending.send(l, leader.Addr, c.request, c.answer)
	go func() {
		<-c.over
		h.pending.forget(id)
	}()
}
