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

// This file handles tenants' quotas at a core machine: the tokens that it grants to proxies from its shares, its
// reports on the shares to the leader, and the leader's grants of shares. A leader without contact with a quorum must
// grant no shares, as another machine may lead; it continues to grant tokens until the lease of its own shares
// expires.

// quotas holds this machine's shares of tenants' quotas and, while it leads, the shares that it has granted. It belongs
// to softState.
type quotas struct {
	settings          *settings.Settings
	limiter           *limiter.Limiter // nil if the quota contract is not enabled
	allocator         *quota.Allocator // of core machines' shares; nil unless this machine leads
	standbys          *quota.Allocator // of standby agents' shares; nil unless this machine leads
	loggedExpirations int              // the limiter's lease expirations, as last logged
	loggedSharesKnown bool             // whether it was logged that this leader knows all shares

	granted, refused uint64 // operations that were granted and refused a token
}

func newQuotas(s *settings.Settings, incarnation uint64) quotas {
	q := quotas{settings: s}
	if s.HasContract(settings.ContractQuota) {
		q.limiter = limiter.New(incarnation, ms(s.QuotaWindow))
	}
	return q
}

// reset starts or ends a leadership. A new leader does not know which shares were granted before.
func (q *quotas) reset(state leadership, current *config.Config) {
	now := state.since
	q.allocator, q.standbys, q.loggedSharesKnown = nil, nil, false
	if state.active && q.limiter != nil {
		q.allocator = quota.New(now, state.term, state.leaseHolders, q.settings.TolerateNodes > 0)
		// Any agent may have been a standby, so that only the end of earlier leases shows that no other holds a share.
		q.standbys = quota.New(now, state.term, nil, false)
		q.standbys.SetVoters(len(q.settings.Regions))
		q.setConfig(current, now)
	}
}

// setConfig sets the tenants' limits according to a configuration. It does nothing if there is none.
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

// answer answers a proxy's request with the tokens that are available, or with all that it asks for if the quota
// contract is not enabled.
func (q *quotas) answer(r *controlmsg.QuotaRequest, now float64) *controlmsg.QuotaAnswer {
	if q.limiter == nil {
		answer := &controlmsg.QuotaAnswer{Driver: r.Driver, Incarnation: r.Incarnation, Seq: r.Seq}
		for _, requested := range r.Tenants {
			answer.Tenants = append(answer.Tenants,
				controlmsg.QuotaTokens{Tenant: requested.Tenant, Tokens: requested.Operations})
		}
		return answer
	}
	answer := q.limiter.Answer(r, now)
	for i, tokens := range answer.Tenants {
		q.granted += uint64(tokens.Tokens)
		q.refused += uint64(max(r.Tenants[i].Operations-tokens.Tokens, 0))
	}
	return answer
}

// handleQuotaRequest answers a proxy's request for tokens.
func (s *softState) handleQuotaRequest(from *link, r *controlmsg.QuotaRequest, now float64) {
	from.Send(&controlmsg.Frame{QuotaAnswer: s.quotas.answer(r, now)})
	s.sendQuotaReport(now)
}

// sendQuotaReport sends the leader a report on this machine's shares if one is due.
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

// answerQuotaReport returns the leader's grant for a report, nil if there is none. Only voters may hold shares, as a
// new leader knows the voters. Contact is checked after now was read, so that at now, from which the grant counts, no
// other machine can have led for longer than consensus.ContactLease.
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

// handleQuotaReport answers the report of another core machine or a standby agent. A standby agent's report is
// forwarded if this machine does not lead.
func (s *softState) handleQuotaReport(from *link, r *controlmsg.QuotaReport, now float64) {
	if r.Standby && s.quotas.allocator == nil {
		s.sendToLeader(&controlmsg.Frame{QuotaReport: r})
		return
	}
	if grant := s.answerQuotaReport(r, now); grant != nil {
		from.Send(&controlmsg.Frame{QuotaGrant: grant})
	}
}

// handleQuotaGrant applies the leader's grant to this machine, or passes on a grant to a standby agent.
func (s *softState) handleQuotaGrant(grant *controlmsg.QuotaGrant, now float64) {
	if grant.Standby {
		s.agents.sendTo(grant.Holder, &controlmsg.Frame{QuotaGrant: grant})
		return
	}
	if s.quotas.limiter != nil {
		s.quotas.limiter.Apply(grant, now)
	}
}

// stepQuotas sends a report if one is due, and logs when the lease of the shares has expired and when a new leader
// knows all shares.
func (s *softState) stepQuotas(now float64) {
	s.sendQuotaReport(now)
	q := &s.quotas
	if q.limiter != nil && q.limiter.LeaseExpirations() != q.loggedExpirations {
		q.loggedExpirations = q.limiter.LeaseExpirations()
		s.server.log.Event(events.QuotaLeaseExpired, "leads", s.leadership.active)
	}
	if q.allocator != nil && !q.loggedSharesKnown && q.allocator.SharesKnown(now) {
		q.loggedSharesKnown = true
		s.server.log.Event(events.QuotasKnown, "afterMs", int(now-s.leadership.since))
	}
}
