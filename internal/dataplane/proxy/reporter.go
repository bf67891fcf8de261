package proxy

import (
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/dataplane/group"
)

const reportInterval = 400.0 // milliseconds between two reports on one group

// reporter makes the reports to the control plane on one group's primary: that it doesn't answer, answers no commit,
// or takes no connection, repeated while it is so, and once that it is healthy again.
type reporter struct {
	reportedAt float64
	unhealthy  bool // the last report said so
}

// next returns the report that is due at now, nil for none.
func (r *reporter) next(g *group.Group, now float64) *controlmsg.PrimaryReport {
	primary := g.Primary()
	stalled := g.CommitsStalled(now)
	silent := g.LastUnresponsivePrimary()
	unreachable := silent != ""
	unhealthy := stalled || unreachable || primary != nil && primary.Suspected
	if !unhealthy && !r.unhealthy || now < r.reportedAt+reportInterval {
		return nil
	}
	if primary == nil && !unreachable { // nobody is known to lead: there is nobody to report, and earlier reports expire
		r.unhealthy = false
		return nil
	}
	r.reportedAt, r.unhealthy = now, unhealthy
	report := &controlmsg.PrimaryReport{Service: g.Service}
	switch {
	case unreachable:
		report.MemberID, report.Unreachable = silent, true
	case primary != nil:
		report.MemberID = primary.ID
		report.CommitsStalled = stalled
		if unhealthy && !stalled {
			report.UnresponsiveMs = max(g.PrimaryUnresponsiveFor(now), 1)
		}
	}
	return report
}
