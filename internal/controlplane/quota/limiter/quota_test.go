package limiter

import (
	"math"
	"math/rand/v2"
	"testing"

	"weirwind/internal/controlplane/controlmsg"
)

const testLeaseMs = 12000.0

// newTestLimiter returns a limiter of one tenant, "t".
func newTestLimiter(rate, burst float64) *Limiter {
	l := New(7, 5000)
	l.SetLimits(map[string]Limit{"t": {Rate: rate, Burst: burst}}, 0)
	return l
}

// expectReport returns the next report, which must be due.
func expectReport(t *testing.T, l *Limiter, now float64) *controlmsg.QuotaReport {
	t.Helper()
	r := l.NextReport(now)
	if r == nil {
		t.Fatalf("at %.0f: no report is due", now)
	}
	return r
}

func grantFor(r *controlmsg.QuotaReport, share, tokens float64) *controlmsg.QuotaGrant {
	return &controlmsg.QuotaGrant{Incarnation: r.Incarnation, Seq: r.Seq, LeaseMs: testLeaseMs,
		Shares: []controlmsg.QuotaShare{{Tenant: "t", Share: share, Tokens: tokens}}}
}

// newLimiterWithShare returns a limiter that was granted a share in answer to its report at time 0.
func newLimiterWithShare(t *testing.T, rate, burst, share, tokens float64) *Limiter {
	t.Helper()
	l := newTestLimiter(rate, burst)
	l.Admit("t", 0, 0)
	if !l.Apply(grantFor(expectReport(t, l, 0), share, tokens), 0) {
		t.Fatal("the grant is not applied")
	}
	return l
}

func expectVerdict(t *testing.T, l *Limiter, now float64, want Verdict) {
	t.Helper()
	if got := l.Admit("t", 0, now); got.Verdict != want {
		t.Errorf("at %.0f: %+v, want verdict %d", now, got, want)
	}
}

func TestTenantWithoutLimitIsNotLimited(t *testing.T) {
	l := newTestLimiter(1, 1)
	for range 1000 {
		if d := l.Admit("another", 0, 0); d.Verdict != Admitted {
			t.Fatal(d)
		}
	}
	if r := l.NextReport(5000); r == nil || len(r.Tenants) != 0 {
		t.Errorf("the tenant is reported: %+v", r)
	}
}

// admissions is the simulated history of a tenant whose demand is far beyond its share, with one entry of each list for
// each admitted operation.
type admissions struct {
	admitted []float64 // times
	earned   []float64 // upper bound of the tokens earned until then, by shares and grants
	depth    []float64 // of the bucket at that time
}

// simulate requests an operation each millisecond while grants, some of them lost or late, change the share at
// random.
func simulate(t *testing.T, rng *rand.Rand, limit Limit) admissions {
	var d admissions
	l := newTestLimiter(limit.Rate, limit.Burst)
	var pending *controlmsg.QuotaGrant
	share, earned := 0.0, 0.0
	for now := 0.0; now < 30000; now++ {
		earned += share * limit.Rate / 1000
		if l.Admit("t", 0, now).Verdict == Admitted {
			d.admitted, d.earned = append(d.admitted, now), append(d.earned, earned)
			d.depth = append(d.depth, share*limit.Burst)
		}
		if pending != nil && rng.IntN(40) == 0 {
			if l.Apply(pending, now) {
				raised := max(pending.Shares[0].Share-share, 0)
				earned += min(pending.Shares[0].Tokens, raised*limit.Burst)
				share = pending.Shares[0].Share
			}
			pending = nil
		}
		if r := l.NextReport(now); r != nil && rng.IntN(3) > 0 {
			nextShare := float64(rng.IntN(5)) / 4
			if r.Tenants[0].Share != share {
				t.Fatalf("at %.0f: reported share %v, actual share %v", now, r.Tenants[0].Share, share)
			}
			pending = grantFor(r, nextShare, max(nextShare-share, 0)*limit.Burst*rng.Float64())
		}
	}
	return d
}

