package quota

import (
	"math/rand/v2"
	"slices"
	"testing"

	"weirwind/internal/controlplane/controlmsg"
)

const lifetime = controlmsg.QuotaTokenLifetimeMs

// testClient is a client of one limited tenant whose operations are numbered in order of arrival. It checks the
// outcomes.
type testClient struct {
	*testing.T
	*Client[int]
	arrivals     int
	results      map[int]Outcome[int]
	lastAdmitted int // the newest admitted operation
	admitted     int
}

func newTestClient(t *testing.T) *testClient {
	c := &testClient{T: t, Client: New[int](7), results: map[int]Outcome[int]{}}
	c.SetTenants(map[string]bool{"t": true, "free": false}, 0)
	return c
}

func (c *testClient) enqueue(now, deadline float64) Verdict {
	c.arrivals++
	verdict, retryAfterMs := c.Enqueue("t", c.arrivals, deadline, now)
	if verdict != Waiting {
		c.record([]Outcome[int]{{Operation: c.arrivals, Verdict: verdict, RetryAfterMs: retryAfterMs}})
	}
	return verdict
}

// record checks outcomes: each operation has one, and operations are admitted in order of arrival.
func (c *testClient) record(outcomes []Outcome[int]) {
	c.Helper()
	for _, o := range outcomes {
		if previous, duplicate := c.results[o.Operation]; duplicate {
			c.Fatalf("operation %d: %+v after %+v", o.Operation, o, previous)
		}
		c.results[o.Operation] = o
		switch {
		case o.Verdict == Admitted && o.Operation < c.lastAdmitted:
			c.Fatalf("operation %d is admitted after %d", o.Operation, c.lastAdmitted)
		case o.Verdict == Admitted:
			c.lastAdmitted = o.Operation
			c.admitted++
		case o.RetryAfterMs < 50 || !(o.RetryAfterMs <= 5000):
			c.Fatalf("refused with %v", o.RetryAfterMs)
		}
	}
}

// requestedOperations returns the number of operations in the request that is due, 0 for no request.
func (c *testClient) requestedOperations(now float64) int {
	if r := c.NextRequest(now); r != nil {
		return r.Tenants[0].Operations
	}
	return 0
}

func (c *testClient) answer(seq uint64, tokens int, retryAfterMs, now float64) {
	c.Helper()
	c.record(c.HandleAnswer(&controlmsg.QuotaAnswer{Incarnation: 7, Seq: seq,
		Tenants: []controlmsg.QuotaTokens{{Tenant: "t", Tokens: tokens, RetryAfterMs: retryAfterMs}}}, now))
}

// expectVerdicts checks the verdicts on the operations from the first one on; Waiting means that there is none yet.
func (c *testClient) expectVerdicts(verdicts ...Verdict) {
	c.Helper()
	for i, want := range verdicts {
		got := Waiting
		if o, decided := c.results[i+1]; decided {
			got = o.Verdict
		}
		if got != want {
			c.Errorf("operation %d: %d, want %d", i+1, got, want)
		}
	}
}

// The tokens of an answer go to the oldest operations, whichever request asked for them. Operations without a token are
// requested again when the answer says that one is due, or refused if that is too late.
func TestAnswersServeTheOldestOperations(t *testing.T) {
	c := newTestClient(t)
	c.enqueue(0, 600)
	first := c.requestedOperations(0)
	c.enqueue(1, 600)
	c.enqueue(2, 600)
	if early, second := c.requestedOperations(2), c.requestedOperations(5); first != 1 || early != 0 || second != 2 {
		t.Errorf("asked for %d, %d, %d", first, early, second)
	}
	c.answer(2, 1, 100, 10) // overtakes the first answer; operation 2 moves to request 1
	c.expectVerdicts(Admitted, Waiting, Waiting)
	if early, again := c.requestedOperations(109), c.requestedOperations(110); early != 0 || again != 1 {
		t.Errorf("asked again for %d, %d", early, again)
	}
	c.answer(1, 1, 0, 111)
	c.answer(1, 1, 0, 112) // duplicate
	c.expectVerdicts(Admitted, Admitted, Waiting)
	c.answer(3, 0, 251, 120)
	if c.expectVerdicts(Admitted, Admitted, Refused); c.results[3].RetryAfterMs != 251 {
		t.Error(c.results[3])
	}
	if c.enqueue(120, 800) != Refused || c.enqueue(122, 800) != Waiting {
		t.Error("the operation that arrived while the next token was not due soon is not refused, or the later one is")
	}
}

