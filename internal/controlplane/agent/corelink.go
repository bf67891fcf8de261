package agent

// This file has the link to the core: the renewal of the lease over it, and the failover to another core machine.
// See the package's documentation. All of it runs on the agent's loop, except the reading of links.

import (
	"math/rand/v2"
	"time"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/events"
	"weirwind/internal/util/transport"
)

// coreIdleTimeout closes a link on which nothing is received: three and a half renewal intervals.
const coreIdleTimeout = 3500 * time.Millisecond

// Times of the failover, in milliseconds.
const (
	responseTimeout    = 2500.0   // two renewals and an answer; a silent machine may be frozen or partitioned
	candidateTimeout   = 1000.0   // for a candidate's first answer
	initialBackoff     = 50.0     // before the next machine is tried
	maxBackoff         = 1000.0   // upper bound of the backoff
	maxIsolatedBackoff = 3000.0   // same, while machines answer but have no contact: they report it once regained
	failoverSpread     = 300.0    // mean delay of a failover, so that drivers of a lost machine don't move at once
	stableAfter        = 5000.0   // age at which a link resets the backoff
	nearRetryInterval  = 15_000.0 // mean time between attempts to return from a far machine to a near one

	backoffFactor       = 1.25
	attemptsPerDoubling = 3 // attempts before the dial timeout doubles
)

// coreLink is a link to a core machine that is in use or a candidate.
type coreLink struct {
	link        *controlLink // nil while it is being dialled
	addr        string
	upAt        float64 // when the link was established
	lastFrameAt float64 // when the last frame was received; upAt before the first one
	isolated    bool    // the machine last reported no contact with a majority
}

// coreServes reports whether the machine in use answers and has contact with a majority.
func (a *Agent) coreServes() bool {
	return a.core != nil && !a.core.isolated && a.now()-a.core.lastFrameAt <= responseTimeout
}

// jittered returns a random duration between 0.5 and 1.5 times ms.
func jittered(ms float64) float64 { return ms * (0.5 + rand.Float64()) }

// scheduleFailover schedules an attempt at another machine after a jittered delay in milliseconds, unless an attempt is
// scheduled or under way.
func (a *Agent) scheduleFailover(delay float64) {
	if a.failoverScheduled || a.candidate != nil {
		return
	}
	a.failoverScheduled = true
	a.enqueueAfter(jittered(delay), a.dialNextCore)
}

// scheduleRetry schedules the attempt after a failed one, and increases the backoff up to a limit.
func (a *Agent) scheduleRetry(limit float64) {
	a.scheduleFailover(a.backoff)
	a.backoff = min(a.backoff*backoffFactor, limit)
}

// resetBackoff resets the backoff to its initial value, once a link has been stable.
func (a *Agent) resetBackoff() { a.backoff, a.attempts = initialBackoff, 0 }

// stable reports whether a link is old enough to reset the backoff.
func (a *Agent) stable(core *coreLink) bool { return a.now()-core.upAt > stableAfter }

// dialNextCore dials the next machine, unless the one in use serves or there is a candidate already.
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

// runCoreLink dials a machine and reads the link until it closes. It runs on its own goroutine, which ends with the
// link.
func (a *Agent) runCoreLink(core *coreLink, dialTimeout time.Duration) {
	_ = transport.Dial(core.addr, dialTimeout, coreIdleTimeout, func(link *controlLink) {
		link.SetCounters(&CoreTraffic)
		link.Send(controlmsg.NewHello("agent", a.self.Name, a.self.Addr))
		a.enqueue(func() { a.coreUp(core, link) })
	}, func(_ *controlLink, frame *controlmsg.Frame) {
		a.enqueue(func() { a.handleCoreFrame(core, frame) })
	})
	a.enqueue(func() { a.coreDown(core) })
}

// coreUp handles a new link. It is used at once if there is no other; otherwise it stays a candidate until its machine
// has answered a tentative renewal.
func (a *Agent) coreUp(core *coreLink, link *controlLink) {
	now := a.now()
	core.link, core.upAt, core.lastFrameAt = link, now, now
	if a.core == nil {
		a.switchCore(core)
		return
	}
	renewal := &controlmsg.LeaseRenewal{Driver: a.self, Digest: a.digest(), Tentative: true}
	link.Send(&controlmsg.Frame{LeaseRenewal: renewal})
	a.enqueueAfter(candidateTimeout, func() {
		if a.candidate == core {
			link.Close()
		}
	})
}

// switchCore makes a link the one in use, and closes the previous one.
func (a *Agent) switchCore(core *coreLink) {
	a.nextNearAttempt = a.now() + jittered(nearRetryInterval)
	previous := a.core
	a.core, a.candidate = core, nil
	a.log.Event(events.LinkUp, "core", core.addr)
	if previous != nil {
		a.log.Event(events.CoreFailover, "from", previous.addr, "to", core.addr,
			"apart", previous.isolated, "silentMs", int(a.now()-previous.lastFrameAt))
		previous.link.Close()
	}
	a.renewLease()
}

// coreDown handles a closed link or a failed dial. It ignores a link that was replaced before.
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
			a.switchCore(a.candidate)
			return
		}
		a.scheduleRetry(maxBackoff)
	}
}

// handleCoreFrame handles a frame of a core machine. It drops frames of a link that has been replaced.
func (a *Agent) handleCoreFrame(core *coreLink, frame *controlmsg.Frame) {
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
			a.setLeaseSupport(core, update.WriterLeases)
		}
		a.applyUpdate(update)
	}
	if frame.Statement != nil {
		go relayStatement(core.link, frame.Statement)
	}
	if frame.WriterLeaseGrant != nil {
		a.handleWriterLeaseGrant(frame.WriterLeaseGrant)
	}
	if frame.QuotaGrant != nil {
		a.applyStandbyGrant(frame.QuotaGrant)
	}
	if frame.QuotaAnswer != nil {
		a.handleQuotaAnswer(frame)
	}
	if frame.Digest != nil {
		a.reconcile(core.link, frame.Digest)
	}
	a.evaluateCore(core)
}

// evaluateCore acts on an answer: it switches to a candidate that is preferable, closes one that isn't, and schedules a
// failover if the machine in use has no contact with a majority.
func (a *Agent) evaluateCore(core *coreLink) {
	switch {
	case core == a.candidate && (core.isolated || !a.prefers(core)):
		core.link.Close()
	case core == a.candidate:
		a.switchCore(core)
	case core.isolated:
		a.scheduleFailover(failoverSpread)
	case a.stable(core):
		a.resetBackoff()
	}
}

// prefers reports whether a candidate is better than the machine in use: that machine no longer serves, or it is far
// and the candidate is near.
func (a *Agent) prefers(candidate *coreLink) bool {
	return !a.coreServes() || !a.isNear(a.core.addr) && a.isNear(candidate.addr)
}

// dialNearCore periodically tries a near machine if the one in use is far. Without it agents would stay on far machines
// after the fault that made them fail over has been repaired.
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

// checkCore schedules a failover if the machine in use doesn't serve, and sends a digest to peers. They answer with
// newer state and with the addresses of core machines: all those known here may be on the minority side of a partition.
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