// No window admits more than the bucket could hold at its start plus what shares and grants added during it.
func TestWindowsAreBoundedWhileSharesChange(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{Rate: 20 + 300*rng.Float64(), Burst: 4 + 60*rng.Float64()}
		d := simulate(t, rng, limit)
		if len(d.admitted) < 100 {
			t.Errorf("seed %d: only %d operations are admitted", seed, len(d.admitted))
		}
		for from := range d.admitted {
			for to := from; to < len(d.admitted); to++ {
				operations, bound := float64(to-from+1), d.earned[to]-d.earned[from]+d.depth[from]
				if operations > bound+1e-6 {
					t.Fatalf("seed %d: %v operations from %.0f to %.0f, bound %v", seed, operations,
						d.admitted[from], d.admitted[to], bound)
				}
			}
		}
	}
}

// Twenty holders with small shares of a small limit together admit no more in any window than the limit, but use much
// of it.
func TestSmallSharesAdmitOperationsWithinTheLimit(t *testing.T) {
	const proxies, rate, burst, window = 20, 9.0, 12.0, 5000.0
	var limiters []*Limiter
	for range proxies {
		limiters = append(limiters, newLimiterWithShare(t, rate, burst, 1.0/proxies, 0))
	}
	var admitted []float64
	for now := 5000.0; now < testLeaseMs; now++ { // the buckets are full at the start
		for _, l := range limiters {
			if l.Admit("t", 0, now).Verdict == Admitted {
				admitted = append(admitted, now)
			}
		}
	}
	if len(admitted) < 40 {
		t.Errorf("only %d operations are admitted in 7 s", len(admitted))
	}
	from := 0
	for to := range admitted {
		for admitted[to]-admitted[from] >= window {
			from++
		}
		if n := float64(to - from + 1); n > rate*window/1000+burst {
			t.Fatalf("%v operations in the window until %.0f", n, admitted[to])
		}
	}
}

func TestBucketBeginsEmptyAndIsClippedWhenTheShareFalls(t *testing.T) {
	l := newLimiterWithShare(t, 10, 40, 0.5, 3)
	admit := func(now float64) (n int) {
		for l.Admit("t", 0, now).Verdict == Admitted {
			n++
		}
		return n
	}
	if n := admit(0); n != 3 {
		t.Errorf("%d operations are admitted with a grant of 3 tokens", n)
	}
	if n := admit(1000); n != 5 {
		t.Errorf("%d operations are admitted in a second with half of a rate of 10", n)
	}
	r := expectReport(t, l, 9000) // the bucket is full, with 20 tokens
	l.Apply(grantFor(r, 0.1, 0), 9000)
	if n := admit(9000); n != 4 {
		t.Errorf("%d operations are admitted with a tenth of a burst of 40", n)
	}
}

func TestHigherLimitIsNotRetroactive(t *testing.T) {
	l := newLimiterWithShare(t, 1, 40, 1, 0)
	l.SetLimits(map[string]Limit{"t": {Rate: 100, Burst: 40}}, 900)
	expectVerdict(t, l, 900, Waiting)
	expectVerdict(t, l, 901, Admitted)
	expectVerdict(t, l, 901, Waiting)
}

func TestLowerLimitClipsTheBucketAndKeepsTheShare(t *testing.T) {
	l := newLimiterWithShare(t, 10, 40, 0.5, 20)
	l.SetLimits(map[string]Limit{"t": {Rate: 10, Burst: 4}}, 100)
	if share, _ := l.ShareAndDemand("t", 100); share != 0.5 {
		t.Errorf("share %v", share)
	}
	expectVerdict(t, l, 100, Admitted)
	expectVerdict(t, l, 100, Admitted)
	expectVerdict(t, l, 100, Waiting)
}

