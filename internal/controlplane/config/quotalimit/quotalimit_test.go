package quotalimit

import (
	"math"
	"testing"

	"weirwind/internal/controlplane/config"
)

func TestOf(t *testing.T) {
	for name, c := range map[string]struct {
		tenant      *config.Tenant
		rate, burst float64
		limited     bool
	}{
		"rate and burst":  {&config.Tenant{Rate: 100, Burst: 40}, 107.5, 58, true},
		"rate only":       {&config.Tenant{Rate: 100}, 107.5, 15, true},
		"burst only":      {&config.Tenant{Burst: 40}, 0, 58, true},
		"without a quota": {&config.Tenant{}, 0, 0, false},
		"no tenant":       {nil, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			rate, burst, limited := Of(c.tenant, 0.1, 20)
			if math.Abs(rate-c.rate) > 1e-9 || math.Abs(burst-c.burst) > 1e-9 || limited != c.limited {
				t.Errorf("%v a second, burst %v, limited %v; want %v, %v, %v",
					rate, burst, limited, c.rate, c.burst, c.limited)
			}
		})
	}
}

// The bucket admits less in a window than the quota with its tolerance allows, by a quarter of the tolerance.
func TestLimitLeavesAMargin(t *testing.T) {
	const window, excess, extra = 5, 0.1, 20
	tenant := &config.Tenant{Rate: 30, Burst: 15}
	rate, burst, _ := Of(tenant, excess, extra)
	plain := tenant.Rate*window + tenant.Burst
	tolerance := plain*excess + extra
	if margin := plain + tolerance - (rate*window + burst); math.Abs(margin-tolerance/4) > 1e-9 {
		t.Errorf("a margin of %v, want a quarter of %v", margin, tolerance)
	}
}

// Tokens may be used in a later window than that in which they were issued, and then count in the later one.
func TestTokensUsedLateStayWithinTheLimit(t *testing.T) {
	const lifetime, window = 500, 5000
	for _, l := range []Limit{{Rate: 10, Burst: 25}, {Rate: 350, Burst: 360}, {Rate: 100, Burst: 15}, {Rate: 0, Burst: 15},
		{Rate: 100, Burst: 4}} {
		got := l.ForTokenLifetime(lifetime, window)
		used := got.Rate*(window+lifetime)/1000 + got.Burst
		if allowed := l.Rate*window/1000 + l.Burst; used > allowed+1e-9 ||
			got.Burst > l.Burst || got.Burst < min(l.Burst, 10) {
			t.Errorf("%+v: with %+v a window may have %v operations, limit %v", l, got, used, allowed)
		}
	}
}
