package controlplane

// This file owns operators' calls on their way to the machine that leads, and what becomes of them when the lead is another's.

import (
	"net/http"
	"sync"
	"time"

	"weirwind/internal/controlmsg"
)

const (
	// statusNotLeading is said between core machines only: the call was not decided where it went.
	statusNotLeading = http.StatusMisdirectedRequest
	// leaderTimeout is for how long a call is held while nobody is known to lead. Callers go on to another machine after a second
	// of silence, and wait longer before each try, so that a call that outlasts an election is answered sooner than its next try.
	leaderTimeout = 800 * time.Millisecond
	leaderPause   = 30 * time.Millisecond
)

// forwarder holds the calls that wait for an answer.
type forwarder struct {
	mu      sync.Mutex
	number  uint64
	pending map[uint64]*forwarded
}

type forwarded struct {
	leader string // control address of who decides; "" until it was found
	answer chan *controlmsg.Response
}

func (f *forwarder) open() (uint64, *forwarded) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number++
	c := &forwarded{answer: make(chan *controlmsg.Response, 1)}
	f.pending[f.number] = c
	return f.number, c
}

func (f *forwarder) sent(number uint64, leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.pending[number]; c != nil {
		c.leader = leader
	}
}

// answer hands a call its answer; only the first one counts.
func (f *forwarder) answer(r *controlmsg.Response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.pending[r.Number]; c != nil {
		delete(f.pending, r.Number)
		c.answer <- r
	}
}

func (f *forwarder) close(number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, number)
}

// lost is told when a machine leads no longer or its link broke: what was passed on to it has no answer to wait for.
func (f *forwarder) lost(leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for number, c := range f.pending {
		if c.leader == leader && leader != "" {
			delete(f.pending, number)
			c.answer <- &controlmsg.Response{Number: number, Status: statusNotLeading, Body: []byte("who led the core leads no longer\n")}
		}
	}
}

// call answers an operator's call, here or at who leads.
func (h *Server) call(a controlmsg.Request) (int, []byte) {
	if !h.inContact() {
		return http.StatusServiceUnavailable, []byte(noContactText)
	}
	a.Node = h.set.Hostname
	began := time.Now()
	for {
		r, sent := h.callOnce(a, began.Add(requestTimeout))
		if r.Status != statusNotLeading {
			return r.Status, r.Body
		}
		if sent && !repeatable(&a) || time.Since(began) > leaderTimeout {
			return http.StatusServiceUnavailable, r.Body
		}
		select {
		case <-time.After(leaderPause):
		case <-h.ctx.Done():
			return http.StatusServiceUnavailable, []byte("stopping\n")
		}
	}
}

// repeatable says that a call that may have been carried out can be made again as it was: one that was taken is found among those taken.
func repeatable(a *controlmsg.Request) bool {
	return a.Shards == nil && a.Sites == nil && a.Grant == nil
}

// callOnce has one machine decide. sent: it may have been carried out.
func (h *Server) callOnce(a controlmsg.Request, until time.Time) (r *controlmsg.Response, sent bool) {
	number, c := h.calls.open()
	defer h.calls.close(number)
	a.Number = number
	h.loop.do(func() { h.decide(&a) })
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case r = <-c.answer:
	case <-timer.C:
		r = &controlmsg.Response{Status: http.StatusServiceUnavailable, Body: []byte("no answer from who leads the core\n")}
	case <-h.ctx.Done():
		r = &controlmsg.Response{Status: http.StatusServiceUnavailable, Body: []byte("stopping\n")}
	}
	h.calls.mu.Lock()
	defer h.calls.mu.Unlock()
	return r, c.leader != ""
}

// decide runs in the consensus loop: it takes the call here, or passes it on.
func (h *Server) decide(a *controlmsg.Request) {
	leader, known := h.loop.node.Leading()
	switch {
	case known && leader.ID == h.loop.node.HardState.ID:
		h.calls.sent(a.Number, leader.Addr)
		h.loop.take(*a, func(status int, body []byte) {
			h.calls.answer(&controlmsg.Response{Number: a.Number, Status: status, Body: body})
		})
	case known && h.sendCore(leader.Addr, &controlmsg.Frame{Request: a}):
		h.calls.sent(a.Number, leader.Addr)
	default:
		h.calls.answer(&controlmsg.Response{Number: a.Number, Status: statusNotLeading, Body: []byte("nobody is known to lead the core\n")})
	}
}
