package proxy

import (
	"maps"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/config/quotalimit"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/dataplane/quota"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
	"weirwind/internal/util/settings"
)

// This file owns tenants' quotas at the proxy: which operations may go to a member, and the queues of those that wait
// for their tenant's next token. What waits there has no place in a group's queue.

const (
	maxQuotaWaiters     = 100                  // of a tenant
	maxQuotaWait        = 300.0                // milliseconds until an operation that waits is refused
	minQuotaWake        = 2 * time.Millisecond // between two looks at a tenant's queue
	timerRounding       = time.Microsecond     // so that a token is there when the timer for it fires
	quotaRefusalLogging = 1000.0               // milliseconds between two log lines on a tenant's refusals
)

// quotas bounds what tenants' clients send to members. It belongs to the router's goroutine.
type quotas struct {
	limiter *quota.Limiter
	queues  map[string]*tenantQueue // by tenant; one that nothing was refused of, nor waited, has none
	refused uint64
	lapsed  int // of the limiter, as logged last
}

// tenantQueue holds a tenant's operations that wait for a token, and counts those that were refused.
type tenantQueue struct {
	waiting waitQueue[quotaWaiter]
	wakes   bool // a timer is set for it
	refused int  // since the last log line
	logged  bool
	// loggedAt is when the last log line was written, in milliseconds.
	loggedAt float64
}

// quotaWaiter is an operation that waits for a token.
type quotaWaiter struct {
	service string
	request *connRequest
	until   float64 // milliseconds; a tick before its deadline at the latest
}

// newQuotas returns nil where the contract isn't in force.
func newQuotas(s *settings.Settings, incarnation uint64) *quotas {
	if !s.HasContract(settings.ContractQuota) {
		return nil
	}
	return &quotas{limiter: quota.New(incarnation, milliseconds(s.QuotaWindow)), queues: map[string]*tenantQueue{}}
}

// queue is a tenant's.
func (q *quotas) queue(tenant string) *tenantQueue {
	queue := q.queues[tenant]
	if queue == nil {
		queue = &tenantQueue{waiting: waitQueue[quotaWaiter]{max: maxQuotaWaiters}}
		q.queues[tenant] = queue
	}
	return queue
}

// waiters is how many of a tenant's operations wait.
func (q *quotas) waiters(tenant string) int {
	if queue := q.queues[tenant]; queue != nil {
		return queue.waiting.len()
	}
	return 0
}

// updateQuotas takes the limits of a new configuration.
func (r *router) updateQuotas(cfg *config.Config) {
	if r.quotas == nil {
		return
	}
	limits := map[string]quota.Limit{}
	for i := range cfg.Tenants {
		t := &cfg.Tenants[i]
		rate, burst, limited := quotalimit.Of(t, r.proxy.settings.QuotaExcess, r.proxy.settings.QuotaExtra)
		if limited {
			limits[t.Name] = quota.Limit{Rate: rate, Burst: burst}
		}
	}
	now := r.proxy.now()
	r.quotas.limiter.SetLimits(limits, now)
	r.serveQuotaQueues(now)
	maps.DeleteFunc(r.quotas.queues, func(_ string, queue *tenantQueue) bool { return queue.waiting.len() == 0 })
}

// applyGrant takes the leader's answer to a report.
func (r *router) applyGrant(grant *controlmsg.QuotaGrant) {
	if r.quotas == nil {
		return
	}
	now := r.proxy.now()
	if r.quotas.limiter.Apply(grant, now) {
		r.serveQuotaQueues(now)
	}
}

// tickQuotas serves the queues and sends the report that is due.
func (r *router) tickQuotas(now float64) {
	if r.quotas == nil {
		return
	}
	r.serveQuotaQueues(now)
	r.sendQuotaReport(now)
	if lapsed := r.quotas.limiter.Lapsed(); lapsed != r.quotas.lapsed {
		r.quotas.lapsed = lapsed
		r.proxy.log.Event(events.QuotaLeaseExpired, "agent", r.proxy.agent.Load() != nil)
	}
}

// sendQuotaReport sends the report that is due, if one is and there is an agent to send it to.
func (r *router) sendQuotaReport(now float64) {
	link := r.proxy.agent.Load()
	if link == nil {
		return
	}
	if report := r.quotas.limiter.NextReport(now); report != nil {
		link.Send(&controlmsg.Frame{QuotaReport: report})
	}
}

