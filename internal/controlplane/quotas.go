package controlplane

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/config/quotalimit"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/quota"
	"weirwind/internal/util/settings"
)

// This file owns the way of quota reports to the leader, and of its grants back to the proxies. A machine without
// contact with a quorum must grant nothing: another may lead.

// quotas are the shares of tenants' quotas that this machine has given out while it leads. It belongs to softState.
type quotas struct {
	settings  *settings.Settings
	allocator *quota.Allocator // nil while another machine leads
}

func newQuotas(s *settings.Settings) quotas { return quotas{settings: s} }

// reset begins a lead, or ends it: what was given out before is not known.
func (q *quotas) reset(leads bool, current *config.Config, now float64) {
	q.allocator = nil
	if leads {
		q.allocator = quota.New(now)
		q.setConfig(current, now)
	}
}

// setConfig sets the tenants' limits by a configuration; nil: there is none.
func (q *quotas) setConfig(current *config.Config, now float64) {
	if q.allocator == nil || current == nil {
		return
	}
	limits := map[string]quota.Limit{}
	for i := range current.Tenants {
		tenant := &current.Tenants[i]
		rate, burst, limited := quotalimit.Of(tenant, q.settings.QuotaExcess, q.settings.QuotaExtra)
		if limited {
			limits[tenant.Name] = quota.Limit{Rate: rate, Burst: burst}
		}
	}
	q.allocator.SetLimits(limits, now)
}

// handleQuotaReport has a proxy's report answered by the leader, over the link that the report came on. A machine that
// does not lead forwards it to the one that does. Contact is asked for after the clock was read: what is granted counts
// from a moment at which no other machine had led for longer than the contact lasts.
func (s *softState) handleQuotaReport(from *link, r *controlmsg.QuotaReport, now float64) {
	h := s.server
	if s.quotas.allocator == nil {
		h.loop.offer(func() { // proxies repeat their reports
			if leader, ok := h.loop.node.Leader(); ok && leader.Addr != h.settings.ControlAddr {
				h.cores.send(leader.Addr, &controlmsg.Frame{QuotaReport: r})
			}
		})
		return
	}
	if !h.inContact() {
		return
	}
	if grant := s.quotas.allocator.Report(r, now); grant != nil {
		from.Send(&controlmsg.Frame{QuotaGrant: grant})
	}
}

// handleQuotaGrant passes the leader's grant on to the agent of its driver.
func (s *softState) handleQuotaGrant(grant *controlmsg.QuotaGrant) {
	s.agents.sendTo(grant.Driver, &controlmsg.Frame{QuotaGrant: grant})
}
