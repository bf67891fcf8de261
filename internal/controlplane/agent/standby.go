package agent

// This file has the agent's role as a standby for quotas: it holds a share of each tenant's quota under a lease from
// the core's leader, and grants tokens from that share to drivers that reach no core machine.

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/controlplane/quota"
	"weirwind/internal/controlplane/quota/limiter"
	"weirwind/internal/util/settings"
)

// standby is the agent's state as a standby. It belongs to the agent's loop.
type standby struct {
	limiter       *limiter.Limiter // nil until the agent becomes a standby for the first time
	configVersion uint64           // of the configuration that the limits are from
}

// standbys returns the standbys, which every agent derives from the list of drivers: the first driver of each zone by
// name. The one of the agent's own zone comes first.
func (a *Agent) standbys() (drivers []directory.Driver) {
	seen := map[string]bool{}
	for _, driver := range a.drivers { // sorted by name
		if seen[driver.Zone] {
			continue
		}
		seen[driver.Zone] = true
		if driver.Zone == a.self.Zone {
			drivers = append([]directory.Driver{driver}, drivers...)
		} else {
			drivers = append(drivers, driver)
		}
	}
	return drivers
}

// reportShares reports this agent's shares to the leader, if this agent is a standby. The shares of a former standby
// end with their lease.
func (a *Agent) reportShares() {
	if !a.settings.HasContract(settings.ContractQuota) || a.config == nil {
		return
	}
	now := a.now()
	standbys := a.standbys()
	isStandby := len(standbys) > 0 && standbys[0].Name == a.self.Name
	if isStandby || a.standby.limiter != nil { // shares may outlive the role
		a.updateStandbyLimits(now)
	}
	if !isStandby || a.core == nil {
		return
	}
	if report := a.standby.limiter.NextReport(now); report != nil {
		report.Holder, report.Standby = a.self.Name, true
		a.core.link.Send(&controlmsg.Frame{QuotaReport: report})
	}
}

// updateStandbyLimits applies the limits of a newer configuration.
func (a *Agent) updateStandbyLimits(now float64) {
	s := &a.standby
	if s.limiter == nil {
		s.limiter = limiter.NewStandby(a.self.Incarnation, float64(a.settings.QuotaWindow.Milliseconds()))
	}
	if s.configVersion == a.configVersion {
		return
	}
	s.configVersion = a.configVersion
	current, err := config.Parse(a.config)
	if err != nil { // the core accepted it, so it is for a later version of the program
		return
	}
	s.limiter.SetLimits(quota.Limits(current, a.settings, quota.StandbyFraction), now)
}

// applyStandbyGrant applies the leader's answer to this agent's report.
func (a *Agent) applyStandbyGrant(grant *controlmsg.QuotaGrant) {
	if a.standby.limiter != nil && grant.Standby && grant.Holder == a.self.Name {
		a.standby.limiter.Apply(grant, a.now())
	}
}

// holdsShares reports whether this agent has shares to grant tokens from.
func (a *Agent) holdsShares() bool {
	return a.standby.limiter != nil && a.standby.limiter.HasShares(a.now())
}

// answerFromShares returns the answer to a request for tokens, granted from this agent's own shares.
func (a *Agent) answerFromShares(request *controlmsg.QuotaRequest) *controlmsg.Frame {
	return &controlmsg.Frame{QuotaAnswer: a.standby.limiter.Answer(request, a.now())}
}
