package quota

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/config/quotalimit"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/settings"
)

// Parts of each quota that core machines hold, and stand-by agents.
const (
	CorePart    = 0.75
	StandbyPart = 1 - CorePart
)

// Limit is a tenant's token bucket over all drivers.
type Limit = quotalimit.Limit

// Limits gives the buckets by which tokens of tenants are given out, multiplied by a part. Tenants without a quota have
// none.
func Limits(current *config.Config, s *settings.Settings, part float64) map[string]Limit {
	limits := map[string]Limit{}
	for i := range current.Tenants {
		tenant := &current.Tenants[i]
		rate, burst, limited := quotalimit.Of(tenant, s.QuotaExcess, s.QuotaExtra)
		if !limited {
			continue
		}
		whole := Limit{Rate: rate, Burst: burst}.
			ForTokenLifetime(controlmsg.QuotaTokenLifetimeMs, float64(s.QuotaWindow.Milliseconds()))
		limits[tenant.Name] = Limit{Rate: whole.Rate * part, Burst: whole.Burst * part}
	}
	return limits
}