func TestOnlyTheAnswerToTheNewestReportCounts(t *testing.T) {
	l := newTestLimiter(10, 10)
	l.Admit("t", 0, 0)
	first := grantFor(expectReport(t, l, 0), 1, 5)
	second := grantFor(expectReport(t, l, 1000), 0.5, 5)
	earlier := *second
	earlier.Incarnation--
	for name, grant := range map[string]*controlmsg.QuotaGrant{"of an older report": first,
		"of an earlier process": &earlier} {
		if l.Apply(grant, 1010) {
			t.Errorf("the grant %s is applied", name)
		}
	}
	if !l.Apply(second, 1020) {
		t.Error("the newest report's grant is not applied")
	}
	for range 5 {
		expectVerdict(t, l, 1020, Admitted)
	}
	if l.Apply(second, 1030) {
		t.Error("a grant is applied twice")
	}
	if share, _ := l.ShareAndDemand("t", 1030); share != 0.5 {
		t.Errorf("share %v", share)
	}
}

// The leader's bound ends a lease after it received the report. The holder's lease, counted from sending the report,
// must have ended by then.
func TestLeaseStartsWhenTheReportIsSent(t *testing.T) {
	l := newTestLimiter(100, 50)
	l.Admit("t", 0, 0)
	l.Apply(grantFor(expectReport(t, l, 0), 1, 50), 300)
	for now := 1000.0; now < testLeaseMs; now += 1000 {
		expectVerdict(t, l, now, Admitted)
		expectReport(t, l, now) // lost
	}
	expectVerdict(t, l, testLeaseMs-0.01, Admitted)
	expectVerdict(t, l, testLeaseMs, Waiting)
	expectVerdict(t, l, testLeaseMs+shareWaitMs, Refused)
	if n := l.LeaseExpirations(); n != 1 {
		t.Errorf("the lease expired %d times", n)
	}
	if r := expectReport(t, l, testLeaseMs+1000); r.Tenants[0].Share != 0 {
		t.Errorf("an expired share is reported: %+v", r)
	}
}

func TestGrantAfterItsLeaseIsNotApplied(t *testing.T) {
	l := newTestLimiter(100, 50)
	l.Admit("t", 0, 0)
	if l.Apply(grantFor(expectReport(t, l, 0), 1, 50), testLeaseMs) {
		t.Error("the grant is applied")
	}
}

// A report that doesn't list a tenant states that its share is 0, so the share must be given up when the report is
// made.
func TestIdleTenantsShareIsReleasedByTheReport(t *testing.T) {
	l := newLimiterWithShare(t, 10, 40, 0.5, 20)
	if r := expectReport(t, l, idleAfterMs-1); len(r.Tenants) != 1 || r.Tenants[0].Share != 0.5 {
		t.Errorf("%+v", r)
	} else {
		l.Apply(grantFor(r, 0.5, 0), idleAfterMs-1)
	}
	if r := expectReport(t, l, idleAfterMs+1000); len(r.Tenants) != 0 {
		t.Errorf("%+v", r)
	}
	expectVerdict(t, l, idleAfterMs+1000, Waiting)
	if r := l.NextReport(idleAfterMs + 1001); r != nil {
		t.Errorf("a report is due too soon: %+v", r)
	}
}

// A new leader waits for the reports of all possible holders, so a holder without shares must keep reporting.
func TestReportsContinueWithoutShares(t *testing.T) {
	l := newTestLimiter(10, 10)
	l.Admit("t", 0, 0)
	expectReport(t, l, 0)
	reports := 0
	for now := idleAfterMs; now < idleAfterMs+10*reportIntervalMs; now += 50 {
		if r := l.NextReport(now); r != nil {
			reports++
			if len(r.Tenants) != 0 {
				t.Errorf("at %.0f: %+v", now, r)
			}
		}
	}
	if reports != 10 {
		t.Errorf("%d reports in 10 intervals", reports)
	}
}

