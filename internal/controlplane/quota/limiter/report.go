package limiter

import "weirwind/internal/controlplane/controlmsg"

const (
	reportIntervalMs  = 1000.0 // between reports
	standbyIntervalMs = 3000.0 // between those of a stand-by
	soonestReportMs   = 150.0  // behind the last one, if it is answered and the leader doesn't know a demand
	answerTimeoutMs   = 400.0  // after which an answer is no longer waited for, where clients lack a share
	grownDemand       = 1.5    // times what was reported: the leader is told at once
)

// need says how soon the next report is due.
type need uint8

const (
	atInterval  need = iota
	knownDemand      // a tenant lacks a share, which the leader knows
	newDemand        // a tenant lacks tokens, and the leader doesn't know its demand
)

// reportState is what is known of the reports that were sent.
type reportState struct {
	seq         uint64 // of the newest; 0: there was none
	sentAt      float64
	outstanding bool // the newest isn't answered
	need        need
}

// due reports whether the next report may be sent.
func (r *reportState) due(intervalMs, now float64) bool {
	passed := now - r.sentAt
	switch {
	case r.seq == 0 || passed >= intervalMs:
		return true
	case r.need == atInterval:
		return false
	case r.outstanding || r.need == knownDemand:
		return passed >= answerTimeoutMs
	}
	return passed >= soonestReportMs
}

// answeredBy reports whether a grant is the first answer to the newest report.
func (r *reportState) answeredBy(grant *controlmsg.QuotaGrant, incarnation uint64) bool {
	return r.outstanding && grant.Incarnation == incarnation && grant.Seq == r.seq
}

// NextReport returns the report that is due, nil for none. Also who holds nothing reports, as a new leader waits for
// all that may. The caller sends it at once: from now on no earlier report's answer is applied.
func (l *Limiter) NextReport(now float64) *controlmsg.QuotaReport {
	l.expire(now)
	interval := reportIntervalMs
	if l.standby {
		interval, l.reports.need = standbyIntervalMs, atInterval
	}
	if !l.reports.due(interval, now) {
		return nil
	}
	listed := l.listTenants(now)
	l.reports = reportState{seq: l.reports.seq + 1, sentAt: now, outstanding: true}
	return &controlmsg.QuotaReport{Incarnation: l.incarnation, Seq: l.reports.seq, Tenants: listed, Lead: l.lead}
}

// listTenants lists what is held and asked for. Shares of tenants without demand are given up at this moment: that a
// tenant isn't listed says that none is held.
func (l *Limiter) listTenants(now float64) (listed []controlmsg.QuotaDemand) {
	l.hasShares = false
	for _, name := range l.names {
		t := l.tenants[name]
		if l.standby {
			t.reported = t.limit.Rate
			l.hasShares = l.hasShares || t.share > 0
			listed = append(listed, controlmsg.QuotaDemand{Tenant: name, Share: t.share, Demand: t.reported})
			continue
		}
		if t.demand.idle(now) {
			l.setShare(t, 0, now)
			t.lacks, t.denied, t.reported = false, false, 0
			continue
		}
		t.reported = t.demand.perSecond(now)
		l.hasShares = l.hasShares || t.share > 0
		listed = append(listed, controlmsg.QuotaDemand{Tenant: name, Share: t.share, Demand: t.reported})
	}
	return listed
}
