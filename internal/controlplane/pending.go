package controlplane

import (
	"sync"
	"time"

	"weirwind/internal/controlplane/controlmsg"
)

// callID identifies a forwarded request. Numbers start at the wall-clock time of the process's start, so that neither
// one process nor two of its incarnations use a number twice. A response counts only if it arrives on the link on which
// the request was sent.
type callID struct {
	link   *link
	number uint64
}

// pendingCalls holds the requests that were forwarded to the leader and wait for their response. Any goroutine may use
// it. Each call gets at most one response: the leader's, or one with statusNotLeader if none can arrive any more.
type pendingCalls struct {
	mu     sync.Mutex
	number uint64 // of the newest call
	calls  map[callID]pendingCall
}

type pendingCall struct {
	leader   string                      // control address of the machine that the request was sent to
	response chan<- *controlmsg.Response // accepts one response without blocking
}

func newPendingCalls(start time.Time) *pendingCalls {
	return &pendingCalls{number: uint64(start.UnixNano()), calls: map[callID]pendingCall{}}
}

// add registers a request that is sent to a leader over a link. Its response goes to the channel response, which must
// have buffer space for one.
func (p *pendingCalls) add(via *link, leader string, response chan<- *controlmsg.Response) callID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	id := callID{via, p.number}
	p.calls[id] = pendingCall{leader, response}
	return id
}

// send sends a request to a leader over a link, once. Its response goes to the channel response.
func (p *pendingCalls) send(via *link, leader string, r controlmsg.Request,
	response chan<- *controlmsg.Response) callID {
	id := p.add(via, leader, response)
	r.Number = id.number
	if !via.Send(&controlmsg.Frame{Request: &r}) {
		p.failLink(via)
	}
	return id
}

// forget drops a call whose caller has stopped waiting. Its response will be ignored.
func (p *pendingCalls) forget(id callID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, id)
}

// answer passes a response to its call. A response without a pending call is dropped.
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

// failLink fails the calls that were sent over a link that has ended. Their outcome is unknown, and no response can
// arrive any more.
func (p *pendingCalls) failLink(down *link) {
	p.fail(func(id callID, _ pendingCall) bool { return id.link == down })
}

// failLeader fails the calls that were forwarded to a machine that no longer leads.
func (p *pendingCalls) failLeader(leader string) {
	p.fail(func(_ callID, call pendingCall) bool { return leader != "" && call.leader == leader })
}

func (p *pendingCalls) fail(matches func(callID, pendingCall) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, call := range p.calls {
		if matches(id, call) {
			delete(p.calls, id)
			lost := errorAnswer(errLeaderLost)
			call.response <- &controlmsg.Response{Status: lost.status, Body: lost.body}
		}
	}
}
