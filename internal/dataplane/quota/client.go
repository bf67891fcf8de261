package quota

import (
	"maps"
	"math"
	"slices"

	"weirwind/internal/controlplane/controlmsg"
)

// Times in milliseconds.
const (
	minRequestIntervalMs = 5.0   // between two requests
	answerTimeoutMs      = 250.0 // until tokens of an unanswered request are requested again
	maxTokenWaitMs       = 250.0 // an operation waits for a token that is due within this time
	maxBackoffMs         = 250.0 // longest pause of a tenant's requests after an answer with too few tokens
	defaultRetryMs       = 500.0 // retry delay of a client if no answer stated one
	minRetryAfterMs      = 50.0
	maxRetryAfterMs      = 5000.0
)

// Bounds on the state of a tenant.
const (
	maxWaiting          = 100 // operations of one tenant
	maxWaitingInBackoff = 8   // no operation is added beyond this while the newest answer had too few tokens
	maxSurplusTokens    = 100
)

// Verdict is the decision on an operation.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota
	Refused
	Waiting // a later Outcome has the decision
)

// Outcome is the decision on an operation that waited.
type Outcome[O any] struct {
	Operation O
	Verdict   Verdict // Admitted or Refused
	// RetryAfterMs is the time after which the client of a refused operation may retry.
	RetryAfterMs float64
	WaitedMs     float64
}

// Stats are counts since the client was created.
type Stats struct {
	Operations         uint64 // of tenants with a limit
	Requests           uint64 // sent
	UnansweredRequests uint64 // requests without an answer within the lifetime of their tokens
	LateAnswers        uint64 // answers after that lifetime, and duplicates
}

// Client requests tokens for operations of type O. The size of its state is bounded by the number of tenants that have
// a limit.
type Client[O any] struct {
	incarnation    uint64
	tenants        map[string]*tenant[O] // those that have a limit
	limited        map[string]bool       // all tenants: whether they have a limit
	waitingTenants map[string]*tenant[O] // tenants with waiting operations
	seq            uint64                // of the newest request
	sentAt         float64               // of the newest request
	requests       []request             // may still be answered; in ascending order of seq
	stats          Stats
}

// request is a request that was sent.
type request struct {
	seq       uint64
	sentAt    float64
	requested map[string]int // tokens, by tenant
}

// expiresAt returns when the request's tokens expire.
func (r *request) expiresAt() float64 { return r.sentAt + controlmsg.QuotaTokenLifetimeMs }

// New returns a client without tenants. The incarnation identifies the process: answers to another one are ignored.
func New[O any](incarnation uint64) *Client[O] {
	return &Client[O]{incarnation: incarnation, tenants: map[string]*tenant[O]{}, waitingTenants: map[string]*tenant[O]{},
		sentAt: math.Inf(-1)}
}

// SetTenants replaces the tenants. limited has for each tenant's name whether it has a limit. Waiting operations of a
// tenant that no longer has a limit are admitted, and those of a deleted tenant are refused.
func (c *Client[O]) SetTenants(limited map[string]bool, now float64) (outcomes []Outcome[O]) {
	previous := c.tenants
	c.limited, c.tenants = limited, make(map[string]*tenant[O], len(limited))
	for name, hasLimit := range limited {
		if !hasLimit {
			continue
		}
		if t := previous[name]; t != nil {
			c.tenants[name] = t
		} else {
			c.tenants[name] = &tenant[O]{}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.waitingTenants)) {
		if c.tenants[name] != nil {
			continue
		}
		_, exists := limited[name]
		for _, w := range c.waitingTenants[name].waiting {
			if exists {
				outcomes = append(outcomes, w.admitted(now))
			} else {
				outcomes = append(outcomes, w.refused(defaultRetryMs, now))
			}
		}
		delete(c.waitingTenants, name)
	}
	return outcomes
}

// Enqueue decides on a new operation. A waiting operation is decided on by its deadline. For a refused operation it
// also returns the time after which to retry.
func (c *Client[O]) Enqueue(name string, operation O, deadline, now float64) (verdict Verdict, retryAfterMs float64) {
	t := c.tenants[name]
	if t == nil {
		if _, exists := c.limited[name]; !exists {
			return Refused, defaultRetryMs
		}
		return Admitted, 0
	}
	c.stats.Operations++
	if len(t.waiting) == 0 && t.takeSurplusToken(now) {
		return Admitted, 0
	}
	if !t.mayWait(deadline, now) {
		return Refused, t.retryAfter(now)
	}
	t.waiting = append(t.waiting, waiter[O]{operation: operation, enqueuedAt: now, deadline: deadline,
		requestAt: max(now, t.nextRequestAt)})
	c.waitingTenants[name] = t
	return Waiting, 0
}

