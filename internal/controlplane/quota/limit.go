package quota

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/config/quotalimit"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/settings"
)

// minTokenDepth is how many tokens a bucket holds at least, where its limit's burst does: each holder has a part.
const minTokenDepth = 10.0

// Parts of each quota that core machines hold, and stand-by agents.
const (
	CorePart    = 0.75
	StandbyPart = 1 - CorePart
)

// Limit is a tenant's token bucket over all drivers.
type Limit struct {
	Rate  float64 // operations a second
	Burst float64 // its depth, in operations
}

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
			ForTokens(controlmsg.QuotaTokenLifetimeMs, float64(s.QuotaWindow.Milliseconds()))
		limits[tenant.Name] = Limit{Rate: whole.Rate * part, Burst: whole.Burst * part}
	}
	return limits
}

// ForTokens gives the bucket that tokens are to be given out by, where each may be used up to lifetimeMs later: no
// window of windowMs has more operations by it than by l. The depth makes up for it, or where that is too small, the
// rate.
func (l Limit) ForTokens(lifetimeMs, windowMs float64) Limit {
	late := l.Rate * lifetimeMs / 1000
	depth := l.Burst - late
	if least := min(l.Burst, minTokenDepth); depth < least {
		inWindow := l.Rate*windowMs/1000 + l.Burst
		return Limit{Rate: (inWindow - least) * 1000 / (windowMs + lifetimeMs), Burst: least}
	}
	return Limit{Rate: l.Rate, Burst: depth}
}
