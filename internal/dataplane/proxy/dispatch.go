package proxy

import (
	"slices"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
)

const (
	maxQueuedPerGroup    = 2000   // requests that may wait in the queue of one group
	rejectionLogInterval = 1000.0 // minimum time between two log lines on rejections of a group, in milliseconds
)

// connRequest is a request for a member connection that can run a statement or a transaction. A session creates one
// for each statement and reuses it for all attempts. The router owns it while it is queued.
type connRequest struct {
	tenant      string // name of the client's tenant; "" without tenants and on a public route
	requirement group.Requirement
	commit      bool   // the member answers only after replicas have acknowledged
	valuesHash  uint64 // hash of the session's variables; a connection that has the same values is preferred
	// Arrival of the statement and the latest time for its answer, in milliseconds.
	startedAt, deadline float64
	avoid               []string     // ids of members at which earlier attempts failed
	dialing             string       // id of the member that is being dialled for this request, "" for none
	admitted            bool         // the operation was counted in its quota; further attempts are not counted
	quotaError          *clientError // the refusal by the tenant's quota, nil for none
	reply               chan connCheckout
}

// avoidMember makes further attempts prefer other members.
func (q *connRequest) avoidMember(id string) { q.avoid = append(q.avoid, id) }

// connCheckout is a member connection that a session has checked out, with the conditions that the member must verify.
type connCheckout struct {
	group  *memberGroup
	member *group.Member
	record directory.Member // copy of the member's record at checkout
	conn   *memberConn

	minPosition   wire.Position // see group.Target
	verifyPrimary bool          // see group.Target
	sentAt        float64       // time of checkout in milliseconds, used as the send time of the first request

	err error // the reason why there is no connection; if set, all other fields are empty
}

// replyError returns the error for the client of a request that got no connection.
func (q *connRequest) replyError() error {
	if q.quotaError != nil {
		return q.quotaError
	}
	return errRetryLater
}

// enqueue queues a request for a connection to a member of the service, or answers it at once. If the quota of its
// tenant is used up, the request is refused or waits in the queue of the quota.
func (r *router) enqueue(service string, request *connRequest) {
	if r.admit(service, request) {
		r.enqueueAdmitted(service, request)
	}
}

// enqueueAdmitted is like enqueue, for a request that the tenant's quota has admitted.
func (r *router) enqueueAdmitted(service string, request *connRequest) {
	g := r.group(service)
	if !g.queue.push(request) {
		g.metrics.queueFull++
		request.reply <- connCheckout{err: errRetryLater}
		return
	}
	r.dispatch(g)
}

// dispatch goes through the queued requests in order of arrival. It answers a request with an idle connection to the
// member that the request is routed to, or with an error once too little time is left, and starts dials for the others.
// A connection serves only the tenant that it was made for.
//
// Without a primary, requests for writes and linearizable reads can't be routed and stay queued. The first dispatch
// after the writer slot is filled releases them in order.
func (r *router) dispatch(grp *memberGroup) {
	if grp.queue.len() == 0 {
		return
	}
	now := r.proxy.now()
	available := r.availability(grp, now)
	latency := grp.routing.TypicalLatency()
	grp.queue.removeIf(func(request *connRequest) bool {
		// A request without enough time for an answer would time out, which closes its connection. Under a long queue
		// that would happen to every connection, and no request would ever be answered.
		if now >= request.deadline-min(2*latency, (request.deadline-request.startedAt)/3) {
			grp.metrics.expired++
			request.reply <- connCheckout{err: errRetryLater}
			r.logRejection(grp, request, now)
			return true
		}
		grp.dispatching = request
		target := grp.routing.Route(&request.requirement, now, available,
			func(id string) bool { return slices.Contains(request.avoid, id) })
		if target.Member == nil {
			if r.proxy.phase() < refusing {
				return false
			}
			request.reply <- connCheckout{err: errRetryLater} // the process may end before a member is found
			return true
		}
		if pool := grp.pool(target.Member.ID); pool.hasIdle(request.tenant) {
			grp.metrics.queueWait.Observe((now - request.startedAt) / 1000)
			request.reply <- r.checkOut(grp, pool, request, target, now)
			return true
		}
		if request.dialing == "" {
			request.dialing = target.Member.ID
			grp.pool(target.Member.ID).evictForDial(request, r.connShare(grp), now)
			r.dial(grp, target.Member, request.tenant)
		}
		return false
	})
	r.probe(grp)
}

// checkOut takes an idle connection from a pool that has one for the request's tenant.
func (r *router) checkOut(grp *memberGroup, pool *connPool, request *connRequest, target group.Target,
	now float64) connCheckout {
	m := target.Member
	m.InFlight++
	grp.routing.RecordSend(m, now, request.commit)
	return connCheckout{group: grp, member: m, record: m.Member, conn: pool.takeIdle(request.tenant, request.valuesHash),
		minPosition: target.MinPosition, verifyPrimary: target.VerifyPrimary, sentAt: now}
}

// checkIn takes back a connection. If it is not reusable, the caller has closed it.
func (r *router) checkIn(checkout *connCheckout, reusable bool) {
	g, m := checkout.group, checkout.member
	m.InFlight--
	if reusable {
		r.poolOrClose(g, m, checkout.conn)
	} else {
		g.pool(m.ID).recordClosed(checkout.conn.tenant)
	}
	g.dropUnusedPool(m.ID, r.proxy.now())
	r.dispatch(g)
}

// rejectionLog counts the rejected requests of a group since the last log line on them.
type rejectionLog struct {
	count    int
	loggedAt float64 // milliseconds
}

// logRejection logs the state of the group when a request is rejected, at most once per rejectionLogInterval.
func (r *router) logRejection(grp *memberGroup, request *connRequest, now float64) {
	log := &grp.rejections
	if log.count++; now < log.loggedAt+rejectionLogInterval {
		return
	}
	log.loggedAt = now
	pairs := []any{"svc", grp.routing.Service, "count", log.count, "write", request.requirement.Write,
		"slot", grp.routing.Slot.Holder, "share", r.connShare(grp), "stuck", grp.routing.CommitsStalled(now)}
	if p := grp.routing.Primary(); p != nil {
		pairs = append(pairs, "doubted", p.Suspected)
		if pool := grp.pools[p.ID]; pool != nil {
			pairs = append(pairs, "open", pool.open, "idle", len(pool.idle), "dialing", pool.dialing)
		}
	}
	log.count = 0
	r.proxy.log.Event(events.StatementsRejected, pairs...)
}