// Expire refuses the operations whose deadline has passed.
func (c *Client[O]) Expire(now float64) (outcomes []Outcome[O]) {
	for _, name := range slices.Sorted(maps.Keys(c.waitingTenants)) {
		outcomes = append(outcomes, c.waitingTenants[name].expire(now)...)
		c.dropIfIdle(name)
	}
	return outcomes
}

// NextRequest returns the request that is due, or nil. The caller must send it at once.
func (c *Client[O]) NextRequest(now float64) *controlmsg.QuotaRequest {
	if now < c.sentAt+minRequestIntervalMs {
		return nil
	}
	c.dropExpiredRequests(now)
	sent := request{seq: c.seq + 1, sentAt: now, requested: map[string]int{}}
	message := &controlmsg.QuotaRequest{Incarnation: c.incarnation, Seq: sent.seq}
	for _, name := range slices.Sorted(maps.Keys(c.waitingTenants)) {
		if n := c.waitingTenants[name].assignRequest(sent.seq, now); n > 0 {
			sent.requested[name] = n
			message.Tenants = append(message.Tenants, controlmsg.QuotaTokenRequest{Tenant: name, Operations: n})
		}
	}
	if len(message.Tenants) == 0 {
		return nil
	}
	c.seq, c.sentAt = sent.seq, now
	c.requests = append(c.requests, sent)
	c.stats.Requests++
	return message
}

// HandleAnswer processes an answer. Only the first answer to each request counts, and only while its tokens are valid.
func (c *Client[O]) HandleAnswer(answer *controlmsg.QuotaAnswer, now float64) []Outcome[O] {
	if answer.Incarnation != c.incarnation {
		return nil
	}
	c.dropExpiredRequests(now)
	i := slices.IndexFunc(c.requests, func(r request) bool { return r.seq == answer.Seq })
	if i < 0 {
		c.stats.LateAnswers++
		return nil
	}
	answered := c.requests[i]
	c.requests = slices.Delete(c.requests, i, i+1)
	outcomes := c.Expire(now)
	for _, tokens := range answer.Tenants {
		requested, t := answered.requested[tokens.Tenant], c.tenants[tokens.Tenant]
		if requested == 0 || t == nil {
			continue
		}
		delete(answered.requested, tokens.Tenant)
		outcomes = append(outcomes, t.handleAnswer(&answered, requested, tokens, now)...)
		c.dropIfIdle(tokens.Tenant)
	}
	return outcomes
}

// WakeAt returns when to call Expire and NextRequest, +Inf for never. connected means that requests can be sent now.
func (c *Client[O]) WakeAt(connected bool) float64 {
	at := math.Inf(1)
	for _, t := range c.waitingTenants {
		for _, w := range t.waiting {
			at = min(at, w.deadline)
			if connected {
				at = min(at, max(w.requestAt, c.sentAt+minRequestIntervalMs))
			}
		}
	}
	return at
}

// Waiting returns the number of a tenant's waiting operations.
func (c *Client[O]) Waiting(name string) int {
	if t := c.waitingTenants[name]; t != nil {
		return len(t.waiting)
	}
	return 0
}

// TotalWaiting returns the number of waiting operations.
func (c *Client[O]) TotalWaiting() (n int) {
	for _, t := range c.waitingTenants {
		n += len(t.waiting)
	}
	return n
}

// Stats returns the counts so far.
func (c *Client[O]) Stats() Stats { return c.stats }

// dropExpiredRequests deletes the requests whose tokens have expired.
func (c *Client[O]) dropExpiredRequests(now float64) {
	n := 0
	for n < len(c.requests) && now > c.requests[n].expiresAt() {
		n++
	}
	c.requests = slices.Delete(c.requests, 0, n)
	c.stats.UnansweredRequests += uint64(n)
}

// dropIfIdle removes a tenant from waitingTenants if none of its operations waits.
func (c *Client[O]) dropIfIdle(name string) {
	if t := c.waitingTenants[name]; t != nil && len(t.waiting) == 0 {
		delete(c.waitingTenants, name)
	}
}
