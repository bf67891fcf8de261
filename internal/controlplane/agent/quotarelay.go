package agent

// This file owns the way of a proxy's requests for tokens of quotas: to the core machine in use, or to a stand-by while
// this agent's core machine doesn't answer. All of it runs on the agent's loop.

import (
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/transport"
)

const (
	quotaAnswerTimeout = 200.0 // milliseconds without an answer, after which requests go another way
	relayDialRounds    = 1     // of transport.DialTimeout: a stand-by is near, or not reached at all
)

// quotaWay is the way that requests for tokens take, and those of other agents that came by this one.
type quotaWay struct {
	own      bool         // they are answered by this agent's own shares
	relay    *controlLink // of the agent that they go to; nil: to the core machine in use, unless own is set
	since    float64      // when that way was taken, in milliseconds
	attempts int          // stand-bys that were tried since the core machine answered
	dialing  bool

	unanswered float64 // when the oldest request without an answer was sent; 0: there is none

	origins map[string]*controlLink // of agents whose requests came by here, by driver
}

// byCore reports whether requests go to the core machine in use.
func (w *quotaWay) byCore() bool { return !w.own && w.relay == nil }

// sendQuotaRequest sends a proxy's request for tokens. One that gets no answer is lost: the proxy asks again. A core
// machine without contact may still hold a lease of shares, so that it is asked too.
func (a *Agent) sendQuotaRequest(frame *controlmsg.Frame) {
	frame.QuotaRequest.Driver = a.self.Name
	now := a.now()
	a.chooseQuotaWay(now)
	way := &a.quotaWay
	switch {
	case way.own:
		a.takeQuotaAnswer(a.answerFromShares(frame.QuotaRequest))
		return
	case way.relay != nil:
		way.relay.Send(frame)
	case a.core != nil:
		a.core.link.Send(frame)
	}
	if way.unanswered == 0 {
		way.unanswered = now
	}
}

// chooseQuotaWay returns to the core machine once it has answered anything since, and takes another way where the
// present one gives no answers.
func (a *Agent) chooseQuotaWay(now float64) {
	way := &a.quotaWay
	switch {
	case !way.byCore() && a.core != nil && a.core.lastFrameAt > way.since:
		a.useCore()
	case way.own && a.holdsShares():
	case way.own:
		a.useCore()
	case way.unanswered == 0 || now-way.unanswered < quotaAnswerTimeout || way.dialing:
	case a.holdsShares():
		a.leaveRelay()
		way.own, way.since = true, now
	default:
		way.unanswered = 0
		a.dialStandby()
	}
}

// useCore has requests go to the core machine in use again.
func (a *Agent) useCore() {
	a.leaveRelay()
	a.quotaWay.own, a.quotaWay.attempts = false, 0
}

// leaveRelay ends the link that requests go by.
func (a *Agent) leaveRelay() {
	if relay := a.quotaWay.relay; relay != nil {
		a.quotaWay.relay = nil
		relay.Close()
	}
	a.quotaWay.unanswered = 0
}

// dialStandby dials the next stand-by: which of them are out of reach, too, or have no shares, is not known.
func (a *Agent) dialStandby() {
	standbys := a.standbys()
	if len(standbys) == 0 {
		return
	}
	way := &a.quotaWay
	driver := standbys[way.attempts%len(standbys)]
	way.attempts++
	if driver.Name == a.self.Name {
		return
	}
	way.dialing = true
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
	a.quotaWay.relay, a.quotaWay.since, a.quotaWay.dialing = link, a.now(), false
}

// relayDown follows the end of a stand-by's link; nil: it could not be dialled.
func (a *Agent) relayDown(link *controlLink) {
	switch link {
	case nil:
		a.quotaWay.dialing = false
	case a.quotaWay.relay:
		a.leaveRelay()
	}
}

// takeRelayedRequest takes another agent's request: it goes to this one's core machine, or is answered by its shares.
func (a *Agent) takeRelayedRequest(from *controlLink, frame *controlmsg.Frame) {
	switch {
	case a.quotaWay.byCore() && a.coreServes():
		a.quotaWay.origins[frame.QuotaRequest.Driver] = from
		a.core.link.Send(frame)
	case a.holdsShares():
		from.Send(a.answerFromShares(frame.QuotaRequest))
	}
}

// takeQuotaAnswer passes an answer on to the proxy, or to the agent whose proxy asked. A proxy drops an answer to
// another one's request.
func (a *Agent) takeQuotaAnswer(frame *controlmsg.Frame) {
	if frame.QuotaAnswer.Driver == a.self.Name {
		a.quotaWay.unanswered = 0
		for link := range a.proxies {
			link.Send(frame)
		}
		return
	}
	if origin := a.quotaWay.origins[frame.QuotaAnswer.Driver]; origin != nil {
		origin.Send(frame)
	}
}

// forgetOrigins forgets agents whose links have ended.
func (a *Agent) forgetOrigins() {
	for driver, link := range a.quotaWay.origins {
		if !link.Up() {
			delete(a.quotaWay.origins, driver)
		}
	}
}
