package agent

// This file owns the agent as a stand-by of the core for quotas: it holds a share of each tenant's quota under a lease
// of the leader's, and gives out tokens by it to drivers that reach no core machine.

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/controlplane/quota"
	"weirwind/internal/controlplane/quota/limiter"
	"weirwind/internal/util/settings"
)

// standby is the agent's part as a stand-by. It belongs to the agent's loop.
type standby struct {
	limiter       *limiter.Limiter // nil until the agent is one for the first time
	configVersion uint64           // of the limits
}

// standbys gives the first driver of each zone by name, the own zone's first: the stand-bys, as each agent knows them.
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

// stepStandby reports to the leader what is held, if this agent is a stand-by. The shares of one that no longer is end
// with their lease.
func (a *Agent) stepStandby() {
	if !a.settings.HasContract(settings.ContractQuota) || a.config == nil {
		return
	}
	now := a.now()
	first := a.standbys()
	isStandby := len(first) > 0 && first[0].Name == a.self.Name
	if isStandby || a.standby.limiter != nil { // its shares may outlive its part as one
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

// updateStandbyLimits takes the limits of a newer configuration.
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
	if err != nil { // as the core has accepted it, it is of a later version of the program
		return
	}
	s.limiter.SetLimits(quota.Limits(current, a.settings, quota.StandbyFraction), now)
}

// takeStandbyGrant takes the leader's answer to this agent's report.
func (a *Agent) takeStandbyGrant(grant *controlmsg.QuotaGrant) {
	if a.standby.limiter != nil && grant.Standby && grant.Holder == a.self.Name {
		a.standby.limiter.Apply(grant, a.now())
	}
}

// holdsShares reports whether this agent has tokens to give out.
func (a *Agent) holdsShares() bool {
	return a.standby.limiter != nil && a.standby.limiter.HasShares(a.now())
}

// answerFromShares answers a request for tokens by this agent's own shares.
func (a *Agent) answerFromShares(r *controlmsg.QuotaRequest) *controlmsg.Frame {
	return &controlmsg.Frame{QuotaAnswer: a.standby.limiter.Answer(r, a.now())}
}
