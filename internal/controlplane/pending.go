package controlplane

import (
	"sync"
	"time"

	"weirwind/internal/controlplane/controlmsg"
)

// callID is a forwarded request's identity. A number is never used twice by one process, nor, as it begins at the
// time of day, by two incarnations of one; a response counts only where it comes over the very link that the request
// went out on.
type callID struct {
	link   *link
	number uint64
}

// pendingCalls are the requests that were forwarded to the leader and wait for their response. Any goroutine may use
// them. Each call gets one response at most: the leader's, or one by statusNotLeader where none can come any more.
type pendingCalls struct {
	mu     sync.Mutex
	number uint64 // of the newest
	calls  map[callID]pendingCall
}

type pendingCall struct {
	leader   string                      // control address of the machine that was asked
	response chan<- *controlmsg.Response // accepts one without waiting
}

func newPendingCalls(start time.Time) *pendingCalls {
	return &pendingCalls{number: uint64(start.UnixNano()), calls: map[callID]pendingCall{}}
}

// add registers a request that goes out to a leader over a link. Its response goes to response, which must have room
// for one.
func (p *pendingCalls) add(over *link, leader string, response chan<- *controlmsg.Response) callID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	id := callID{over, p.number}
	p.calls[id] = pendingCall{leader, response}
	return id
}

// send sends a request over a link to a leader, once, and has its response go to response.
func (p *pendingCalls) send(over *link, leader string, r controlmsg.Request,
	response chan<- *controlmsg.Response) callID {
	id := p.add(over, leader, response)
	r.Number = id.number
	if !over.Send(&controlmsg.Frame{Request: &r}) {
		p.failLink(over)
	}
	return id
}

// forget drops a call whose caller waits no longer: its response will be dropped.
func (p *pendingCalls) forget(id callID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, id)
}

// answer gives a response to its call. One that nobody waits for is dropped.
func (p *pendingCalls) answer(from *link, r *controlmsg.Response) {
	p.mu.Lock()
	id := callID{from, r.Number}
	call, pending := p.calls[id]
	delete(p.calls, id)
	p.mu.Unlock()
	if pending {
		call.response <- r
	}
}

// failLink ends the calls that went out over a link that has ended: what became of them is not known, and no response
// can come any more.
func (p *pendingCalls) failLink(down *link) {
	p.fail(func(id callID, _ pendingCall) bool { return id.link == down })
}

// failLeader ends the calls that were forwarded to a machine that leads no longer.
func (p *pendingCalls) failLeader(leader string) {
	p.fail(func(_ callID, call pendingCall) bool { return leader != "" && call.leader == leader })
}

func (p *pendingCalls) fail(matches func(callID, pendingCall) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, call := range p.calls {
		if matches(id, call) {
			delete(p.calls, id)
			lost := answerTo(errLeaderLost)
			call.response <- &controlmsg.Response{Status: lost.status, Body: lost.body}
		}
	}
}
