package quota

import (
	"math/rand/v2"
	"slices"
	"testing"

	"weirwind/internal/controlplane/controlmsg"
)

const lifetime = controlmsg.QuotaTokenLifetimeMs

// play is a client of one limited tenant whose operations are numbered by arrival.
type play struct {
	*testing.T
	*Client[int]
	came     int
	results  map[int]Outcome[int]
	last     int // the newest operation that was admitted
	admitted int
}

func newPlay(t *testing.T) *play {
	p := &play{T: t, Client: New[int](7), results: map[int]Outcome[int]{}}
	p.SetTenants(map[string]bool{"t": true, "free": false}, 0)
	return p
}

func (p *play) come(now, until float64) Verdict {
	p.came++
	verdict, after := p.Enqueue("t", p.came, until, now)
	if verdict != Waiting {
		p.note([]Outcome[int]{{Operation: p.came, Verdict: verdict, RetryAfterMs: after}})
	}
	return verdict
}

// note takes outcomes: one for each operation, and admissions in order of arrival.
func (p *play) note(outcomes []Outcome[int]) {
	p.Helper()
	for _, o := range outcomes {
		if former, twice := p.results[o.Operation]; twice {
			p.Fatalf("operation %d: %+v after %+v", o.Operation, o, former)
		}
		p.results[o.Operation] = o
		switch {
		case o.Verdict == Admitted && o.Operation < p.last:
			p.Fatalf("operation %d is admitted after %d", o.Operation, p.last)
		case o.Verdict == Admitted:
			p.last = o.Operation
			p.admitted++
		case o.RetryAfterMs < 50 || !(o.RetryAfterMs <= 5000):
			p.Fatalf("refused with %v", o.RetryAfterMs)
		}
	}
}

// asked is how many operations the request that is due asks for, 0 for no request.
func (p *play) asked(now float64) int {
	if r := p.NextRequest(now); r != nil {
		return r.Tenants[0].Operations
	}
	return 0
}

func (p *play) answer(seq uint64, tokens int, afterMs, now float64) {
	p.Helper()
	p.note(p.HandleAnswer(&controlmsg.QuotaAnswer{Incarnation: 7, Seq: seq,
		Tenants: []controlmsg.QuotaTokens{{Tenant: "t", Tokens: tokens, RetryAfterMs: afterMs}}}, now))
}

// expect checks the verdicts on the operations from the first on; Waiting: none yet.
func (p *play) expect(verdicts ...Verdict) {
	p.Helper()
	for i, want := range verdicts {
		got := Waiting
		if o, decided := p.results[i+1]; decided {
			got = o.Verdict
		}
		if got != want {
			p.Errorf("operation %d: %d, want %d", i+1, got, want)
		}
	}
}

func TestAnswersGoToTheOldestAndTheOthersAskAgain(t *testing.T) {
	p := newPlay(t)
	p.come(0, 600)
	first := p.asked(0)
	p.come(1, 600)
	p.come(2, 600)
	if early, second := p.asked(2), p.asked(5); first != 1 || early != 0 || second != 2 {
		t.Errorf("asked for %d, %d, %d", first, early, second)
	}
	p.answer(2, 1, 100, 10) // overtakes the first, whose place an operation of the second takes
	p.expect(Admitted, Waiting, Waiting)
	if early, again := p.asked(109), p.asked(110); early != 0 || again != 1 {
		t.Errorf("asked again for %d, %d", early, again)
	}
	p.answer(1, 1, 0, 111)
	p.answer(1, 1, 0, 112) // once more
	p.expect(Admitted, Admitted, Waiting)
	p.answer(3, 0, 251, 120)
	if p.expect(Admitted, Admitted, Refused); p.results[3].RetryAfterMs != 251 {
		t.Error(p.results[3])
	}
	if p.come(120, 800) != Refused || p.come(122, 800) != Waiting {
		t.Error("of two, the one is not refused that came while the next token was far")
	}
}

func TestQueueOfAStarvedTenantIsShort(t *testing.T) {
	p := newPlay(t)
	p.come(0, 600)
	for seq, want := range []int{8 / 2, 8 / 4, 1, 1} { // operations that wait, the first among them
		now := float64(100 * seq)
		p.asked(now)
		p.answer(uint64(seq+1), 0, 10, now)
		for p.come(now+1, now+50) == Waiting {
		}
		if n := p.Waiting("t"); n != want {
			t.Errorf("after %d answers without a token %d wait, want %d", seq+1, n, want)
		}
		p.note(p.Expire(now + 50))
	}
}

func TestLostAndLateAnswers(t *testing.T) {
	p := newPlay(t)
	p.come(0, 600)
	if first, early, again := p.asked(0), p.asked(249), p.asked(250); first != 1 || early != 0 || again != 1 {
		t.Errorf("asked for %d, %d, %d", first, early, again)
	}
	p.answer(1, 1, 0, lifetime+1)
	p.note(p.HandleAnswer(&controlmsg.QuotaAnswer{Incarnation: 6, Seq: 2,
		Tenants: []controlmsg.QuotaTokens{{Tenant: "t", Tokens: 1}}}, lifetime+1))
	p.expect(Waiting)
	if f := p.Stats(); f.UnansweredRequests != 1 || f.LateAnswers != 1 || p.WakeAt(true) != lifetime || p.WakeAt(false) != 600 {
		t.Errorf("%+v, wake at %v and %v", f, p.WakeAt(true), p.WakeAt(false))
	}
	p.note(p.Expire(600))
	p.expect(Refused)
	p.answer(2, 1, 0, 700) // for an operation that is gone
	p.come(250+lifetime, 1300)
	p.come(250+lifetime, 1300)
	p.expect(Refused, Admitted, Waiting)
	p.note(p.SetTenants(map[string]bool{"t": false}, 800))
	p.expect(Refused, Admitted, Admitted)
}

