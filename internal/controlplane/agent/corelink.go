package agent

// This file owns the link to the core: the renewal of the lease over it, and the failover to another core machine.
// See the package's documentation. All of it runs on the agent's loop, but for the reading of links.

import (
	"math/rand/v2"
	"time"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/events"
	"weirwind/internal/util/transport"
)

// coreIdleTimeout ends a link over which nothing comes: three renewals and a half.
const coreIdleTimeout = 3500 * time.Millisecond

// Times of the failover, in milliseconds.
const (
	responseTimeout    = 2500.0   // two renewals and what an answer takes: a silent machine may be frozen or cut off
	candidateTimeout   = 1000.0   // for a candidate's first answer
	initialBackoff     = 50.0     // before the next machine is tried
	maxBackoff         = 1000.0   // bound of its growth
	maxIsolatedBackoff = 3000.0   // where machines answer without contact: they report its return
	failoverSpread     = 300.0    // drivers that lose a machine together fail over within this time
	stableAfter        = 5000.0   // a link that stood for so long resets the backoff
	nearRetryInterval  = 15_000.0 // about how often an agent whose machine is far tries a near one

	backoffFactor       = 1.25
	attemptsPerDoubling = 3 // attempts before the dial timeout doubles
)

// coreLink is a link to a core machine, in use or as a candidate.
type coreLink struct {
	link        *controlLink // nil while it is dialled
	addr        string
	upAt        float64 // when it was made
	lastFrameAt float64 // when its newest frame came; upAt before the first
	isolated    bool    // the machine's newest word: it has no contact with a majority
}

// coreServes reports whether the machine in use answers and has contact.
func (a *Agent) coreServes() bool {
	return a.core != nil && !a.core.isolated && a.now()-a.core.lastFrameAt <= responseTimeout
}

// jittered draws between half and one and a half of a time.
func jittered(ms float64) float64 { return ms * (0.5 + rand.Float64()) }

// scheduleFailover has another machine tried after about so many milliseconds.
func (a *Agent) scheduleFailover(after float64) {
	if a.failoverScheduled || a.candidate != nil {
		return
	}
	a.failoverScheduled = true
	a.after(jittered(after), a.dialNextCore)
}

// scheduleRetry schedules the attempt behind one that failed, and lets the backoff grow up to a bound.
func (a *Agent) scheduleRetry(bound float64) {
	a.scheduleFailover(a.backoff)
	a.backoff = min(a.backoff*backoffFactor, bound)
}

// resetBackoff ends the growth of the backoff once a link has been stable.
func (a *Agent) resetBackoff() { a.backoff, a.attempts = initialBackoff, 0 }

// stable reports whether a link has stood for so long that the backoff is reset.
func (a *Agent) stable(core *coreLink) bool { return a.now()-core.upAt > stableAfter }

// dialNextCore dials the next machine, unless that is needless or a candidate is being tried.
func (a *Agent) dialNextCore() {
	a.failoverScheduled = false
	if a.candidate != nil || a.coreServes() {
		return
	}
	addr, found := a.otherCore()
	if !found {
		a.scheduleRetry(maxIsolatedBackoff)
		return
	}
	a.dialCandidate(addr)
}

func (a *Agent) dialCandidate(addr string) {
	a.attempts++
	candidate := &coreLink{addr: addr}
	a.candidate = candidate
	go a.runCoreLink(candidate, transport.DialTimeout(a.attempts/attemptsPerDoubling))
}

// runCoreLink dials a machine and reads the link until it ends. It runs on a goroutine of its own, which ends with
// the link.
func (a *Agent) runCoreLink(core *coreLink, dialTimeout time.Duration) {
	_ = transport.Dial(core.addr, dialTimeout, coreIdleTimeout, func(link *controlLink) {
		link.SetCounters(&CoreTraffic)
		link.Send(controlmsg.NewHello("agent", a.self.Name, a.self.Addr))
		a.do(func() { a.coreUp(core, link) })
	}, func(_ *controlLink, frame *controlmsg.Frame) {
		a.do(func() { a.takeFromCore(core, frame) })
	})
	a.do(func() { a.coreDown(core) })
}

// coreUp puts a new link to use where there is none; else it is a candidate until its machine has answered.
func (a *Agent) coreUp(core *coreLink, link *controlLink) {
	now := a.now()
	core.link, core.upAt, core.lastFrameAt = link, now, now
	if a.core == nil {
		a.moveTo(core)
		return
	}
	renewal := &controlmsg.LeaseRenewal{Driver: a.self, Digest: a.digest(), Tentative: true}
	link.Send(&controlmsg.Frame{LeaseRenewal: renewal})
	a.after(candidateTimeout, func() {
		if a.candidate == core {
			link.Close()
		}
	})
}

