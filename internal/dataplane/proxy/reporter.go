package proxy

import (
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/dataplane/group"
)

const reportInterval = 400.0 // minimum time between two reports on one group, in milliseconds

// reporter creates the reports to the control plane on the primary of one group. While the primary does not answer,
// answers no commit or accepts no connection, the report is repeated. A last report states that it is healthy again.
type reporter struct {
	reportedAt float64 // milliseconds
	unhealthy  bool    // the primary's state in the last report
}

// next returns the report that is due at the time now, nil for none.
func (r *reporter) next(g *group.Group, now float64) *controlmsg.PrimaryReport {
	primary := g.Primary()
	stalled := g.CommitsStalled(now)
	unreachableID := g.LastUnresponsivePrimary()
	unreachable := unreachableID != ""
	unhealthy := stalled || unreachable || primary != nil && primary.Suspected
	if !unhealthy && !r.unhealthy || now < r.reportedAt+reportInterval {
		return nil
	}
	if primary == nil && !unreachable { // no primary is known, so there is none to report; earlier reports expire
		r.unhealthy = false
		return nil
	}
	r.reportedAt, r.unhealthy = now, unhealthy
	report := &controlmsg.PrimaryReport{Service: g.Service}
	switch {
	case unreachable:
		report.MemberID, report.Unreachable = unreachableID, true
	case primary != nil:
		report.MemberID = primary.ID
		report.CommitsStalled = stalled
		if unhealthy && !stalled {
			report.UnresponsiveMs = max(g.PrimaryUnresponsiveFor(now), 1)
		}
	}
	return report
}
