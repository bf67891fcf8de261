package limiter

import (
	"maps"
	"math"
	"slices"

	"weirwind/internal/controlplane/config/quotalimit"
	"weirwind/internal/controlplane/controlmsg"
)

const (
	maxTokenWaitMs  = 250.0 // a client waits for a token that is due within it
	shareWaitMs     = 400.0 // from a tenant's first operation without a share, for which clients wait for one
	noShareRetryMs  = 500.0 // after which a client comes back where there is no share
	maxRetryAfterMs = 5000.0
)

// MinRetryAfterMs bounds from below when a client that was refused is told to come back, in milliseconds.
const MinRetryAfterMs = 50.0

// Limit is a tenant's limit over all holders.
type Limit = quotalimit.Limit

// Verdict is what becomes of an operation.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota
	Refused
	Waiting // it is to be tried again when it is due, and when a grant comes
)

// Decision is the answer to one operation.
type Decision struct {
	Verdict Verdict
	// RetryAfterMs is when to try again, in milliseconds: for a client that was refused, or for one that waits. Where there is
	// no share it is a guess.
	RetryAfterMs float64
}

// Limiter gives out tokens for operations of tenants by the shares of their limits that this holder has. Its state is
// bounded by the tenants that have limits.
type Limiter struct {
	incarnation uint64
	windowMs    float64 // of the rule that limits keep
	tenants     map[string]*tenant
	names       []string // of tenants, sorted

	standby   bool   // what is reported is not the demand: NewStandby
	lead      uint64 // of the newest grant
	reports   reportState
	leaseEnd  float64 // milliseconds; the shares hold until then
	lapsed    int     // how often shares ended with their lease
	hasShares bool
}

// tenant is what a limiter knows of a tenant.
type tenant struct {
	limit  Limit
	share  float64
	bucket bucket
	demand demand

	reported     float64 // demand, by the newest report; 0: it wasn't listed
	lacks        bool    // its operations found no share
	lackingSince float64 // milliseconds, when the first of them came
	denied       bool    // the leader was told of its demand and gave no share
}

// New returns a limiter without tenants. The incarnation is that of the process, and higher than that of each earlier
// one here; windowMs is the window over which limits are judged.
func New(incarnation uint64, windowMs float64) *Limiter {
	return &Limiter{incarnation: incarnation, windowMs: max(windowMs, 1), tenants: map[string]*tenant{}}
}

// NewStandby returns a limiter of an agent that is asked only while the core is out of reach. It wants a share of each
// tenant's limit, whatever the demand, and reports less often.
func NewStandby(incarnation uint64, windowMs float64) *Limiter {
	l := New(incarnation, windowMs)
	l.standby = true
	return l
}

// SetLimits replaces all limits: tenants without one are not limited. A tenant that had one keeps its share.
func (l *Limiter) SetLimits(limits map[string]Limit, now float64) {
	l.expire(now)
	maps.DeleteFunc(l.tenants, func(name string, _ *tenant) bool {
		_, limited := limits[name]
		return !limited
	})
	for name, limit := range limits {
		t := l.tenants[name]
		if t == nil {
			t = &tenant{demand: demand{at: neverAskedMs}, bucket: bucket{at: now}}
			l.tenants[name] = t
		}
		if t.limit != limit {
			t.limit = limit
			t.bucket.resize(limit, t.share, l.windowMs, now)
		}
	}
	l.names = slices.Sorted(maps.Keys(l.tenants))
}

// Admit counts an operation that a client asks for, and decides on it. ahead is how many of the tenant's operations
// wait already: those are served first.
func (l *Limiter) Admit(name string, ahead int, now float64) Decision {
	t := l.tenants[name]
	if t == nil {
		return Decision{Verdict: Admitted}
	}
	t.demand.count(now)
	return l.decide(t, ahead, now)
}

// Retry decides anew on an operation that waits, with ahead of the tenant's operations before it.
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
	l.noteLack(t, now)
	due := t.bucket.due(ahead)
	switch {
	case due <= maxTokenWaitMs:
		return Decision{Waiting, due}
	case t.share == 0 && !t.denied && now-t.lackingSince < shareWaitMs:
		return Decision{Waiting, noShareRetryMs}
	case math.IsInf(due, 1): // no token ever comes by this share
		return Decision{Refused, noShareRetryMs}
	}
	return Decision{Refused, min(max(due, MinRetryAfterMs), maxRetryAfterMs)}
}

// noteLack notes that an operation found no token: the leader is to be told soon if it doesn't know of the demand.
func (l *Limiter) noteLack(t *tenant, now float64) {
	if t.share == 0 && !t.lacks {
		t.lacks, t.lackingSince = true, now
	}
	switch {
	case t.reported == 0 || t.demand.perSecond(now) > t.reported*grownDemand+1:
		l.reports.need = max(l.reports.need, newDemand)
	case t.share == 0:
		l.reports.need = max(l.reports.need, knownDemand)
	}
}

// expire ends all shares whose lease has ended.
func (l *Limiter) expire(now float64) {
	if !l.hasShares || now < l.leaseEnd {
		return
	}
	for _, t := range l.tenants {
		l.setShare(t, 0, now)
	}
	l.hasShares = false
	l.reports.outstanding = false // an answer would be to a report that says what is not held any more
	l.lapsed++
}

// setShare changes the share that is held of a tenant's limit.
func (l *Limiter) setShare(t *tenant, share, now float64) {
	if share == t.share {
		return
	}
	t.share = share
	t.bucket.resize(t.limit, share, l.windowMs, now)
	t.lacks, t.denied = false, false
}

// Apply takes a grant. false: it is not the answer to the newest report, or came after its own lease, and changes
// nothing.
func (l *Limiter) Apply(grant *controlmsg.QuotaGrant, now float64) bool {
	l.expire(now)
	if !l.reports.answeredBy(grant, l.incarnation) {
		return false
	}
	leaseEnd := l.reports.sentAt + grant.LeaseMs
	if !(now < leaseEnd) { // written so that it holds for NaN too
		return false
	}
	l.reports.outstanding = false
	if grant.Lead != l.lead { // the leader is to see at once that this one was applied
		l.lead = grant.Lead
		l.reports.need = newDemand
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
		t.denied = share == 0 && t.reported > 0
		l.hasShares = l.hasShares || share > 0
	}
	return true
}

// HasShares reports whether any share is held.
func (l *Limiter) HasShares(now float64) bool {
	l.expire(now)
	return l.hasShares
}

// LeaseExpirations counts how often shares ended with their lease.
func (l *Limiter) LeaseExpirations() int { return l.lapsed }

// ShareAndDemand is the share that is held of a tenant's limit, and the operations a second that its clients ask for.
func (l *Limiter) ShareAndDemand(name string, now float64) (share, perSecond float64) {
	l.expire(now)
	t := l.tenants[name]
	if t == nil {
		return 0, 0
	}
	return t.share, t.demand.perSecond(now)
}

// Totals are the sums of the shares that are held, and of what clients ask for, over all tenants.
func (l *Limiter) Totals(now float64) (shares, perSecond float64) {
	for name := range l.tenants {
		share, demanded := l.ShareAndDemand(name, now)
		shares += share
		perSecond += demanded
	}
	return shares, perSecond
}
