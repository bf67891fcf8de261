package proxy

import (
	"math"
	"math/rand/v2"
	"sync"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/transport"
	"weirwind/internal/writerlease"
)

// Times of writer leases, in milliseconds.
const (
	leaseRequestInterval = 1000.0
	minRequestInterval   = 100.0  // between requests, however many assignments change
	replicaCheckInterval = 400.0  // between checks whether replicas receive, while there is no lease
	replicaCheckValidity = 2500.0 // of such a check
	replicaCheckLead     = 800.0  // before the end of the lease or of a check, from when on replicas are checked
	writeDemandPeriod    = 2000.0 // after a write, in which its group's replicas are checked
	unconfirmedLogPeriod = 1000.0 // minimum time between two log lines on a group's unconfirmed commits
)

// writers holds the proxy's writer lease, by which it decides which members may be written to and which of their
// acknowledgements are passed on. See package writerlease. Any goroutine may use it.
type writers struct {
	proxy *Proxy

	mu        sync.Mutex // guards the fields below
	holder    *writerlease.Holder
	requestAt float64 // when the next request is due
	// requestedAt is when the latest request was sent.
	requestedAt float64
	leased      bool // as last logged
	// supportAwaited means that the first update on the link to the agent has not arrived.
	supportAwaited bool
	checks         map[string]*replicaCheck // by service
}

// replicaCheck is what a proxy without a lease knows of a group's replicas.
type replicaCheck struct {
	wantedAt       float64 // when a write was routed last
	nextAt         float64
	receivingUntil float64 // writes may be sent until then
}

func newWriters(proxy *Proxy) *writers {
	return &writers{proxy: proxy, holder: writerlease.NewHolder(rand.Uint64()), requestedAt: math.Inf(-1),
		checks: map[string]*replicaCheck{}}
}

// syncReplicas returns the number of replicas that must have a commit of a service; 0 also for an unknown service.
func (p *Proxy) syncReplicas(service string) int {
	if cfg := p.config.Load(); cfg != nil {
		if configured := cfg.Service(service); configured != nil {
			return configured.SyncReplicas
		}
	}
	return 0
}

// permission returns what may be done now with the writes and acknowledgements of a member.
func (w *writers) permission(service, memberID string) writerlease.Permission {
	if w.proxy.syncReplicas(service) == 0 { // the primary acknowledges on its own, and its loss may lose commits
		return writerlease.Permitted
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder.Permission(service, memberID, w.proxy.now())
}

// mayWrite reports whether a write may be sent to a member.
func (w *writers) mayWrite(service, memberID string) bool {
	switch w.permission(service, memberID) {
	case writerlease.Permitted:
		return true
	case writerlease.Denied:
		return false
	}
	now := w.proxy.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	check := w.check(service)
	check.wantedAt = now
	return now < check.receivingUntil
}

// check returns a service's check. The caller holds the lock.
func (w *writers) check(service string) *replicaCheck {
	if w.checks[service] == nil {
		w.checks[service] = &replicaCheck{}
	}
	return w.checks[service]
}

// linkUp handles a new link to the agent.
func (w *writers) linkUp() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.supportAwaited, w.requestAt = true, 0
}

// update applies what the agent says of writer leases, and reports whether an assignment is new.
func (w *writers) update(update *controlmsg.StateUpdate) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case update.WriterLeases == controlmsg.LeaseSupportOn:
		w.holder.SetRequired(true)
	case update.WriterLeases == controlmsg.LeaseSupportOff, w.supportAwaited: // an agent of a version without leases
		w.holder.SetRequired(false)
	}
	w.supportAwaited = false
	if changed = w.holder.Merge(update.Writers); changed {
		w.requestAt = 0
	}
	return changed
}

// handleGrant processes the leader's answer to a request.
func (w *writers) handleGrant(grant *controlmsg.WriterLeaseGrant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.holder.HandleGrant(grant) {
		w.requestAt = 0
	}
}

// sendRequest sends a lease request if one is due. It confirms the assignments, so that it is sent at once after a
// change.
func (w *writers) sendRequest(link *transport.Link[controlmsg.Frame]) {
	now := w.proxy.now()
	w.mu.Lock()
	if link == nil || now < max(w.requestAt, w.requestedAt+minRequestInterval) {
		w.mu.Unlock()
		return
	}
	w.requestAt, w.requestedAt = now+leaseRequestInterval, now
	request := w.holder.Request(now)
	w.mu.Unlock()
	link.Send(&controlmsg.Frame{WriterLeaseRequest: request})
}

// hasLease reports whether the proxy has a lease, or needs none.
func (w *writers) hasLease() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder.Leased(w.proxy.now()) || !w.holder.Required()
}

