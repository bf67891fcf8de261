package limiter

import (
	"maps"
	"math"
	"slices"

	"weirwind/internal/controlplane/config/quotalimit"
	"weirwind/internal/controlplane/controlmsg"
)

const (
	maxTokenWaitMs  = 250.0 // an operation waits for a token that is due within this time
	shareWaitMs     = 400.0 // from a tenant's first operation without a share, operations wait this long for one
	noShareRetryMs  = 500.0 // retry delay of an operation that finds no share
	maxRetryAfterMs = 5000.0
)

// MinRetryAfterMs is the shortest retry delay of a refused operation, in milliseconds.
const MinRetryAfterMs = 50.0

// Limit is a tenant's limit over all holders together.
type Limit = quotalimit.Limit

// Verdict is the decision on an operation.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota
	Refused
	Waiting // try again after RetryAfterMs, or when a grant arrives
)

// Decision is the answer to one operation.
type Decision struct {
	Verdict Verdict
	// RetryAfterMs is the time until the next try, in milliseconds, for a refused or waiting operation. It is an estimate
	// if the holder has no share.
	RetryAfterMs float64
}

// Limiter hands out tokens for operations from the shares of tenants' limits that this holder has. The size of its
// state is bounded by the number of tenants that have limits.
type Limiter struct {
	incarnation uint64
	windowMs    float64 // length of the window over which limits are judged
	tenants     map[string]*tenant
	names       []string // of tenants, sorted

	standby          bool   // reports each tenant's rate as its demand; see NewStandby
	term             uint64 // of the leader that sent the newest grant
	reports          reportState
	leaseEnd         float64 // milliseconds; the shares are valid until then
	leaseExpirations int     // number of times that shares ended with their lease
	hasShares        bool
}

// tenant is the limiter's state of a tenant.
type tenant struct {
	limit  Limit
	share  float64
	bucket bucket
	demand demand

	reportedDemand float64 // in the newest report; 0: the tenant wasn't listed
	lacksShare     bool    // an operation found no share
	lackingSince   float64 // milliseconds; arrival of the first such operation
	denied         bool    // the leader knows the demand and granted no share
}

// New returns a limiter without tenants. The incarnation identifies the process, and must be higher than that of each
// earlier process of this holder. windowMs is the window over which limits are judged.
func New(incarnation uint64, windowMs float64) *Limiter {
	return &Limiter{incarnation: incarnation, windowMs: max(windowMs, 1), tenants: map[string]*tenant{}}
}

// NewStandby returns the limiter of a stand-by agent, which is asked only while the core is out of reach. It asks for a
// share of each tenant's limit regardless of the demand, and reports less often.
func NewStandby(incarnation uint64, windowMs float64) *Limiter {
	l := New(incarnation, windowMs)
	l.standby = true
	return l
}

// SetLimits replaces all limits; tenants without one are not limited. A tenant that already had a limit keeps its
// share.
func (l *Limiter) SetLimits(limits map[string]Limit, now float64) {
	l.expire(now)
	maps.DeleteFunc(l.tenants, func(name string, _ *tenant) bool {
		_, limited := limits[name]
		return !limited
	})
	for name, limit := range limits {
		t := l.tenants[name]
		if t == nil {
			t = &tenant{demand: demand{lastOperationAt: neverMs}, bucket: bucket{refilledAt: now}}
			l.tenants[name] = t
		}
		if t.limit != limit {
			t.limit = limit
			t.bucket.resize(limit, t.share, l.windowMs, now)
		}
	}
	l.names = slices.Sorted(maps.Keys(l.tenants))
}

// Admit counts a client's operation and decides on it. ahead is the number of the tenant's operations that are already
// waiting, and are served first.
func (l *Limiter) Admit(name string, ahead int, now float64) Decision {
	t := l.tenants[name]
	if t == nil {
		return Decision{Verdict: Admitted}
	}
	t.demand.count(now)
	return l.decide(t, ahead, now)
}

// Retry decides again on a waiting operation, with ahead of the tenant's operations before it.
func (l *Limiter) Retry(name string, ahead int, now float64) Decision {
	t := l.tenants[name]
	if t == nil {
		return Decision{Verdict: Admitted}
	}
	return l.decide(t, ahead, now)
}