func TestSpareTokensEnd(t *testing.T) {
	p := newPlay(t)
	p.come(0, 100)
	p.asked(0)
	p.note(p.Expire(100))
	p.answer(1, 1, 0, 110)
	if p.come(lifetime+1, 1000) != Waiting {
		t.Error("a token is used after its lifetime")
	}
}

// delivery is an answer on its way, to a request that was sent at some time.
type delivery struct {
	answer *controlmsg.QuotaAnswer
	sentAt float64
}

// network carries answers: some are lost, late or come twice, and give any number of tokens.
type network struct {
	*rand.Rand
	loss, given float64
	due         map[float64][]delivery
	seen        map[uint64]bool
	usable      []float64 // when each token ends that came and wasn't used
}

func (n *network) send(r *controlmsg.QuotaRequest, now float64) {
	tokens := controlmsg.QuotaTokens{Tenant: "t", RetryAfterMs: float64(n.IntN(400))}
	if n.Float64() < n.given {
		tokens.Tokens = 1 + n.IntN(r.Tenants[0].Operations)
	}
	d := delivery{&controlmsg.QuotaAnswer{Incarnation: 7, Seq: r.Seq, Tenants: []controlmsg.QuotaTokens{tokens}}, now}
	for n.Float64() >= n.loss {
		at := now + float64(1+n.IntN(30)+n.IntN(600)*n.IntN(10)/9)
		if n.due[at] = append(n.due[at], d); n.IntN(10) > 0 {
			return
		}
	}
}

// deliver passes on what is due; the first copy of an answer brings its tokens.
func (n *network) deliver(p *play, now float64) {
	for _, d := range n.due[now] {
		for range d.answer.Tenants[0].Tokens {
			if !n.seen[d.answer.Seq] {
				n.usable = append(n.usable, d.sentAt+lifetime)
			}
		}
		n.seen[d.answer.Seq] = true
		p.note(p.HandleAnswer(d.answer, now))
	}
}

// use takes a token for each operation that was admitted: the one that ends first of those that have not ended.
func (n *network) use(p *play, admitted int, now float64) {
	slices.Sort(n.usable)
	n.usable = slices.DeleteFunc(n.usable, func(ends float64) bool { return ends < now })
	if admitted > len(n.usable) {
		p.Fatalf("at %.0f: %d are admitted by %d tokens", now, admitted, len(n.usable))
	}
	n.usable = n.usable[admitted:]
}

// run plays three seconds of arrivals, and one more for what waits then. It gives what each operation may wait.
func (p *play) run(n *network, load float64) map[int]float64 {
	patience, before, sentAt := map[int]float64{}, 0, -requestIntervalMs
	for now := 0.0; now < 4000; now++ {
		for now < 3000 && n.Float64() < load {
			wait := float64(n.IntN(600))
			p.come(now, now+wait)
			patience[p.came] = wait
		}
		n.deliver(p, now)
		if now >= p.WakeAt(true) && n.IntN(8) > 0 { // or the timer is late
			p.note(p.Expire(now))
			if r := p.NextRequest(now); r != nil {
				if asked := r.Tenants[0].Operations; now < sentAt+requestIntervalMs || asked > p.Waiting("t") {
					p.Fatalf("%.0f ms after the request before, it asks for %d", now-sentAt, asked)
				}
				n.send(r, now)
				sentAt = now
			}
		}
		n.use(p, p.admitted-before, now)
		before = p.admitted
		if p.Waiting("t") > maxWaiting || len(p.tenants["t"].spare) > maxSpareTokens || len(p.requests) > 101 {
			p.Fatal("a bound is passed")
		}
	}
	return patience
}

// Seeded histories: each operation is answered once and in time, and admitted by a token of its own that is young.
func TestPropertiesOfAdmission(t *testing.T) {
	total := 0
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 5))
		p := newPlay(t)
		patience := p.run(&network{rng, rng.Float64() * 0.4, rng.Float64(), map[float64][]delivery{},
			map[uint64]bool{}, nil}, rng.Float64())
		if total += p.admitted; len(p.results) != p.came {
			t.Errorf("seed %d: %d of %d are answered", seed, len(p.results), p.came)
		}
		for i, o := range p.results {
			if o.Verdict == Admitted && o.WaitedMs > 0 && o.WaitedMs >= patience[i] || o.WaitedMs > patience[i]+20 {
				t.Errorf("seed %d: operation %d waited %.0f ms, not %.0f", seed, i, o.WaitedMs, patience[i])
			}
		}
	}
	if total < 20000 {
		t.Errorf("only %d operations were admitted in all", total)
	}
}
