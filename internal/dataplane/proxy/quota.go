package proxy

import (
	"maps"
	"math"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/config/quotalimit"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/dataplane/quota"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
	"weirwind/internal/util/settings"
)

// This file owns tenants' quotas at the proxy: which operations may go to a member, each by a token that the core
// machine gave, and the timer for those that wait for one. What waits there has no place in a group's queue.

const (
	maxQuotaWait        = 600.0            // milliseconds until an operation that waits is refused
	minQuotaWake        = time.Millisecond // before a look at what waits
	timerRounding       = time.Microsecond // so that what is due is due when the timer for it fires
	quotaRefusalLogging = 1000.0           // milliseconds between two log lines on a tenant's refusals
)

// quotas bounds what tenants' clients send to members. It belongs to the router's goroutine.
type quotas struct {
	client  *quota.Client[quotaWaiter]
	timer   *time.Timer // nil: none was needed yet
	wakeAt  float64     // milliseconds, when the timer fires; +Inf: it isn't set
	refused uint64
	waited  metrics.Histogram      // of operations that got their token
	logs    map[string]*refusalLog // by tenant; one that nothing was refused of has none
}

// quotaWaiter is an operation that waits for a token.
type quotaWaiter struct {
	service string
	request *connRequest
}

// refusalLog counts the operations of a tenant that were refused since the last log line on them.
type refusalLog struct {
	count    int
	loggedAt float64 // milliseconds
}

// newQuotas returns nil where the contract isn't in force.
func newQuotas(s *settings.Settings, incarnation uint64) *quotas {
	if !s.HasContract(settings.ContractQuota) {
		return nil
	}
	return &quotas{client: quota.New[quotaWaiter](incarnation), wakeAt: math.Inf(1), logs: map[string]*refusalLog{}}
}

// updateQuotas takes the tenants of a new configuration.
func (r *router) updateQuotas(cfg *config.Config) {
	if r.quotas == nil {
		return
	}
	limited := map[string]bool{}
	for i := range cfg.Tenants {
		tenant := &cfg.Tenants[i]
		_, _, limited[tenant.Name] = quotalimit.Of(tenant, r.proxy.settings.QuotaExcess, r.proxy.settings.QuotaExtra)
	}
	now := r.proxy.now()
	r.finishQuotaWaits(r.quotas.client.SetTenants(limited, now), now)
	maps.DeleteFunc(r.quotas.logs, func(tenant string, _ *refusalLog) bool { return !limited[tenant] })
}

// takeQuotaAnswer takes the core's answer to a request for tokens.
func (r *router) takeQuotaAnswer(answer *controlmsg.QuotaAnswer) {
	if r.quotas == nil {
		return
	}
	now := r.proxy.now()
	r.finishQuotaWaits(r.quotas.client.HandleAnswer(answer, now), now)
	r.askForTokens(now)
}

// tickQuotas does what is due: it refuses what has waited for too long, and asks for tokens.
func (r *router) tickQuotas(now float64) {
	if r.quotas == nil {
		return
	}
	r.finishQuotaWaits(r.quotas.client.Expire(now), now)
	r.askForTokens(now)
}

// admit takes a token of the tenant's quota for the request's operation, once for all of its attempts. true: it may go
// on. Else it was answered, or waits and goes on later.
func (r *router) admit(service string, request *connRequest) bool {
	if r.quotas == nil || request.tenant == "" || request.admitted {
		return true
	}
	now := r.proxy.now()
	until := min(now+maxQuotaWait, request.deadline-milliseconds(tickInterval))
	verdict, afterMs := r.quotas.client.Enqueue(request.tenant, quotaWaiter{service, request}, until, now)
	switch verdict {
	case quota.Admitted:
		request.admitted = true
		return true
	case quota.Refused:
		r.refuseByQuota(request, afterMs, now)
	case quota.Waiting:
		r.askForTokens(now)
	}
	return false
}

