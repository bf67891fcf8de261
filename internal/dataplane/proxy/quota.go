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

// This file enforces the quotas of tenants. An operation may go to a member once it has a token from a core machine. An
// operation that waits for a token is not in the queue of a group.

const (
	maxQuotaWait            = 600.0            // milliseconds after which a waiting operation is refused
	minQuotaTimerDelay      = time.Millisecond // shortest delay of the quota timer
	quotaTimerRounding      = time.Microsecond // added to the delay so that the timer never fires before the due time
	quotaRefusalLogInterval = 1000.0           // milliseconds between two log lines on refusals of a tenant
)

// quotas limits the operations of tenants. It belongs to the router's goroutine.
type quotas struct {
	client      *quota.Client[quotaWaiter]
	timer       *time.Timer // nil until the first operation needs it
	wakeAt      float64     // time at which the timer fires, in milliseconds; +Inf if it is not set
	refused     uint64
	waitTimes   metrics.Histogram      // of operations that waited and got a token, in seconds
	refusalLogs map[string]*refusalLog // by tenant, only for tenants with refused operations
}

// quotaWaiter is an operation that waits for a token of its tenant's quota.
type quotaWaiter struct {
	service string
	request *connRequest
}

// refusalLog counts the refused operations of a tenant since the last log line on them.
type refusalLog struct {
	count    int
	loggedAt float64 // milliseconds
}

// newQuotas returns nil if the quota contract is not in force.
func newQuotas(s *settings.Settings, incarnation uint64) *quotas {
	if !s.HasContract(settings.ContractQuota) {
		return nil
	}
	return &quotas{client: quota.New[quotaWaiter](incarnation), wakeAt: math.Inf(1), refusalLogs: map[string]*refusalLog{}}
}

// updateQuotas applies the tenants of a new configuration.
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
	r.applyQuotaOutcomes(r.quotas.client.SetTenants(limited, now), now)
	maps.DeleteFunc(r.quotas.refusalLogs, func(tenant string, _ *refusalLog) bool { return !limited[tenant] })
}

// handleQuotaAnswer processes a core machine's answer to a request for tokens.
func (r *router) handleQuotaAnswer(answer *controlmsg.QuotaAnswer) {
	if r.quotas == nil {
		return
	}
	now := r.proxy.now()
	r.applyQuotaOutcomes(r.quotas.client.HandleAnswer(answer, now), now)
	r.requestTokens(now)
}

// tickQuotas refuses operations that have waited for too long, and sends the request for tokens that is due.
func (r *router) tickQuotas(now float64) {
	if r.quotas == nil {
		return
	}
	r.applyQuotaOutcomes(r.quotas.client.Expire(now), now)
	r.requestTokens(now)
}

// admit takes one token of the tenant's quota for all attempts of the request's operation. It returns true if the
// request may be queued for a connection now. Otherwise the request was answered, or waits and is queued later.
func (r *router) admit(service string, request *connRequest) bool {
	if r.quotas == nil || request.tenant == "" || request.admitted {
		return true
	}
	now := r.proxy.now()
	until := min(now+maxQuotaWait, request.deadline-milliseconds(tickInterval))
	verdict, retryAfterMs := r.quotas.client.Enqueue(request.tenant, quotaWaiter{service, request}, until, now)
	switch verdict {
	case quota.Admitted:
		request.admitted = true
		return true
	case quota.Refused:
		r.refuseOverQuota(request, retryAfterMs, now)
	case quota.Waiting:
		r.requestTokens(now)
	}
	return false
}

// requestTokens sends the request for tokens that is due, if any, and sets the timer for the next due time. Without a
// connection to the agent operations wait; the first tick of the router with a connection sends the request.
func (r *router) requestTokens(now float64) {
	link := r.proxy.agent.Load()
	if link != nil {
		if request := r.quotas.client.NextRequest(now); request != nil {
			link.Send(&controlmsg.Frame{QuotaRequest: request})
		}
	}
	at := r.quotas.client.WakeAt(link != nil)
	if at >= r.quotas.wakeAt { // a timer that fires too early is harmless
		return
	}
	r.quotas.wakeAt = at
	delay := max(time.Duration((at-now)*float64(time.Millisecond))+quotaTimerRounding, minQuotaTimerDelay)
	if r.quotas.timer != nil {
		r.quotas.timer.Reset(delay)
		return
	}
	r.quotas.timer = time.AfterFunc(delay, func() { r.do(r.handleQuotaTimer) })
}

// handleQuotaTimer runs when the timer has fired.
func (r *router) handleQuotaTimer() {
	r.quotas.wakeAt = math.Inf(1)
	r.tickQuotas(r.proxy.now())
}

// applyQuotaOutcomes answers the refused ones of the operations that waited for a token, and queues the admitted ones.
func (r *router) applyQuotaOutcomes(outcomes []quota.Outcome[quotaWaiter], now float64) {
	for _, outcome := range outcomes {
		waiter := outcome.Operation
		if outcome.Verdict == quota.Refused {
			r.refuseOverQuota(waiter.request, outcome.RetryAfterMs, now)
			continue
		}
		r.quotas.waitTimes.Observe(outcome.WaitedMs / 1000)
		waiter.request.admitted = true
		r.enqueueAdmitted(waiter.service, waiter.request)
	}
}

// refuseOverQuota rejects a request that exceeds the quota of its tenant.
func (r *router) refuseOverQuota(request *connRequest, retryAfterMs, now float64) {
	request.quotaError = retryAfterError(retryAfterMs)
	request.reply <- connCheckout{err: request.quotaError}
	r.quotas.refused++
	log := r.quotas.refusalLogs[request.tenant]
	if log == nil {
		log = &refusalLog{loggedAt: math.Inf(-1)}
		r.quotas.refusalLogs[request.tenant] = log
	}
	if log.count++; now < log.loggedAt+quotaRefusalLogInterval {
		return
	}
	r.proxy.log.Event(events.QuotaRefusals, "tenant", request.tenant, "count", log.count,
		"retryAfterMs", int(retryAfterMs), "waiting", r.quotas.client.Waiting(request.tenant),
		"agent", r.proxy.agent.Load() != nil)
	log.count, log.loggedAt = 0, now
}

// quotaSnapshot is a copy of the metrics of quotas.
type quotaSnapshot struct {
	quota.Stats
	refused uint64
	waiting int
	waited  metrics.Histogram
}

func (q *quotas) snapshot() *quotaSnapshot {
	return &quotaSnapshot{Stats: q.client.Stats(), refused: q.refused, waiting: q.client.TotalWaiting(),
		waited: q.waitTimes}
}

// writeMetrics writes the metrics. They have no label for the tenant, as the number of tenants is unbounded.
func (q *quotaSnapshot) writeMetrics(set metrics.Set) {
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