// moveTo makes a link the one in use, and ends the one before it.
func (a *Agent) moveTo(core *coreLink) {
	a.nextNearAttempt = a.now() + jittered(nearRetryInterval)
	former := a.core
	a.core, a.candidate = core, nil
	a.log.Event(events.LinkUp, "core", core.addr)
	if former != nil {
		a.log.Event(events.CoreFailover, "from", former.addr, "to", core.addr,
			"apart", former.isolated, "silentMs", int(a.now()-former.lastFrameAt))
		former.link.Close()
	}
	a.renewLease()
}

// coreDown follows the end of a link, or of a dial that failed. A link that was replaced before needs nothing.
func (a *Agent) coreDown(core *coreLink) {
	switch core {
	case a.candidate:
		a.candidate = nil
		if core.isolated {
			a.scheduleRetry(maxIsolatedBackoff)
		} else {
			a.scheduleRetry(maxBackoff)
		}
	case a.core:
		a.log.Event(events.LinkDown, "core", core.addr)
		a.core = nil
		if a.stable(core) {
			a.resetBackoff()
		}
		if a.candidate != nil && a.candidate.link != nil {
			a.moveTo(a.candidate)
			return
		}
		a.scheduleRetry(maxBackoff)
	}
}

// takeFromCore takes a core machine's frame. What comes late over a link that was replaced is dropped.
func (a *Agent) takeFromCore(core *coreLink, frame *controlmsg.Frame) {
	if core != a.core && core != a.candidate {
		return
	}
	core.lastFrameAt = a.now()
	if frame.Hello != nil {
		controlmsg.HandleHello(core.link, frame.Hello)
		return
	}
	if update := frame.Update; update != nil {
		if update.QuorumContactAgeMs != nil {
			core.isolated = *update.QuorumContactAgeMs > consensus.ContactLease
		}
		a.applyUpdate(update)
	}
	if frame.QuotaGrant != nil {
		a.takeStandbyGrant(frame.QuotaGrant)
	}
	if frame.QuotaAnswer != nil {
		a.takeQuotaAnswer(frame)
	}
	if frame.Digest != nil {
		a.reconcile(core.link, frame.Digest)
	}
	a.evaluate(core)
}

// evaluate follows an answer: it moves to a candidate that has contact, and fails over where the machine in use has
// none.
func (a *Agent) evaluate(core *coreLink) {
	switch {
	case core == a.candidate && (core.isolated || !a.prefers(core)):
		core.link.Close()
	case core == a.candidate:
		a.moveTo(core)
	case core.isolated:
		a.scheduleFailover(failoverSpread)
	case a.stable(core):
		a.resetBackoff()
	}
}

// prefers reports whether a candidate is better than the machine in use: that one serves no longer, or is far and the
// candidate near.
func (a *Agent) prefers(candidate *coreLink) bool {
	return !a.coreServes() || !a.isNear(a.core.addr) && a.isNear(candidate.addr)
}

// dialNearCore tries to return to a near machine, from time to time, where the one in use is far: all agents would
// otherwise stay where a fault that is over has driven them.
func (a *Agent) dialNearCore() {
	near, _ := a.coresByDistance()
	if len(near) == 0 || a.candidate != nil || a.isNear(a.core.addr) || a.now() < a.nextNearAttempt {
		return
	}
	a.nextNearAttempt = a.now() + jittered(nearRetryInterval)
	a.dialCandidate(near[rand.IntN(len(near))])
}

// renewLease renews the driver's lease at the machine in use.
func (a *Agent) renewLease() {
	if a.core != nil {
		renewal := &controlmsg.LeaseRenewal{Driver: a.self, Digest: a.digest()}
		a.core.link.Send(&controlmsg.Frame{LeaseRenewal: renewal})
	}
}

// checkCore fails over where the machine in use does not serve. Meanwhile peers are asked for what is new, and for
// the addresses of the core: those known here may all be on the wrong side of a partition.
func (a *Agent) checkCore() {
	if a.coreServes() {
		a.dialNearCore()
		return
	}
	if a.core != nil {
		a.scheduleFailover(failoverSpread)
	}
	a.sendDigestToPeers()
}
