package limiter

import (
	"math"
	"math/rand/v2"
	"testing"

	"weirwind/internal/controlplane/controlmsg"
)

const testLease = 12000.0

// newTestLimiter has one tenant, "t".
func newTestLimiter(rate, burst float64) *Limiter {
	l := New(7, 5000)
	l.SetLimits(map[string]Limit{"t": {Rate: rate, Burst: burst}}, 0)
	return l
}

// report takes the report that must be due.
func report(t *testing.T, l *Limiter, now float64) *controlmsg.QuotaReport {
	t.Helper()
	r := l.NextReport(now)
	if r == nil {
		t.Fatalf("at %.0f: no report is due", now)
	}
	return r
}

func grantOf(r *controlmsg.QuotaReport, share, tokens float64) *controlmsg.QuotaGrant {
	return &controlmsg.QuotaGrant{Incarnation: r.Incarnation, Seq: r.Seq, LeaseMs: testLease,
		Shares: []controlmsg.QuotaShare{{Tenant: "t", Share: share, Tokens: tokens}}}
}

// holding has a limiter ask for, report and be granted a share at time 0.
func holding(t *testing.T, rate, burst, share, tokens float64) *Limiter {
	t.Helper()
	l := newTestLimiter(rate, burst)
	l.Admit("t", 0, 0)
	if !l.Apply(grantOf(report(t, l, 0), share, tokens), 0) {
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
		t.Errorf("it is reported: %+v", r)
	}
}

// draw is one seeded history of a tenant whose demand is far beyond its share, which changes with each grant.
type draw struct {
	admitted []float64 // when
	came     []float64 // most tokens that had come in until then, by the shares held
	depth    []float64 // tokens that a bucket might hold then
}

// play hands shares that change at random, with grants that are lost or late, and asks each millisecond.
func play(t *testing.T, rng *rand.Rand, limit Limit) draw {
	var d draw
	l := newTestLimiter(limit.Rate, limit.Burst)
	var late *controlmsg.QuotaGrant
	share, came := 0.0, 0.0
	for now := 0.0; now < 30000; now++ {
		came += share * limit.Rate / 1000
		if l.Admit("t", 0, now).Verdict == Admitted {
			d.admitted, d.came = append(d.admitted, now), append(d.came, came)
			d.depth = append(d.depth, share*limit.Burst)
		}
		if late != nil && rng.IntN(40) == 0 {
			if l.Apply(late, now) {
				raised := max(late.Shares[0].Share-share, 0)
				came += min(late.Shares[0].Tokens, raised*limit.Burst)
				share = late.Shares[0].Share
			}
			late = nil
		}
		if r := l.NextReport(now); r != nil && rng.IntN(3) > 0 {
			next := float64(rng.IntN(5)) / 4
			if r.Tenants[0].Share != share {
				t.Fatalf("at %.0f: it says that it holds %v, and holds %v", now, r.Tenants[0].Share, share)
			}
			late = grantOf(r, next, max(next-share, 0)*limit.Burst*rng.Float64())
		}
	}
	return d
}

// In each window no more is admitted than the bucket could hold at its begin and what came in by shares and grants.
func TestWindowsAreBoundedWhileSharesChange(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{Rate: 20 + 300*rng.Float64(), Burst: 4 + 60*rng.Float64()}
		d := play(t, rng, limit)
		if len(d.admitted) < 100 {
			t.Errorf("seed %d: %d operations are admitted", seed, len(d.admitted))
		}
		for from := range d.admitted {
			for to := from; to < len(d.admitted); to++ {
				operations, bound := float64(to-from+1), d.came[to]-d.came[from]+d.depth[from]
				if operations > bound+1e-6 {
					t.Fatalf("seed %d: %v operations from %.0f to %.0f, bound %v", seed, operations,
						d.admitted[from], d.admitted[to], bound)
				}
			}
		}
	}
}

