package limiter

import "weirwind/internal/controlplane/controlmsg"

const (
	reportIntervalMs   = 1000.0 // between reports
	standbyIntervalMs  = 3000.0 // between reports of a stand-by agent
	minReportGapMs     = 150.0  // between an answered report and the next if the leader doesn't know of a demand
	answerTimeoutMs    = 400.0  // until the next report is sent without an answer while operations lack a share
	demandGrowthFactor = 1.5    // growth of demand since the last report that makes the next one urgent
)

// urgency is how soon the next report is due.
type urgency uint8

const (
	notUrgent       urgency = iota // due at the regular interval
	lacksKnownShare                // a tenant lacks a share, and the leader knows of its demand
	unknownDemand                  // a tenant lacks tokens, and the leader doesn't know of its demand
)

// reportState is the state of the reports that were sent.
type reportState struct {
	seq         uint64 // of the newest report; 0: none was sent
	sentAt      float64
	outstanding bool // the newest report has no answer yet
	urgency     urgency
}

// due reports whether the next report should be sent.
func (r *reportState) due(intervalMs, now float64) bool {
	elapsed := now - r.sentAt
	switch {
	case r.seq == 0 || elapsed >= intervalMs:
		return true
	case r.urgency == notUrgent:
		return false
	case r.outstanding || r.urgency == lacksKnownShare:
		return elapsed >= answerTimeoutMs
	}
	return elapsed >= minReportGapMs
}

// answeredBy reports whether a grant is the first answer to the newest report.
func (r *reportState) answeredBy(grant *controlmsg.QuotaGrant, incarnation uint64) bool {
	return r.outstanding && grant.Incarnation == incarnation && grant.Seq == r.seq
}

// NextReport returns the report that is due, or nil. A holder without shares reports too, as a new leader waits for all
// possible holders. The caller must send the report at once: from now on no answer to an earlier report is applied.
func (l *Limiter) NextReport(now float64) *controlmsg.QuotaReport {
	l.expire(now)
	interval := reportIntervalMs
	if l.standby {
		interval, l.reports.urgency = standbyIntervalMs, notUrgent
	}
	if !l.reports.due(interval, now) {
		return nil
	}
	listed := l.listTenants(now)
	l.reports = reportState{seq: l.reports.seq + 1, sentAt: now, outstanding: true}
	return &controlmsg.QuotaReport{Incarnation: l.incarnation, Seq: l.reports.seq, Tenants: listed, Term: l.term}
}

// listTenants lists the shares and the demand of tenants. It gives up the shares of tenants without demand: a tenant
// that isn't listed is reported as having no share.
func (l *Limiter) listTenants(now float64) (listed []controlmsg.QuotaDemand) {
	l.hasShares = false
	for _, name := range l.names {
		t := l.tenants[name]
		if l.standby {
			t.reportedDemand = t.limit.Rate
			l.hasShares = l.hasShares || t.share > 0
			listed = append(listed, controlmsg.QuotaDemand{Tenant: name, Share: t.share, Demand: t.reportedDemand})
			continue
		}
		if t.demand.idle(now) {
			l.setShare(t, 0, now)
			t.lacksShare, t.denied, t.reportedDemand = false, false, 0
			continue
		}
		t.reportedDemand = t.demand.perSecond(now)
		l.hasShares = l.hasShares || t.share > 0
		listed = append(listed, controlmsg.QuotaDemand{Tenant: name, Share: t.share, Demand: t.reportedDemand})
	}
	return listed
}