// logLease logs when the lease is gained or lost.
func (w *writers) logLease() {
	w.mu.Lock()
	leased := w.holder.Leased(w.proxy.now())
	changed := leased != w.leased
	w.leased = leased
	w.mu.Unlock()
	switch {
	case changed && leased:
		w.proxy.log.Event(events.WriterLeaseGained)
	case changed:
		w.proxy.log.Event(events.WriterLeaseLost)
	}
}

// checkDue reports whether a group's replicas are to be checked now: there is no lease, or none soon, and clients
// write.
func (w *writers) checkDue(service string, now float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.holder.Required() || w.holder.Leased(now+replicaCheckLead) {
		return false
	}
	check := w.check(service)
	if now < max(check.nextAt, check.receivingUntil-replicaCheckLead) {
		return false
	}
	if !w.holder.Leased(now) && now > check.wantedAt+writeDemandPeriod {
		return false
	}
	check.nextAt = now + replicaCheckInterval
	return true
}

// recordCheck records that enough replicas received at a time.
func (w *writers) recordCheck(service string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	check := w.check(service)
	check.receivingUntil = max(check.receivingUntil, at+replicaCheckValidity)
}

// mayConfirm reports whether a replica may confirm commits.
func (w *writers) mayConfirm(member *group.Member) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder.MayConfirm(member.KnownSince)
}

// tickWriters sends the lease request that is due, and checks replicas while there is no lease.
func (r *router) tickWriters(now float64) {
	w := r.proxy.writers
	w.sendRequest(r.proxy.agent.Load())
	w.logLease()
	for service, grp := range r.groups {
		if r.proxy.syncReplicas(service) > 0 && w.checkDue(service, now) {
			r.checkReplicas(grp, now)
		}
	}
}

// checkReplicas finds out whether enough replicas of a group receive, so that a failover is not under way.
func (r *router) checkReplicas(grp *memberGroup, now float64) {
	service := grp.routing.Service
	needed := r.proxy.syncReplicas(service)
	replicas := r.confirmingReplicas(grp, grp.routing.Slot.Holder)
	if grp.checkFailed || len(replicas) < needed {
		grp.checkFailed = false
	} else {
		replicas = replicas[:needed]
	}
	go func() {
		statuses := queryReplicas(replicas, needed, writerlease.Receives)
		if countStatuses(statuses, writerlease.Receives) < needed {
			r.do(func() { grp.checkFailed = true })
			return
		}
		r.proxy.writers.recordCheck(service, now)
		r.do(func() { r.dispatch(grp) })
	}()
}

// updateWriters applies new assignments, and releases the writes that they allow.
func (r *router) updateWriters(update *controlmsg.StateUpdate) {
	if r.proxy.writers.update(update) {
		r.assignmentsChanged()
	}
}

func (r *router) handleWriterLeaseGrant(grant *controlmsg.WriterLeaseGrant) {
	r.proxy.writers.handleGrant(grant)
	r.assignmentsChanged()
}

func (r *router) assignmentsChanged() {
	r.proxy.writers.sendRequest(r.proxy.agent.Load())
	for _, grp := range r.groups {
		r.dispatch(grp)
	}
}

// acknowledgeCommit records a commit that a member has answered with success. If it may not be passed on as one, it
// answers the client with an error and returns false.
func (s *session) acknowledgeCommit(checkout *connCheckout, commit wire.Position, deadline float64) bool {
	if !s.mayAcknowledge(checkout, commit, deadline) {
		s.replyError(commitUnconfirmedError(checkout.record.ID), wire.StateIdle)
		return false
	}
	s.recordCommit(commit)
	return true
}

// mayAcknowledge reports whether a commit that a member has answered with success may be passed on to the client as
// one. Without a lease a replica has to confirm it before the deadline.
func (s *session) mayAcknowledge(checkout *connCheckout, commit wire.Position, deadline float64) bool {
	service := checkout.group.routing.Service
	var allowed bool
	switch s.proxy.writers.permission(service, checkout.record.ID) {
	case writerlease.Permitted:
		return true
	case writerlease.Unleased:
		allowed = checkout.group.confirmer.confirm(checkout.record.ID, commit, s.proxy.timeAt(deadline))
	}
	if !allowed {
		router := s.proxy.router
		router.do(func() { router.logUnconfirmed(checkout) })
	}
	return allowed
}

// logUnconfirmed counts a commit that was answered and not passed on.
func (r *router) logUnconfirmed(checkout *connCheckout) {
	grp, now := checkout.group, r.proxy.now()
	grp.metrics.unconfirmed++
	if now < grp.unconfirmedLoggedAt+unconfirmedLogPeriod {
		return
	}
	grp.unconfirmedLoggedAt = now
	r.proxy.log.Event(events.CommitUnconfirmed, "svc", grp.routing.Service, "member", checkout.record.ID, "total",
		grp.metrics.unconfirmed)
}