// Twenty proxies with small shares of a small limit admit no more in any window than the limit, and not nothing.
func TestSmallSharesAdmitOperationsWithinTheLimit(t *testing.T) {
	const proxies, rate, burst, window = 20, 9.0, 12.0, 5000.0
	var limiters []*Limiter
	for range proxies {
		limiters = append(limiters, holding(t, rate, burst, 1.0/proxies, 0))
	}
	var admitted []float64
	for now := 5000.0; now < testLease; now++ { // the buckets are full when it begins
		for _, l := range limiters {
			if l.Admit("t", 0, now).Verdict == Admitted {
				admitted = append(admitted, now)
			}
		}
	}
	if len(admitted) < 40 {
		t.Errorf("%d operations are admitted in 7 s", len(admitted))
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
	l := holding(t, 10, 40, 0.5, 3)
	admit := func(now float64) (n int) {
		for l.Admit("t", 0, now).Verdict == Admitted {
			n++
		}
		return n
	}
	if n := admit(0); n != 3 {
		t.Errorf("%d operations by a grant of 3 tokens", n)
	}
	if n := admit(1000); n != 5 {
		t.Errorf("%d operations by half of the rate of 10 a second", n)
	}
	r := report(t, l, 9000) // 20 tokens are held
	l.Apply(grantOf(r, 0.1, 0), 9000)
	if n := admit(9000); n != 4 {
		t.Errorf("%d operations by a tenth of the burst of 40", n)
	}
}

func TestHigherLimitCountsFromNowOn(t *testing.T) {
	l := holding(t, 1, 40, 1, 0)
	l.SetLimits(map[string]Limit{"t": {Rate: 100, Burst: 40}}, 900)
	expectVerdict(t, l, 900, Waiting)
	expectVerdict(t, l, 901, Admitted)
	expectVerdict(t, l, 901, Waiting)
}

func TestLowerLimitClipsTheBucketAndKeepsTheShare(t *testing.T) {
	l := holding(t, 10, 40, 0.5, 20)
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
	first := grantOf(report(t, l, 0), 1, 5)
	second := grantOf(report(t, l, 1000), 0.5, 5)
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

// The leader's bound ends a lease after it received the report: the proxy's, counted from its sending, is over then.
func TestLeaseRunsFromTheSendingOfTheReport(t *testing.T) {
	l := newTestLimiter(100, 50)
	l.Admit("t", 0, 0)
	l.Apply(grantOf(report(t, l, 0), 1, 50), 300)
	for now := 1000.0; now < testLease; now += 1000 {
		expectVerdict(t, l, now, Admitted)
		report(t, l, now) // is lost
	}
	expectVerdict(t, l, testLease-0.01, Admitted)
	expectVerdict(t, l, testLease, Waiting)
	expectVerdict(t, l, testLease+shareWaitMs, Refused)
	if n := l.LeaseExpirations(); n != 1 {
		t.Errorf("the shares lapsed %d times", n)
	}
	if r := report(t, l, testLease+1000); r.Tenants[0].Share != 0 {
		t.Errorf("a share that lapsed is reported: %+v", r)
	}
}

func TestGrantBehindItsLeaseIsNotApplied(t *testing.T) {
	l := newTestLimiter(100, 50)
	l.Admit("t", 0, 0)
	if l.Apply(grantOf(report(t, l, 0), 1, 50), testLease) {
		t.Error("it is applied")
	}
}

// The report that no longer names a tenant says that nothing is held of it: then nothing may be.
func TestIdleTenantIsGivenUpWithTheReportThatSaysSo(t *testing.T) {
	l := holding(t, 10, 40, 0.5, 20)
	if r := report(t, l, idleAfterMs-1); len(r.Tenants) != 1 || r.Tenants[0].Share != 0.5 {
		t.Errorf("%+v", r)
	} else {
		l.Apply(grantOf(r, 0.5, 0), idleAfterMs-1)
	}
	if r := report(t, l, idleAfterMs+1000); len(r.Tenants) != 0 {
		t.Errorf("%+v", r)
	}
	expectVerdict(t, l, idleAfterMs+1000, Waiting)
	if r := l.NextReport(idleAfterMs + 1001); r != nil {
		t.Errorf("too soon: %+v", r)
	}
}

// A new leader waits for the reports of all that may hold a share.
func TestReportsGoOnWhenNothingIsHeld(t *testing.T) {
	l := newTestLimiter(10, 10)
	l.Admit("t", 0, 0)
	report(t, l, 0)
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

// A first operation is reported at once; further reports keep their distance, and wait for an answer.
func TestUrgentReportsKeepTheirDistance(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered bool
		next     float64 // when the second report is sent
	}{
		{"answered", true, soonestReportMs},
		{"no answer", false, answerTimeoutMs},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLimiter(10, 10)
			l.Admit("t", 0, 0)
			r := report(t, l, 0)
			if c.answered {
				l.Apply(grantOf(r, 0.1, 0), 40)
			}
			for now := 1.0; ; now++ {
				l.Admit("t", 0, now) // a thousand a second
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

// Without a share, clients wait while the leader is asked; once it has given none, they are refused at once.
func TestClientsDontWaitForAShareThatWasDenied(t *testing.T) {
	l := newTestLimiter(10, 10)
	expectVerdict(t, l, 0, Waiting)
	l.Apply(grantOf(report(t, l, 0), 0, 0), 40)
	expectVerdict(t, l, 41, Refused)
	if r := l.NextReport(300); r != nil {
		t.Error("the leader is asked again too soon")
	}
	l.Apply(grantOf(report(t, l, 400), 0.5, 1), 440)
	expectVerdict(t, l, 441, Admitted)
}

func TestRefusalSaysWhenATokenIsDue(t *testing.T) {
	l := holding(t, 2, 10, 1, 0)
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
			t.Errorf("behind %d, at %.0f: %+v, want %d for %.0f ms", c.ahead, c.now, d, c.verdict, c.after)
		}
	}
}

func TestDemandRisesAtOnceAndFallsSlowly(t *testing.T) {
	var d demand
	d.at = neverAskedMs
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
	l.Apply(grantOf(l.NextReport(now), 0.1, 0), now)
	b.ReportAllocs()
	for b.Loop() {
		now += 0.2
		l.Admit("t", 3, now)
		l.NextReport(now)
	}
}

// Another leader, which had the report before the lease's end, may confirm what a third has been given since.
func TestAShareThatLapsedIsNotRevivedByAnOlderReport(t *testing.T) {
	l := holding(t, 10, 10, 0.5, 1)
	l.Admit("t", 0, testLease-1000)
	r := report(t, l, testLease-100)
	if l.Apply(grantOf(r, 0.5, 0), testLease+100) {
		t.Error("a grant revives a share that has lapsed since its report")
	}
}
