package agent

// This file owns the way of a proxy's requests for tokens of quotas: to the core machine in use, or by another agent
// that has one, while this agent's core machines don't answer. All of it runs on the agent's loop.

import (
	"math/rand/v2"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/transport"
)

const (
	quotaAnswerTimeout = 200.0 // milliseconds without an answer, after which requests go another way
	relayDialRounds    = 1     // of transport.DialTimeout: a relay is near, or not reached at all
)

// quotaRelay is the way that requests for tokens take, and those of other agents that come by this one.
type quotaRelay struct {
	link       *controlLink // of the agent that requests go by; nil: they go to the core machine in use
	since      float64      // when that way was taken, in milliseconds
	unanswered float64      // when the oldest request without an answer was sent; 0: there is none
	dialing    bool

	origins map[string]*controlLink // of agents whose requests came by here, by driver
}

// sendQuotaRequest sends a proxy's request for tokens. One that gets no answer is lost: the proxy asks again. A core
// machine without contact may still hold a lease of shares, so that it is asked too.
func (a *Agent) sendQuotaRequest(frame *controlmsg.Frame) {
	frame.QuotaRequest.Driver = a.self.Name
	now := a.now()
	a.chooseQuotaWay(now)
	link := a.quotas.link
	if link == nil && a.core != nil {
		link = a.core.link
	}
	if a.quotas.unanswered == 0 {
		a.quotas.unanswered = now
	}
	if link != nil {
		link.Send(frame)
	}
}

// chooseQuotaWay returns to the core machine once it has answered since, and takes another way where none answers.
func (a *Agent) chooseQuotaWay(now float64) {
	q := &a.quotas
	if q.link != nil && a.core != nil && a.core.lastFrameAt > q.since {
		a.leaveRelay()
		return
	}
	if q.unanswered == 0 || now-q.unanswered < quotaAnswerTimeout || q.dialing {
		return
	}
	q.unanswered = 0
	a.dialRelay()
}

// leaveRelay has requests go to the core machine in use.
func (a *Agent) leaveRelay() {
	if a.quotas.link != nil {
		a.quotas.link.Close()
	}
	a.quotas.link, a.quotas.unanswered = nil, 0
}

// dialRelay dials an agent drawn from all, as those that can reach a core machine are not known.
func (a *Agent) dialRelay() {
	if len(a.drivers) == 0 {
		return
	}
	driver := a.drivers[rand.IntN(len(a.drivers))]
	if driver.Name == a.self.Name {
		return
	}
	a.quotas.dialing = true
	go func() { // ends with the link, which ends by its idle timeout at the latest
		var relay *controlLink
		_ = transport.Dial(driver.Addr, transport.DialTimeout(relayDialRounds), coreIdleTimeout,
			func(link *controlLink) {
				relay = link
				link.SetCounters(&PeerTraffic)
				link.Send(controlmsg.NewHello("agent", a.self.Name, a.self.Addr))
				a.do(func() { a.relayUp(link) })
			}, a.takeFromPeer)
		a.do(func() { a.relayDown(relay) })
	}()
}

func (a *Agent) relayUp(link *controlLink) {
	a.leaveRelay()
	a.quotas.link, a.quotas.since, a.quotas.dialing = link, a.now(), false
}

// relayDown follows the end of a relay's link; nil: it could not be dialled.
func (a *Agent) relayDown(link *controlLink) {
	switch link {
	case nil:
		a.quotas.dialing = false
	case a.quotas.link:
		a.leaveRelay()
	}
}

// relayQuotaRequest forwards another agent's request to this one's core machine. It goes by one agent only.
func (a *Agent) relayQuotaRequest(from *controlLink, frame *controlmsg.Frame) {
	if !a.coreServes() || a.quotas.link != nil {
		return
	}
	a.quotas.origins[frame.QuotaRequest.Driver] = from
	a.core.link.Send(frame)
}

// takeQuotaAnswer passes an answer on to the proxy, or to the agent whose proxy asked. A proxy drops an answer to
// another one's request.
func (a *Agent) takeQuotaAnswer(frame *controlmsg.Frame) {
	if frame.QuotaAnswer.Driver == a.self.Name {
		a.quotas.unanswered = 0
		for link := range a.proxies {
			link.Send(frame)
		}
		return
	}
	if origin := a.quotas.origins[frame.QuotaAnswer.Driver]; origin != nil {
		origin.Send(frame)
	}
}

// forgetOrigins forgets agents whose links have ended.
func (a *Agent) forgetOrigins() {
	for driver, link := range a.quotas.origins {
		if !link.Up() {
			delete(a.quotas.origins, driver)
		}
	}
}
