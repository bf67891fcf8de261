package quota

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/config/quotalimit"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/settings"
)

// Fractions of each quota: core machines hand out the tokens of CoreFraction; stand-by agents, which serve while the
// core is unreachable, hand out those of StandbyFraction.
const (
	CoreFraction    = 0.75
	StandbyFraction = 1 - CoreFraction
)

// Limit is a tenant's token bucket over all drivers.
type Limit = quotalimit.Limit

// Limits returns the token bucket of each tenant that has a quota, with rate and burst multiplied by fraction.
func Limits(cfg *config.Config, s *settings.Settings, fraction float64) map[string]Limit {
	limits := map[string]Limit{}
	for i := range cfg.Tenants {
		tenant := &cfg.Tenants[i]
		rate, burst, limited := quotalimit.Of(tenant, s.QuotaExcess, s.QuotaExtra)
		if !limited {
			continue
		}
		total := Limit{Rate: rate, Burst: burst}.
			ForTokenLifetime(controlmsg.QuotaTokenLifetimeMs, float64(s.QuotaWindow.Milliseconds()))
		limits[tenant.Name] = Limit{Rate: total.Rate * fraction, Burst: total.Burst * fraction}
	}
	return limits
}