// A tenant's first operation is reported at once. Further reports are sent no more often than the minimum gap allows,
// or only after the timeout if there is no answer.
func TestUrgentReportsAreRateLimited(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered bool
		next     float64 // when the second report is sent
	}{
		{"answered", true, minReportGapMs},
		{"no answer", false, answerTimeoutMs},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLimiter(10, 10)
			l.Admit("t", 0, 0)
			r := expectReport(t, l, 0)
			if c.answered {
				l.Apply(grantFor(r, 0.1, 0), 40)
			}
			for now := 1.0; ; now++ {
				l.Admit("t", 0, now) // a thousand operations a second
				if r := l.NextReport(now); r != nil {
					if now != c.next {
						t.Errorf("the next report is sent at %.0f, want %.0f", now, c.next)
					}
					return
				}
			}
		})
	}
}

// Operations without a share wait while the leader is asked for one; once it has granted none, they are refused at
// once.
func TestClientsDontWaitForAShareThatWasDenied(t *testing.T) {
	l := newTestLimiter(10, 10)
	expectVerdict(t, l, 0, Waiting)
	l.Apply(grantFor(expectReport(t, l, 0), 0, 0), 40)
	expectVerdict(t, l, 41, Refused)
	if r := l.NextReport(300); r != nil {
		t.Error("the leader is asked again too soon")
	}
	l.Apply(grantFor(expectReport(t, l, 400), 0.5, 1), 440)
	expectVerdict(t, l, 441, Admitted)
}

func TestRefusalTellsWhenATokenIsDue(t *testing.T) {
	l := newLimiterWithShare(t, 2, 10, 1, 0)
	for _, c := range []struct {
		ahead   int
		now     float64
		verdict Verdict
		after   float64
	}{
		{0, 100, Refused, 400},
		{0, 300, Waiting, 200},
		{1, 300, Refused, 700},
		{100, 300, Refused, maxRetryAfterMs},
	} {
		if d := l.Admit("t", c.ahead, c.now); d.Verdict != c.verdict || math.Abs(d.RetryAfterMs-c.after) > 1e-6 {
			t.Errorf("%d ahead, at %.0f: %+v, want verdict %d for %.0f ms", c.ahead, c.now, d, c.verdict, c.after)
		}
	}
}

func TestDemandRisesAtOnceAndFallsSlowly(t *testing.T) {
	var d demand
	d.lastOperationAt = neverMs
	d.count(0)
	if got := d.perSecond(0); got != 1 {
		t.Errorf("after one operation: %v a second", got)
	}
	for now := 10.0; now <= 5000; now += 10 {
		d.count(now)
	}
	if got := d.perSecond(5000); got < 95 || got > 105 {
		t.Errorf("at 100 a second: %v", got)
	}
	if got := d.perSecond(7000); got < 60 || got > 80 {
		t.Errorf("2 s after: %v", got)
	}
	if got := d.perSecond(5000 + idleAfterMs); got != 0 || !d.idle(5000+idleAfterMs) {
		t.Errorf("without operations for long: %v", got)
	}
}

func BenchmarkRefusal(b *testing.B) {
	l := newTestLimiter(10, 10)
	now := 0.0
	l.Admit("t", 0, now)
	l.Apply(grantFor(l.NextReport(now), 0.1, 0), now)
	b.ReportAllocs()
	for b.Loop() {
		now += 0.2
		l.Admit("t", 3, now)
		l.NextReport(now)
	}
}

// A leader that received a report before the lease's end may confirm a share that another holder has been granted
// since. Such a grant must not be applied after the lease.
func TestExpiredShareIsNotRestoredByAnOlderReport(t *testing.T) {
	l := newLimiterWithShare(t, 10, 10, 0.5, 1)
	l.Admit("t", 0, testLeaseMs-1000)
	r := expectReport(t, l, testLeaseMs-100)
	if l.Apply(grantFor(r, 0.5, 0), testLeaseMs+100) {
		t.Error("a grant restores a share that has expired since its report")
	}
}
