package controlplane

import (
	"slices"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/quota"
	"weirwind/internal/controlplane/quota/limiter"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// This file owns tenants' quotas at a core machine: the tokens that it gives out to proxies by its shares, its reports
// on them to the leader, and the leader's grants. A machine without contact with a quorum must grant nothing, as
// another may lead; it gives out tokens until the lease of its shares is over.

// quotas is what this machine holds of tenants' quotas, and what it has granted while it leads. It belongs to
// softState.
type quotas struct {
	settings  *settings.Settings
	limiter   *limiter.Limiter // nil where the contract isn't in force
	allocator *quota.Allocator // of core machines' shares; nil while another machine leads
	standbys  *quota.Allocator // of stand-by agents' shares, likewise
	lapsed    int              // of the limiter, as logged last
	known     bool             // it was logged that this lead knows all shares

	given, refused uint64 // tokens, and requests for one without
}

func newQuotas(s *settings.Settings, incarnation uint64) quotas {
	q := quotas{settings: s}
	if s.HasContract(settings.ContractQuota) {
		q.limiter = limiter.New(incarnation, ms(s.QuotaWindow))
	}
	return q
}

// reset begins a lead, or ends it: what was granted before is not known.
func (q *quotas) reset(lead leadership, current *config.Config) {
	now := lead.since
	q.allocator, q.standbys, q.known = nil, nil, false
	if lead.active && q.limiter != nil {
		q.allocator = quota.New(now, lead.term, lead.holders, q.settings.TolerateNodes > 0)
		// Any agent may have been a stand-by: only time tells that no other holds a share.
		q.standbys = quota.New(now, lead.term, nil, false)
		q.standbys.SetVoters(len(q.settings.Regions))
		q.setConfig(current, now)
	}
}

// setConfig sets the tenants' limits by a configuration; nil: there is none.
func (q *quotas) setConfig(current *config.Config, now float64) {
	if q.limiter == nil || current == nil {
		return
	}
	limits := quota.Limits(current, q.settings, quota.CoreFraction)
	q.limiter.SetLimits(limits, now)
	if q.allocator != nil {
		q.allocator.SetLimits(limits, now)
		q.standbys.SetLimits(quota.Limits(current, q.settings, quota.StandbyFraction), now)
	}
}

// answer answers a proxy's request with the tokens that there are; without the contract, with all.
func (q *quotas) answer(r *controlmsg.QuotaRequest, now float64) *controlmsg.QuotaAnswer {
	if q.limiter == nil {
		answer := &controlmsg.QuotaAnswer{Driver: r.Driver, Incarnation: r.Incarnation, Seq: r.Seq}
		for _, asked := range r.Tenants {
			answer.Tenants = append(answer.Tenants, controlmsg.QuotaTokens{Tenant: asked.Tenant, Tokens: asked.Operations})
		}
		return answer
	}
	answer := q.limiter.Answer(r, now)
	for i, tokens := range answer.Tenants {
		q.given += uint64(tokens.Tokens)
		q.refused += uint64(max(r.Tenants[i].Operations-tokens.Tokens, 0))
	}
	return answer
}

// handleQuotaRequest gives a proxy the tokens that there are.
func (s *softState) handleQuotaRequest(from *link, r *controlmsg.QuotaRequest, now float64) {
	from.Send(&controlmsg.Frame{QuotaAnswer: s.quotas.answer(r, now)})
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
	report.Holder = s.server.settings.ControlAddr
	if s.quotas.allocator != nil {
		if grant := s.answerQuotaReport(report, now); grant != nil {
			s.handleQuotaGrant(grant, now)
		}
		return
	}
	s.sendToLeader(&controlmsg.Frame{QuotaReport: report})
}

// answerQuotaReport answers a report at the leader; nil: there is no answer. Only voters may hold shares, as a new lead
// knows those. Contact is asked for after the clock was read: what is granted counts from a moment at which no other
// machine had led for longer than the contact lasts.
func (s *softState) answerQuotaReport(r *controlmsg.QuotaReport, now float64) *controlmsg.QuotaGrant {
	if s.quotas.allocator == nil || !s.server.inContact() {
		return nil
	}
	if r.Standby {
		grant := s.quotas.standbys.Report(r, now)
		if grant != nil {
			grant.Standby = true
		}
		return grant
	}
	if !slices.Contains(s.coreAddrs, r.Holder) {
		return nil
	}
	return s.quotas.allocator.Report(r, now)
}

// handleQuotaReport answers another core machine's report, or a stand-by agent's. The latter is forwarded where this
// machine doesn't lead.
func (s *softState) handleQuotaReport(from *link, r *controlmsg.QuotaReport, now float64) {
	if r.Standby && s.quotas.allocator == nil {
		s.sendToLeader(&controlmsg.Frame{QuotaReport: r})
		return
	}
	if grant := s.answerQuotaReport(r, now); grant != nil {
		from.Send(&controlmsg.Frame{QuotaGrant: grant})
	}
}

// handleQuotaGrant takes the leader's answer to this machine's report, or passes on that to an agent's.
func (s *softState) handleQuotaGrant(grant *controlmsg.QuotaGrant, now float64) {
	if grant.Standby {
		s.agents.sendTo(grant.Holder, &controlmsg.Frame{QuotaGrant: grant})
		return
	}
	if s.quotas.limiter != nil {
		s.quotas.limiter.Apply(grant, now)
	}
}

// stepQuotas sends the report that is due, and logs the end of a lease, and of what a new lead doesn't know.
func (s *softState) stepQuotas(now float64) {
	s.sendQuotaReport(now)
	q := &s.quotas
	if q.limiter != nil && q.limiter.LeaseExpirations() != q.lapsed {
		q.lapsed = q.limiter.LeaseExpirations()
		s.server.log.Event(events.QuotaLeaseExpired, "leads", s.leadership.active)
	}
	if q.allocator != nil && !q.known && q.allocator.SharesKnown(now) {
		q.known = true
		s.server.log.Event(events.QuotasKnown, "afterMs", int(now-s.leadership.since))
	}
}
