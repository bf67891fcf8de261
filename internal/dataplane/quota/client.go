package quota

import (
	"maps"
	"math"
	"slices"

	"weirwind/internal/controlplane/controlmsg"
)

// Times in milliseconds.
const (
	requestIntervalMs = 5.0   // between two requests
	answerTimeoutMs   = 250.0 // after which what a request asked for is asked for again
	maxTokenDueMs     = 250.0 // an operation waits for a token that is due within it
	maxHoldOffMs      = 250.0 // after an answer without a token the tenant's operations are asked for again
	unknownRetryMs    = 500.0 // after which a client comes back where no answer said when
	minRetryAfterMs   = 50.0
	maxRetryAfterMs   = 5000.0
)

// Bounds of what is kept of a tenant.
const (
	maxWaiting        = 100 // operations
	maxWaitingHeldOff = 8   // beyond which none is added while the newest answer had too few tokens
	maxSpareTokens    = 100
)

// Verdict is what becomes of an operation.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota
	Refused
	Waiting // an Outcome tells later
)

// Outcome is what became of an operation that waited.
type Outcome[O any] struct {
	Operation O
	Verdict   Verdict // Admitted or Refused
	// RetryAfterMs is after which the client of one that was refused may come back.
	RetryAfterMs float64
	WaitedMs     float64
}

// Stats are counts since the client was created.
type Stats struct {
	Operations         uint64 // that tenants with a limit asked for
	Requests           uint64 // sent
	UnansweredRequests uint64 // requests without an answer within the lifetime of its tokens
	LateAnswers        uint64 // answers that came behind it
}

// Client asks for tokens for operations of type O. Its state is bounded by the tenants that have a limit.
type Client[O any] struct {
	incarnation uint64
	tenants     map[string]*tenant[O] // those that have a limit
	limited     map[string]bool       // all tenants: whether they have a limit
	busy        map[string]*tenant[O] // those of tenants whose operations wait
	seq         uint64                // of the newest request
	sentAt      float64               // when it was sent
	requests    []request             // that may still be answered, by rising seq
	figures     Stats
}

// request is one that was sent.
type request struct {
	seq    uint64
	sentAt float64
	asked  map[string]int // tokens, by tenant
}

// expiresAt is when its tokens may no longer be used.
func (r *request) expiresAt() float64 { return r.sentAt + controlmsg.QuotaTokenLifetimeMs }

// New returns a client without tenants. The incarnation is that of the process: answers to another one are ignored.
func New[O any](incarnation uint64) *Client[O] {
	return &Client[O]{incarnation: incarnation, tenants: map[string]*tenant[O]{}, busy: map[string]*tenant[O]{},
		sentAt: math.Inf(-1)}
}

// SetTenants replaces the tenants, by name: whether each has a limit. Waiting operations of one that has none any more
// are admitted, and those of one that there is no more are refused.
func (c *Client[O]) SetTenants(limited map[string]bool, now float64) (outcomes []Outcome[O]) {
	former := c.tenants
	c.limited, c.tenants = limited, make(map[string]*tenant[O], len(limited))
	for name, hasLimit := range limited {
		if !hasLimit {
			continue
		}
		if t := former[name]; t != nil {
			c.tenants[name] = t
		} else {
			c.tenants[name] = &tenant[O]{}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.busy)) {
		if c.tenants[name] != nil {
			continue
		}
		_, exists := limited[name]
		for _, w := range c.busy[name].waiting {
			if exists {
				outcomes = append(outcomes, w.admitted(now))
			} else {
				outcomes = append(outcomes, w.refused(unknownRetryMs, now))
			}
		}
		delete(c.busy, name)
	}
	return outcomes
}

// Enqueue decides on an operation that has come. One that waits does so until some time at most. A refusal says after
// how many milliseconds to come back.
func (c *Client[O]) Enqueue(name string, operation O, until, now float64) (verdict Verdict, retryAfterMs float64) {
	t := c.tenants[name]
	if t == nil {
		if _, exists := c.limited[name]; !exists {
			return Refused, unknownRetryMs
		}
		return Admitted, 0
	}
	c.figures.Operations++
	if len(t.waiting) == 0 && t.takeSpare(now) {
		return Admitted, 0
	}
	if !t.mayWait(until, now) {
		return Refused, t.retryAfter(now)
	}
	t.waiting = append(t.waiting, waiter[O]{operation: operation, since: now, until: until, askAt: max(now, t.askAt)})
	c.busy[name] = t
	return Waiting, 0
}