// Each answer without a token halves the queue of its tenant.
func TestQueueShrinksWhileAnswersHaveNoTokens(t *testing.T) {
	c := newTestClient(t)
	c.enqueue(0, 600)
	for seq, want := range []int{8 / 2, 8 / 4, 1, 1} { // number of waiting operations, including the first
		now := float64(100 * seq)
		c.requestedOperations(now)
		c.answer(uint64(seq+1), 0, 10, now)
		for c.enqueue(now+1, now+50) == Waiting {
		}
		if n := c.Waiting("t"); n != want {
			t.Errorf("after %d answers without a token %d operations wait, want %d", seq+1, n, want)
		}
		c.record(c.Expire(now + 50))
	}
}

// A token is requested again when an answer is lost. Late answers and those to another process are ignored.
func TestLostAndLateAnswers(t *testing.T) {
	c := newTestClient(t)
	c.enqueue(0, 600)
	if first, early, again := c.requestedOperations(0), c.requestedOperations(249),
		c.requestedOperations(250); first != 1 || early != 0 || again != 1 {
		t.Errorf("asked for %d, %d, %d", first, early, again)
	}
	c.answer(1, 1, 0, lifetime+1)
	c.record(c.HandleAnswer(&controlmsg.QuotaAnswer{Incarnation: 6, Seq: 2,
		Tenants: []controlmsg.QuotaTokens{{Tenant: "t", Tokens: 1}}}, lifetime+1))
	c.expectVerdicts(Waiting)
	if stats := c.Stats(); stats.UnansweredRequests != 1 || stats.LateAnswers != 1 || c.WakeAt(true) != lifetime ||
		c.WakeAt(false) != 600 {
		t.Errorf("%+v, wake at %v and %v", stats, c.WakeAt(true), c.WakeAt(false))
	}
	c.record(c.Expire(600))
	c.expectVerdicts(Refused)
	c.answer(2, 1, 0, 700) // its operation was refused; the token is kept
	c.enqueue(250+lifetime, 1300)
	c.enqueue(250+lifetime, 1300)
	c.expectVerdicts(Refused, Admitted, Waiting)
	c.record(c.SetTenants(map[string]bool{"t": false}, 800))
	c.expectVerdicts(Refused, Admitted, Admitted)
}

func TestSurplusTokensExpire(t *testing.T) {
	c := newTestClient(t)
	c.enqueue(0, 100)
	c.requestedOperations(0)
	c.record(c.Expire(100))
	c.answer(1, 1, 0, 110)
	if c.enqueue(lifetime+1, 1000) != Waiting {
		t.Error("a token is used after its lifetime")
	}
}

// delivery is an answer in the network, with the time at which its request was sent.
type delivery struct {
	answer *controlmsg.QuotaAnswer
	sentAt float64
}

// network carries answers with random numbers of tokens; it loses, delays and duplicates some.
type network struct {
	*rand.Rand
	lossRate, grantRate float64
	inFlight            map[float64][]delivery // by arrival time
	delivered           map[uint64]bool        // seqs of answers that have arrived
	usableTokens        []float64              // expiry times of tokens that have arrived and were not used
}

