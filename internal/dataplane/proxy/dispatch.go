package proxy

import (
	"slices"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
)

const (
	maxQueuedRequests = 2000   // of a group
	rejectionInterval = 1000.0 // milliseconds between two log lines on a group's rejections
)

// connRequest asks for a member connection on which a statement, or a transaction, can be run. A session makes one
// for each statement and uses it for all its attempts; while it is queued, the router owns it.
type connRequest struct {
	tenant      string // name of the tenant whose client asks; "": there are no tenants, or the route is public
	requirement group.Requirement
	commit      bool   // the answer to what is sent waits for replicas
	valuesHash  uint64 // of the session's values: a connection that holds them already is preferred
	// Milliseconds: when its statement came, and when it must be answered at the latest.
	startedAt, deadline float64
	avoid               []string     // members at which earlier attempts failed
	dialing             string       // the member that a connection is being made to on its behalf, "" for none
	admitted            bool         // its operation was counted: further attempts are not
	refusal             *clientError // why it was refused by its tenant's quota
	reply               chan lentConn
}

// avoidMember keeps further attempts away from a member, where another may do.
func (q *connRequest) avoidMember(id string) { q.avoid = append(q.avoid, id) }

// lentConn is a connection that is lent to a session, with what the member must check.
type lentConn struct {
	group  *memberGroup
	member *group.Member
	record directory.Member // the member's, as it was then
	conn   *memberConn

	minPosition   wire.Position // as group.Target has it
	verifyPrimary bool
	sentAt        float64 // when it was lent, which counts as the time of the first request

	err error // why there is no connection; nothing else is set then
}

// failure is what its client is answered with when it got no connection.
func (q *connRequest) failure() error {
	if q.refusal != nil {
		return q.refusal
	}
	return errRetryLater
}

// enqueue queues a request for a connection to a group, or answers it at once. A request whose tenant's quota is used
// up is refused, or waits elsewhere.
func (r *router) enqueue(service string, request *connRequest) {
	if r.admit(service, request) {
		r.enqueueAdmitted(service, request)
	}
}

// enqueueAdmitted is enqueue for a request that is within its tenant's quota.
func (r *router) enqueueAdmitted(service string, request *connRequest) {
	g := r.group(service)
	if !g.queue.push(request) {
		g.figures.overflown++
		request.reply <- lentConn{err: errRetryLater}
		return
	}
	r.dispatch(g)
}

// dispatch answers the queued requests that can be answered, in order of arrival: with an idle connection to the
// member that the request is routed to, or with an error once too little time is left. For others it has
// connections made. A connection serves only the tenant that it was made for.
//
// While there is no primary, requests of writes and linearizable reads are routed nowhere and so stay queued; the
// dispatch after the writer slot was filled releases them in order.
func (r *router) dispatch(grp *memberGroup) {
	if grp.queue.len() == 0 {
		return
	}
	now := r.proxy.now()
	available := r.availability(grp, now)
	latency := grp.routing.TypicalLatency()
	grp.queue.removeIf(func(request *connRequest) bool {
		// A request without enough time for an answer would time out, and its connection be closed with it: while
		// many wait, every connection would be, and no request would ever be answered.
		if now >= request.deadline-min(2*latency, (request.deadline-request.startedAt)/3) {
			grp.figures.expired++
			request.reply <- lentConn{err: errRetryLater}
			r.logRejection(grp, request, now)
			return true
		}
		grp.routed = request
		target := grp.routing.Route(&request.requirement, now, available,
			func(id string) bool { return slices.Contains(request.avoid, id) })
		if target.Member == nil {
			if r.proxy.phase() < refusing {
				return false
			}
			request.reply <- lentConn{err: errRetryLater} // the process would end before a member is found
			return true
		}
		if pool := grp.pool(target.Member.ID); pool.hasIdle(request.tenant) {
			grp.figures.queueWait.Observe((now - request.startedAt) / 1000)
			request.reply <- r.checkOut(grp, pool, request, target, now)
			return true
		}
		if request.dialing == "" {
			request.dialing = target.Member.ID
			grp.pool(target.Member.ID).makePlace(request, r.connShare(grp), now)
			r.dial(grp, target.Member, request.tenant)
		}
		return false
	})
	r.probe(grp)
}

// checkOut lends an idle connection of a pool that has one.
func (r *router) checkOut(grp *memberGroup, pool *connPool, request *connRequest, target group.Target,
	now float64) lentConn {
	m := target.Member
	m.InFlight++
	grp.routing.RecordSend(m, now, request.commit)
	return lentConn{group: grp, member: m, record: m.Member, conn: pool.take(request.tenant, request.valuesHash),
		minPosition: target.MinPosition, verifyPrimary: target.VerifyPrimary, sentAt: now}
}

// checkIn takes a connection back. not reusable: it was closed.
func (r *router) checkIn(lent *lentConn, reusable bool) {
	g, m := lent.group, lent.member
	m.InFlight--
	if reusable {
		r.keep(g, m, lent.conn)
	} else {
		g.pool(m.ID).closed(lent.conn.tenant)
	}
	g.dropUnusedPool(m.ID, r.proxy.now())
	r.dispatch(g)
}

// rejectionLog counts the requests of a group that were rejected since the last log line on them.
type rejectionLog struct {
	count    int
	loggedAt float64
}

// logRejection logs what a rejected request was waiting for, at most one line a second for each group.
func (r *router) logRejection(grp *memberGroup, request *connRequest, now float64) {
	log := &grp.rejections
	if log.count++; now < log.loggedAt+rejectionInterval {
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
