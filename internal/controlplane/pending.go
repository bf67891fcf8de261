package controlplane

// This file owns which call an answer belongs to: calls that this machine passed on to who leads, and that wait.

import (
	"sync"
	"time"

	"weirwind/internal/controlplane/controlmsg"
)

// callID is a call's identity. A number is never used twice by one process, nor, as it begins at the time of day, by
// two lives of one; an answer counts only where it comes over the very link that the call went out on.
type callID struct {
	link   *link
	number uint64
}

// pendingCalls are those that wait for their answer.
type pendingCalls struct {
	mu     sync.Mutex
	number uint64
	calls  map[callID]pendingCall
}

type pendingCall struct {
	leader string                      // control address of who was asked
	answer chan<- *controlmsg.Response // takes one without waiting
}

func newPendingCalls(start time.Time) *pendingCalls {
	return &pendingCalls{number: uint64(start.UnixNano()), calls: map[callID]pendingCall{}}
}

// add has a call that goes out to a leader over a link wait for its answer in ch, which must have room for one.
func (p *pendingCalls) add(l *link, leader string, ch chan<- *controlmsg.Response) callID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	id := callID{l, p.number}
	p.calls[id] = pendingCall{leader, ch}
	return id
}

// send puts a call over a link to a leader, once, and has its answer come to ch.
func (p *pendingCalls) send(l *link, leader string, r controlmsg.Request, ch chan<- *controlmsg.Response) callID {
	id := p.add(l, leader, ch)
	r.Number = id.number
	if !l.Send(&controlmsg.Frame{Request: &r}) {
		p.lost(l)
	}
	return id
}

// forget lets go of a call whose caller waits no longer: its answer will be dropped.
func (p *pendingCalls) forget(id callID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, id)
}

// answer gives a response to its call. One that nobody waits for is dropped.
func (p *pendingCalls) answer(l *link, r *controlmsg.Response) {
	p.mu.Lock()
	id := callID{l, r.Number}
	c, waits := p.calls[id]
	delete(p.calls, id)
	p.mu.Unlock()
	if waits {
		c.answer <- r
	}
}

// lost ends all calls that went out over a link that has ended: what came of them is not known, and no answer can
// come any more.
func (p *pendingCalls) lost(l *link) {
	p.end(func(id callID, _ pendingCall) bool { return id.link == l })
}

// leadEnded ends all calls that were passed on to a machine that leads no longer.
func (p *pendingCalls) leadEnded(leader string) {
	p.end(func(_ callID, c pendingCall) bool { return leader != "" && c.leader == leader })
}

func (p *pendingCalls) end(which func(callID, pendingCall) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.calls {
		if which(id, c) {
			delete(p.calls, id)
			c.answer <- &controlmsg.Response{Status: statusNotLeading, Body: []byte("who led the core leads no longer, or can't be reached\n")}
		}
	}
}