func (l *Limiter) decide(t *tenant, ahead int, now float64) Decision {
	l.expire(now)
	if ahead == 0 && t.bucket.take(now) {
		return Decision{Verdict: Admitted}
	}
	t.bucket.refill(now)
	l.recordShortage(t, now)
	delayMs := t.bucket.delayMs(ahead)
	switch {
	case delayMs <= maxTokenWaitMs:
		return Decision{Waiting, delayMs}
	case t.share == 0 && !t.denied && now-t.lackingSince < shareWaitMs:
		return Decision{Waiting, noShareRetryMs}
	case math.IsInf(delayMs, 1): // the share never earns a whole token
		return Decision{Refused, noShareRetryMs}
	}
	return Decision{Refused, min(max(delayMs, MinRetryAfterMs), maxRetryAfterMs)}
}

// recordShortage records that an operation found no token. The next report is due soon if the leader doesn't know of
// the demand.
func (l *Limiter) recordShortage(t *tenant, now float64) {
	if t.share == 0 && !t.lacksShare {
		t.lacksShare, t.lackingSince = true, now
	}
	switch {
	case t.reportedDemand == 0 || t.demand.perSecond(now) > t.reportedDemand*demandGrowthFactor+1:
		l.reports.urgency = max(l.reports.urgency, unknownDemand)
	case t.share == 0:
		l.reports.urgency = max(l.reports.urgency, lacksKnownShare)
	}
}

// expire removes all shares if their lease has expired.
func (l *Limiter) expire(now float64) {
	if !l.hasShares || now < l.leaseEnd {
		return
	}
	for _, t := range l.tenants {
		l.setShare(t, 0, now)
	}
	l.hasShares = false
	l.reports.outstanding = false // its answer would confirm shares that have expired
	l.leaseExpirations++
}

// setShare sets the share of a tenant's limit.
func (l *Limiter) setShare(t *tenant, share, now float64) {
	if share == t.share {
		return
	}
	t.share = share
	t.bucket.resize(t.limit, share, l.windowMs, now)
	t.lacksShare, t.denied = false, false
}

// Apply applies a grant, and reports whether it did. A grant that doesn't answer the newest report, or arrives after
// its own lease, changes nothing.
func (l *Limiter) Apply(grant *controlmsg.QuotaGrant, now float64) bool {
	l.expire(now)
	if !l.reports.answeredBy(grant, l.incarnation) {
		return false
	}
	leaseEnd := l.reports.sentAt + grant.LeaseMs
	if !(now < leaseEnd) { // also true for NaN
		return false
	}
	l.reports.outstanding = false
	if grant.Term != l.term { // the leader is to see at once that this one was applied
		l.term = grant.Term
		l.reports.urgency = unknownDemand
	}
	granted := make(map[string]controlmsg.QuotaShare, len(grant.Shares))
	for _, s := range grant.Shares {
		granted[s.Tenant] = s
	}
	l.hasShares, l.leaseEnd = false, leaseEnd
	for name, t := range l.tenants {
		s := granted[name]
		share := 0.0
		if s.Share > 0 {
			share = min(s.Share, 1)
		}
		l.setShare(t, share, now)
		t.bucket.add(s.Tokens, now)
		t.denied = share == 0 && t.reportedDemand > 0
		l.hasShares = l.hasShares || share > 0
	}
	return true
}

// HasShares reports whether the holder has any share.
func (l *Limiter) HasShares(now float64) bool {
	l.expire(now)
	return l.hasShares
}

// LeaseExpirations returns how often shares ended with their lease.
func (l *Limiter) LeaseExpirations() int { return l.leaseExpirations }

// ShareAndDemand returns the share of a tenant's limit, and the operations a second that its clients ask for.
func (l *Limiter) ShareAndDemand(name string, now float64) (share, perSecond float64) {
	l.expire(now)
	t := l.tenants[name]
	if t == nil {
		return 0, 0
	}
	return t.share, t.demand.perSecond(now)
}

// Totals returns the sums of the shares and of the demand over all tenants.
func (l *Limiter) Totals(now float64) (shares, perSecond float64) {
	for name := range l.tenants {
		share, tenantDemand := l.ShareAndDemand(name, now)
		shares += share
		perSecond += tenantDemand
	}
	return shares, perSecond
}
