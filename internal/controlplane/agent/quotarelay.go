package agent

// This file has the routing of a proxy's requests for quota tokens: to the core machine in use, or to a standby (see
// standby.go) while the core machine doesn't answer. All of it runs on the agent's loop.

import (
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/transport"
)

const (
	quotaAnswerTimeout = 200.0 // milliseconds without an answer after which another route is chosen
	relayDialRounds    = 1     // argument of transport.DialTimeout: a standby is near, or unreachable
)

// quotaRoute is the current route of requests for tokens, and the links of agents whose requests this one relays.
type quotaRoute struct {
	answerLocally bool         // by this agent's own shares
	relay         *controlLink // to the standby that gets requests; nil: the core machine in use, unless answerLocally
	chosenAt      float64      // when the route was chosen, in milliseconds
	attempts      int          // standbys tried since the core machine last answered
	dialing       bool

	unansweredSince float64 // when the oldest request without an answer was sent; 0: none

	originLinks map[string]*controlLink // of agents whose requests this one relays, by driver
}

// viaCore reports whether requests go to the core machine in use.
func (r *quotaRoute) viaCore() bool { return !r.answerLocally && r.relay == nil }

// sendQuotaRequest sends a proxy's request for tokens. A request without an answer is not repeated here: the proxy
// sends a new one. A core machine without contact may still hold a lease on shares, so it gets requests too.
func (a *Agent) sendQuotaRequest(frame *controlmsg.Frame) {
	frame.QuotaRequest.Driver = a.self.Name
	now := a.now()
	a.chooseQuotaRoute(now)
	route := &a.quotaRoute
	switch {
	case route.answerLocally:
		a.handleQuotaAnswer(a.answerFromShares(frame.QuotaRequest))
		return
	case route.relay != nil:
		route.relay.Send(frame)
	case a.core != nil:
		a.core.link.Send(frame)
	}
	if route.unansweredSince == 0 {
		route.unansweredSince = now
	}
}

// chooseQuotaRoute returns to the core machine once it has sent any frame since the route was chosen, and chooses
// another route if requests over the current one stay unanswered.
func (a *Agent) chooseQuotaRoute(now float64) {
	route := &a.quotaRoute
	switch {
	case !route.viaCore() && a.core != nil && a.core.lastFrameAt > route.chosenAt:
		a.routeViaCore()
	case route.answerLocally && a.holdsShares():
	case route.answerLocally:
		a.routeViaCore()
	case route.unansweredSince == 0 || now-route.unansweredSince < quotaAnswerTimeout || route.dialing:
	case a.holdsShares():
		a.closeRelay()
		route.answerLocally, route.chosenAt = true, now
	default:
		route.unansweredSince = 0
		a.dialStandby()
	}
}

// routeViaCore routes requests to the core machine in use again.
func (a *Agent) routeViaCore() {
	a.closeRelay()
	a.quotaRoute.answerLocally, a.quotaRoute.attempts = false, 0
}

// closeRelay closes the link to the standby that gets requests, if there is one.
func (a *Agent) closeRelay() {
	if relay := a.quotaRoute.relay; relay != nil {
		a.quotaRoute.relay = nil
		relay.Close()
	}
	a.quotaRoute.unansweredSince = 0
}

// dialStandby dials the next standby. Standbys are tried in turn: which of them are reachable and have shares is not
// known in advance.
func (a *Agent) dialStandby() {
	standbys := a.standbys()
	if len(standbys) == 0 {
		return
	}
	route := &a.quotaRoute
	driver := standbys[route.attempts%len(standbys)]
	route.attempts++
	if driver.Name == a.self.Name {
		return
	}
	route.dialing = true
	go func() { // ends with the link, at the latest by its idle timeout
		var relay *controlLink
		_ = transport.Dial(driver.Addr, transport.DialTimeout(relayDialRounds), coreIdleTimeout,
			func(link *controlLink) {
				relay = link
				link.SetCounters(&PeerTraffic)
				link.Send(controlmsg.NewHello("agent", a.self.Name, a.self.Addr))
				a.enqueue(func() { a.relayUp(link) })
			}, a.handlePeerFrame)
		a.enqueue(func() { a.relayDown(relay) })
	}()
}

func (a *Agent) relayUp(link *controlLink) {
	a.closeRelay()
	a.quotaRoute.relay, a.quotaRoute.chosenAt, a.quotaRoute.dialing = link, a.now(), false
}

// relayDown handles the end of a link to a standby; link is nil if the dial failed.
func (a *Agent) relayDown(link *controlLink) {
	switch link {
	case nil:
		a.quotaRoute.dialing = false
	case a.quotaRoute.relay:
		a.closeRelay()
	}
}

// handleRelayedRequest handles another agent's request: it is forwarded to this agent's core machine, or answered from
// this agent's shares.
func (a *Agent) handleRelayedRequest(from *controlLink, frame *controlmsg.Frame) {
	switch {
	case a.quotaRoute.viaCore() && a.coreServes():
		a.quotaRoute.originLinks[frame.QuotaRequest.Driver] = from
		a.core.link.Send(frame)
	case a.holdsShares():
		from.Send(a.answerFromShares(frame.QuotaRequest))
	}
}

// handleQuotaAnswer passes an answer on to the proxy, or to the agent whose proxy made the request. A proxy drops an
// answer to another proxy's request.
func (a *Agent) handleQuotaAnswer(frame *controlmsg.Frame) {
	if frame.QuotaAnswer.Driver == a.self.Name {
		a.quotaRoute.unansweredSince = 0
		a.sendToProxies(frame)
		return
	}
	if origin := a.quotaRoute.originLinks[frame.QuotaAnswer.Driver]; origin != nil {
		origin.Send(frame)
	}
}

// purgeOrigins removes agents whose links are closed.
func (a *Agent) purgeOrigins() {
	for driver, link := range a.quotaRoute.originLinks {
		if !link.Up() {
			delete(a.quotaRoute.originLinks, driver)
		}
	}
}