func (n *network) send(r *controlmsg.QuotaRequest, now float64) {
	tokens := controlmsg.QuotaTokens{Tenant: "t", RetryAfterMs: float64(n.IntN(400))}
	if n.Float64() < n.grantRate {
		tokens.Tokens = 1 + n.IntN(r.Tenants[0].Operations)
	}
	d := delivery{&controlmsg.QuotaAnswer{Incarnation: 7, Seq: r.Seq, Tenants: []controlmsg.QuotaTokens{tokens}}, now}
	for n.Float64() >= n.lossRate {
		at := now + float64(1+n.IntN(30)+n.IntN(600)*n.IntN(10)/9)
		if n.inFlight[at] = append(n.inFlight[at], d); n.IntN(10) > 0 {
			return
		}
	}
}

// deliver delivers the answers that are due. Only the first copy of an answer brings its tokens.
func (n *network) deliver(c *testClient, now float64) {
	for _, d := range n.inFlight[now] {
		for range d.answer.Tenants[0].Tokens {
			if !n.delivered[d.answer.Seq] {
				n.usableTokens = append(n.usableTokens, d.sentAt+lifetime)
			}
		}
		n.delivered[d.answer.Seq] = true
		c.record(c.HandleAnswer(d.answer, now))
	}
}

// consume takes a token for each admitted operation: the valid one that expires first.
func (n *network) consume(c *testClient, admitted int, now float64) {
	slices.Sort(n.usableTokens)
	n.usableTokens = slices.DeleteFunc(n.usableTokens, func(expiresAt float64) bool { return expiresAt < now })
	if admitted > len(n.usableTokens) {
		c.Fatalf("at %.0f: %d operations are admitted with %d valid tokens", now, admitted, len(n.usableTokens))
	}
	n.usableTokens = n.usableTokens[admitted:]
}

// simulate runs three seconds of arrivals, and one more for the operations that still wait then. It returns how long
// each operation may wait.
func (c *testClient) simulate(n *network, load float64) map[int]float64 {
	maxWait, admittedBefore, sentAt := map[int]float64{}, 0, -minRequestIntervalMs
	for now := 0.0; now < 4000; now++ {
		for now < 3000 && n.Float64() < load {
			wait := float64(n.IntN(600))
			c.enqueue(now, now+wait)
			maxWait[c.arrivals] = wait
		}
		n.deliver(c, now)
		if now >= c.WakeAt(true) && n.IntN(8) > 0 { // otherwise the timer is late
			c.record(c.Expire(now))
			if r := c.NextRequest(now); r != nil {
				if operations := r.Tenants[0].Operations; now < sentAt+minRequestIntervalMs || operations > c.Waiting("t") {
					c.Fatalf("%.0f ms after the previous request, %d operations are requested", now-sentAt, operations)
				}
				n.send(r, now)
				sentAt = now
			}
		}
		n.consume(c, c.admitted-admittedBefore, now)
		admittedBefore = c.admitted
		if c.Waiting("t") > maxWaiting || len(c.tenants["t"].surplus) > maxSurplusTokens || len(c.requests) > 101 {
			c.Fatal("a bound is exceeded")
		}
	}
	return maxWait
}

// In random histories with lost, late and duplicate answers, each operation has exactly one outcome, in time, and is
// admitted only with a valid token of its own.
func TestPropertiesOfAdmission(t *testing.T) {
	total := 0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 5))
		c := newTestClient(t)
		maxWait := c.simulate(&network{rng, rng.Float64() * 0.4, rng.Float64(), map[float64][]delivery{},
			map[uint64]bool{}, nil}, rng.Float64())
		if total += c.admitted; len(c.results) != c.arrivals {
			t.Errorf("seed %d: %d of %d operations have an outcome", seed, len(c.results), c.arrivals)
		}
		for i, o := range c.results {
			if o.Verdict == Admitted && o.WaitedMs > 0 && o.WaitedMs >= maxWait[i] || o.WaitedMs > maxWait[i]+20 {
				t.Errorf("seed %d: operation %d waited %.0f ms, may wait %.0f", seed, i, o.WaitedMs, maxWait[i])
			}
		}
	}
	if total < 20000 {
		t.Errorf("only %d operations were admitted in all", total)
	}
}