// askForTokens sends the request that is due, and has the timer set for what is due next. Without a link to the agent
// operations wait: the next tick of the router that finds one asks.
func (r *router) askForTokens(now float64) {
	link := r.proxy.agent.Load()
	if link != nil {
		if request := r.quotas.client.NextRequest(now); request != nil {
			link.Send(&controlmsg.Frame{QuotaRequest: request})
		}
	}
	at := r.quotas.client.WakeAt(link != nil)
	if at >= r.quotas.wakeAt { // one that fires too early is harmless
		return
	}
	r.quotas.wakeAt = at
	after := max(time.Duration((at-now)*float64(time.Millisecond))+timerRounding, minQuotaWake)
	if r.quotas.timer != nil {
		r.quotas.timer.Reset(after)
		return
	}
	r.quotas.timer = time.AfterFunc(after, func() { r.do(r.wakeQuotas) })
}

// wakeQuotas is called as the timer has fired.
func (r *router) wakeQuotas() {
	r.quotas.wakeAt = math.Inf(1)
	r.tickQuotas(r.proxy.now())
}

// finishQuotaWaits answers operations that waited, or lets them go on.
func (r *router) finishQuotaWaits(outcomes []quota.Outcome[quotaWaiter], now float64) {
	for _, outcome := range outcomes {
		waiter := outcome.Operation
		if outcome.Verdict == quota.Refused {
			r.refuseByQuota(waiter.request, outcome.RetryAfterMs, now)
			continue
		}
		r.quotas.waited.Observe(outcome.WaitedMs / 1000)
		waiter.request.admitted = true
		r.enqueueAdmitted(waiter.service, waiter.request)
	}
}

// refuseByQuota answers a request that its tenant's quota has no room for.
func (r *router) refuseByQuota(request *connRequest, afterMs, now float64) {
	request.refusal = retryAfterError(afterMs)
	request.reply <- lentConn{err: request.refusal}
	r.quotas.refused++
	log := r.quotas.logs[request.tenant]
	if log == nil {
		log = &refusalLog{loggedAt: math.Inf(-1)}
		r.quotas.logs[request.tenant] = log
	}
	if log.count++; now < log.loggedAt+quotaRefusalLogging {
		return
	}
	r.proxy.log.Event(events.QuotaRefusals, "tenant", request.tenant, "count", log.count, "retryAfterMs", int(afterMs),
		"waiting", r.quotas.client.Waiting(request.tenant), "agent", r.proxy.agent.Load() != nil)
	log.count, log.loggedAt = 0, now
}

// quotaSnapshot is a copy of the figures of quotas.
type quotaSnapshot struct {
	quota.Stats
	refused uint64
	waiting int
	waited  metrics.Histogram
}

func (q *quotas) snapshot() *quotaSnapshot {
	return &quotaSnapshot{Stats: q.client.Stats(), refused: q.refused, waiting: q.client.TotalWaiting(),
		waited: q.waited}
}

// write writes the figures. They have no label for the tenant, as there may be any number of them.
func (q *quotaSnapshot) write(set metrics.Set) {
	set.Counter("weirwind_proxy_quota_operations_total", "Operations of tenants with a quota.", float64(q.Operations))
	set.Counter("weirwind_proxy_quota_refused_total", "Operations that got no token of their tenant's quota.",
		float64(q.refused))
	set.Gauge("weirwind_proxy_quota_waiting", "Operations that wait for a token of their tenant's quota.",
		float64(q.waiting))
	set.Histogram("weirwind_proxy_quota_wait_seconds", "From an operation's wait for a token until it had one.", q.waited)
	set.Counter("weirwind_proxy_quota_requests_total", "Requests for tokens that were sent.", float64(q.Requests))
	set.Counter("weirwind_proxy_quota_unanswered_total", "Requests for tokens without an answer in the tokens' lifetime.",
		float64(q.UnansweredRequests))
	set.Counter("weirwind_proxy_quota_late_answers_total",
		"Answers to requests for tokens that came after the tokens' lifetime.", float64(q.LateAnswers))
}