// Expire refuses the operations that have waited for too long.
func (c *Client[O]) Expire(now float64) (outcomes []Outcome[O]) {
	for _, name := range slices.Sorted(maps.Keys(c.busy)) {
		outcomes = append(outcomes, c.busy[name].expire(now)...)
		c.dropIdle(name)
	}
	return outcomes
}

// NextRequest gives the request that is due, for the caller to send now; nil: none.
func (c *Client[O]) NextRequest(now float64) *controlmsg.QuotaRequest {
	if now < c.sentAt+requestIntervalMs {
		return nil
	}
	c.dropExpiredRequests(now)
	sent := request{seq: c.seq + 1, sentAt: now, asked: map[string]int{}}
	message := &controlmsg.QuotaRequest{Incarnation: c.incarnation, Seq: sent.seq}
	for _, name := range slices.Sorted(maps.Keys(c.busy)) {
		if n := c.busy[name].ask(sent.seq, now); n > 0 {
			sent.asked[name] = n
			message.Tenants = append(message.Tenants, controlmsg.QuotaCount{Tenant: name, Operations: n})
		}
	}
	if len(message.Tenants) == 0 {
		return nil
	}
	c.seq, c.sentAt = sent.seq, now
	c.requests = append(c.requests, sent)
	c.figures.Requests++
	return message
}

// HandleAnswer processes an answer. Each request's first one counts, while its tokens may be used.
func (c *Client[O]) HandleAnswer(answer *controlmsg.QuotaAnswer, now float64) []Outcome[O] {
	if answer.Incarnation != c.incarnation {
		return nil
	}
	c.dropExpiredRequests(now)
	i := slices.IndexFunc(c.requests, func(r request) bool { return r.seq == answer.Seq })
	if i < 0 {
		c.figures.LateAnswers++
		return nil
	}
	answered := c.requests[i]
	c.requests = slices.Delete(c.requests, i, i+1)
	outcomes := c.Expire(now)
	for _, tokens := range answer.Tenants {
		asked, t := answered.asked[tokens.Tenant], c.tenants[tokens.Tenant]
		if asked == 0 || t == nil {
			continue
		}
		delete(answered.asked, tokens.Tenant)
		outcomes = append(outcomes, t.answer(&answered, asked, tokens, now)...)
		c.dropIdle(tokens.Tenant)
	}
	return outcomes
}

// WakeAt is when to call Expire and NextRequest, +Inf for never. linked: requests can be sent now.
func (c *Client[O]) WakeAt(linked bool) float64 {
	at := math.Inf(1)
	for _, t := range c.busy {
		for _, w := range t.waiting {
			at = min(at, w.until)
			if linked {
				at = min(at, max(w.askAt, c.sentAt+requestIntervalMs))
			}
		}
	}
	return at
}

// Waiting is how many of a tenant's operations wait.
func (c *Client[O]) Waiting(name string) int {
	if t := c.busy[name]; t != nil {
		return len(t.waiting)
	}
	return 0
}

// TotalWaiting is how many operations wait.
func (c *Client[O]) TotalWaiting() (n int) {
	for _, t := range c.busy {
		n += len(t.waiting)
	}
	return n
}

// Stats returns the counts so far.
func (c *Client[O]) Stats() Stats { return c.figures }

// dropExpiredRequests forgets the requests whose tokens may no longer be used.
func (c *Client[O]) dropExpiredRequests(now float64) {
	n := 0
	for n < len(c.requests) && now > c.requests[n].expiresAt() {
		n++
	}
	c.requests = slices.Delete(c.requests, 0, n)
	c.figures.UnansweredRequests += uint64(n)
}

// dropIdle forgets that a tenant's operations wait, if none does.
func (c *Client[O]) dropIdle(name string) {
	if t := c.busy[name]; t != nil && len(t.waiting) == 0 {
		delete(c.busy, name)
	}
}
