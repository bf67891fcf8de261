package controlplane

import (
	"slices"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/config/quotalimit"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/quota"
	"weirwind/internal/controlplane/quota/limiter"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// This file owns tenants' quotas at a core machine: the tokens that it gives out to proxies by its shares, its reports
// on them to the leader, and the leader's grants. A machine without contact with a quorum must grant nothing, as another
// may lead; it gives out tokens until the lease of its shares is over.

const (
	maxTokensAtOnce = 1000 // of a tenant, in one request
	// shareRetryMs is after how long a proxy asks again while this machine waits for a share of the tenant's quota.
	shareRetryMs = 80.0
	// unknownTenantRetryMs is after how long a proxy asks again for a tenant that this machine doesn't know yet.
	unknownTenantRetryMs = 200.0
)

// quotas is what this machine holds of tenants' quotas, and what it has granted while it leads. It belongs to
// softState.
type quotas struct {
	settings  *settings.Settings
	limiter   *limiter.Limiter // nil where the contract isn't in force
	allocator *quota.Allocator // nil while another machine leads
	voters    voterHistory
	lapsed    int  // of the limiter, as logged last
	known     bool // it was logged that this lead knows all shares

	given, refused uint64 // tokens, and requests for one without
}

func newQuotas(s *settings.Settings, incarnation uint64, fresh bool) quotas {
	q := quotas{settings: s, voters: newVoterHistory(fresh)}
	if s.HasContract(settings.ContractQuota) {
		q.limiter = limiter.New(incarnation, ms(s.QuotaWindow))
	}
	return q
}

// reset begins a lead, or ends it: what was granted before is not known.
func (q *quotas) reset(lead leadership, current *config.Config) {
	now := lead.since
	q.allocator, q.known = nil, false
	if lead.active && q.limiter != nil {
		q.allocator = quota.New(now, lead.term, q.voters.history(now))
		q.setConfig(current, now)
	}
}

// setConfig sets the tenants' limits by a configuration; nil: there is none.
func (q *quotas) setConfig(current *config.Config, now float64) {
	if q.limiter == nil || current == nil {
		return
	}
	granted, held := map[string]quota.Limit{}, map[string]limiter.Limit{}
	for i := range current.Tenants {
		tenant := &current.Tenants[i]
		rate, burst, limited := quotalimit.Of(tenant, q.settings.QuotaExcess, q.settings.QuotaExtra)
		if !limited {
			continue
		}
		limit := quota.Limit{Rate: rate, Burst: burst}.
			ForTokens(controlmsg.QuotaTokenLifetimeMs, ms(q.settings.QuotaWindow))
		granted[tenant.Name], held[tenant.Name] = limit, limiter.Limit(limit)
	}
	q.limiter.SetLimits(held, now)
	if q.allocator != nil {
		q.allocator.SetLimits(granted, now)
	}
}

// takeTokens takes tokens for some operations of a tenant, as many as there are.
func (q *quotas) takeTokens(asked controlmsg.QuotaCount, current *config.Config, now float64) controlmsg.QuotaTokens {
	answer := q.tokensFor(asked, current, now)
	q.given += uint64(answer.Tokens)
	q.refused += uint64(max(asked.Operations-answer.Tokens, 0))
	return answer
}

func (q *quotas) tokensFor(asked controlmsg.QuotaCount, current *config.Config, now float64) controlmsg.QuotaTokens {
	answer := controlmsg.QuotaTokens{Tenant: asked.Tenant}
	if q.limiter == nil || !q.limiter.Limits(asked.Tenant) {
		if q.limiter == nil || current != nil && current.Tenant(asked.Tenant) != nil {
			answer.Tokens = asked.Operations // the tenant has no quota
		} else {
			answer.RetryAfterMs = unknownTenantRetryMs
		}
		return answer
	}
	for range min(asked.Operations, maxTokensAtOnce) {
		decision := q.limiter.Admit(asked.Tenant, 0, now)
		switch decision.Verdict {
		case limiter.Admitted:
			answer.Tokens++
		case limiter.Waiting:
			answer.RetryAfterMs = min(decision.AfterMs, shareRetryMs)
		default:
			answer.RetryAfterMs = decision.AfterMs
		}
	}
	return answer
}

// handleQuotaRequest gives a proxy the tokens that there are.
func (s *softState) handleQuotaRequest(from *link, r *controlmsg.QuotaRequest, now float64) {
	answer := &controlmsg.QuotaAnswer{Driver: r.Driver, Incarnation: r.Incarnation, Seq: r.Seq}
	for _, asked := range r.Tenants {
		answer.Tenants = append(answer.Tenants, s.quotas.takeTokens(asked, s.config, now))
	}
	from.Send(&controlmsg.Frame{QuotaAnswer: answer})
	s.sendQuotaReport(now)
}

// sendQuotaReport sends the leader the report that is due, if one is.
func (s *softState) sendQuotaReport(now float64) {
	if s.quotas.limiter == nil {
		return
	}
	report := s.quotas.limiter.NextReport(now)
	if report == nil {
		return
	}
	h := s.server
	report.Holder = h.settings.ControlAddr
	if s.quotas.allocator != nil {
		if grant := s.answerQuotaReport(report, now); grant != nil {
			s.handleQuotaGrant(grant, now)
		}
		return
	}
	h.loop.offer(func() { // the next report comes by itself
		if leader, ok := h.loop.node.Leader(); ok && leader.Addr != h.settings.ControlAddr {
			h.cores.send(leader.Addr, &controlmsg.Frame{QuotaReport: report})
		}
	})
}

// answerQuotaReport answers a report at the leader; nil: there is no answer. Only voters may hold shares, as a new lead
// knows those. Contact is asked for after the clock was read: what is granted counts from a moment at which no other
// machine had led for longer than the contact lasts.
func (s *softState) answerQuotaReport(r *controlmsg.QuotaReport, now float64) *controlmsg.QuotaGrant {
	if s.quotas.allocator == nil || !s.server.inContact() || !slices.Contains(s.coreAddrs, r.Holder) {
		return nil
	}
	return s.quotas.allocator.Report(r, now)
}

// handleQuotaReport answers another core machine's report.
func (s *softState) handleQuotaReport(from *link, r *controlmsg.QuotaReport, now float64) {
	if grant := s.answerQuotaReport(r, now); grant != nil {
		from.Send(&controlmsg.Frame{QuotaGrant: grant})
	}
}

// handleQuotaGrant takes the leader's answer to this machine's report.
func (s *softState) handleQuotaGrant(grant *controlmsg.QuotaGrant, now float64) {
	if s.quotas.limiter != nil {
		s.quotas.limiter.Apply(grant, now)
	}
}

// stepQuotas sends the report that is due, and logs the end of a lease, and of what a new lead doesn't know.
func (s *softState) stepQuotas(now float64) {
	s.sendQuotaReport(now)
	q := &s.quotas
	if q.limiter != nil && q.limiter.Lapsed() != q.lapsed {
		q.lapsed = q.limiter.Lapsed()
		s.server.log.Event(events.QuotaLeaseExpired, "leads", s.leadership.active)
	}
	if q.allocator != nil && !q.known && q.allocator.Known(now) {
		q.known = true
		s.server.log.Event(events.QuotasKnown, "afterMs", int(now-s.leadership.since))
	}
}