// admit counts the request's operation in its tenant's quota, once for all of its attempts. true: it may go on. Else it
// was answered, or waits and goes on later.
func (r *router) admit(service string, request *connRequest) bool {
	if r.quotas == nil || request.tenant == "" || request.admitted {
		return true
	}
	now := r.proxy.now()
	ahead := r.quotas.waiters(request.tenant)
	decision := r.quotas.limiter.Admit(request.tenant, ahead, now)
	if decision.Verdict == quota.Admitted {
		request.admitted = true
		return true
	}
	waiter := quotaWaiter{service, request, min(now+maxQuotaWait, request.deadline-milliseconds(tickInterval))}
	if decision.Verdict == quota.Refused || !r.quotas.queue(request.tenant).waiting.push(waiter) {
		r.refuseByQuota(request, decision.AfterMs, now)
	} else if ahead == 0 {
		r.wakeQuotaQueue(request.tenant, min(decision.AfterMs, waiter.until-now))
	}
	r.sendQuotaReport(now)
	return false
}

// refuseByQuota answers a request that its tenant's quota has no room for.
func (r *router) refuseByQuota(request *connRequest, afterMs, now float64) {
	request.refusal = retryAfterError(max(afterMs, quota.MinRetryAfterMs))
	request.reply <- lentConn{err: request.refusal}
	r.quotas.refused++
	queue := r.quotas.queue(request.tenant)
	queue.refused++
	if queue.logged && now < queue.loggedAt+quotaRefusalLogging {
		return
	}
	share, perSecond := r.quotas.limiter.Held(request.tenant, now)
	r.proxy.log.Event(events.QuotaRefusals, "tenant", request.tenant, "count", queue.refused, "share", share,
		"demand", perSecond, "waiting", queue.waiting.len())
	queue.logged, queue.loggedAt, queue.refused = true, now, 0
}

func (r *router) serveQuotaQueues(now float64) {
	for tenant := range r.quotas.queues {
		r.serveQuotaQueue(tenant, now)
	}
}

// serveQuotaQueue lets those of a tenant's operations go on for which there are tokens, in order of arrival. It refuses
// those that have waited for too long.
func (r *router) serveQuotaQueue(tenant string, now float64) {
	queue := r.quotas.queues[tenant]
	if queue == nil || queue.waiting.len() == 0 {
		return
	}
	var ready []quotaWaiter
	kept, nextMs := 0, maxQuotaWait
	queue.waiting.removeIf(func(waiter quotaWaiter) bool {
		decision := r.quotas.limiter.Retry(tenant, kept, now)
		switch {
		case decision.Verdict == quota.Admitted:
			waiter.request.admitted = true
			ready = append(ready, waiter)
			return true
		case decision.Verdict == quota.Refused || now >= waiter.until:
			r.refuseByQuota(waiter.request, decision.AfterMs, now)
			return true
		}
		nextMs = min(nextMs, decision.AfterMs, waiter.until-now)
		kept++
		return false
	})
	if kept > 0 {
		r.wakeQuotaQueue(tenant, nextMs)
	}
	for _, waiter := range ready {
		r.enqueueAdmitted(waiter.service, waiter.request)
	}
}

// wakeQuotaQueue has a tenant's queue served in afterMs milliseconds, unless a timer is set for it already: in between
// the router's ticks tokens would be lost by a bucket that is full.
func (r *router) wakeQuotaQueue(tenant string, afterMs float64) {
	queue := r.quotas.queue(tenant)
	if queue.wakes {
		return
	}
	queue.wakes = true
	after := max(time.Duration(afterMs*float64(time.Millisecond))+timerRounding, minQuotaWake)
	time.AfterFunc(after, func() {
		r.do(func() {
			queue.wakes = false
			r.serveQuotaQueue(tenant, r.proxy.now())
		})
	})
}

// quotaSnapshot is a copy of the figures of quotas.
type quotaSnapshot struct {
	refused           uint64
	lapsed, waiting   int
	shares, perSecond float64
}

func (q *quotas) snapshot(now float64) *quotaSnapshot {
	all := &quotaSnapshot{refused: q.refused, lapsed: q.lapsed}
	all.shares, all.perSecond = q.limiter.Totals(now)
	for _, queue := range q.queues {
		all.waiting += queue.waiting.len()
	}
	return all
}

// write writes the figures. They have no label for the tenant, as there may be any number of them.
func (q *quotaSnapshot) write(set metrics.Set) {
	set.Counter("weirwind_proxy_quota_refused_total", "Operations that were refused as their tenant's quota is used up.",
		float64(q.refused))
	set.Gauge("weirwind_proxy_quota_waiting", "Operations that wait for their tenant's quota.", float64(q.waiting))
	set.Gauge("weirwind_proxy_quota_shares", "Sum of the shares of tenants' quotas that this proxy holds.", q.shares)
	set.Gauge("weirwind_proxy_quota_demand", "Operations a second that clients of tenants with a quota ask for.",
		q.perSecond)
	set.Counter("weirwind_proxy_quota_lapses_total", "How often all shares ended with their lease.", float64(q.lapsed))
}
