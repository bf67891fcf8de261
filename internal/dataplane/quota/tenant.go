package quota

import (
	"slices"

	"weirwind/internal/controlplane/controlmsg"
)

// tenant is the state of a tenant that has a limit. Times are in milliseconds.
type tenant[O any] struct {
	waiting []waiter[O] // in order of arrival
	surplus []float64   // expiry times of the tokens that no operation waits for, sorted

	// From the newest answer:
	newestAnswered uint64  // seq of its request
	tokenDueAt     float64 // when the next token is due if it had too few; else 0
	nextRequestAt  float64 // no token is requested for a new operation before this time; 0 if it had enough
	emptyAnswers   int     // successive answers without a token
}

// waiter is an operation that waits for a token.
type waiter[O any] struct {
	operation            O
	enqueuedAt, deadline float64
	requestAt            float64 // when to request its token, or to request it again
	request              uint64  // seq of the request that asks for its token; 0: none
}

func (w *waiter[O]) admitted(now float64) Outcome[O] {
	return Outcome[O]{Operation: w.operation, Verdict: Admitted, WaitedMs: now - w.enqueuedAt}
}

func (w *waiter[O]) refused(retryAfterMs, now float64) Outcome[O] {
	return Outcome[O]{Operation: w.operation, Verdict: Refused, RetryAfterMs: retryAfterMs, WaitedMs: now - w.enqueuedAt}
}

// mayWait reports whether a new operation may wait until its deadline. While no token is due soon it may not: thousands
// of operations a second of a tenant far beyond its quota must not cause requests.
func (t *tenant[O]) mayWait(deadline, now float64) bool {
	if deadline <= now {
		return false
	}
	if now >= t.nextRequestAt {
		return len(t.waiting) < maxWaiting
	}
	return len(t.waiting) < t.queueLimitInBackoff() && t.tokenDueAt-now <= maxTokenWaitMs &&
		t.tokenDueAt < deadline && t.nextRequestAt < deadline
}

// queueLimitInBackoff returns the maximum length of the queue after an answer with too few tokens. It halves with each
// successive answer without a token, down to one operation: other proxies take the available tokens then, and a longer
// queue would admit no more operations, but make each wait longer.
func (t *tenant[O]) queueLimitInBackoff() int { return max(maxWaitingInBackoff>>t.emptyAnswers, 1) }

// retryAfter returns the estimated time, in milliseconds, after which a refused client may retry.
func (t *tenant[O]) retryAfter(now float64) float64 {
	if t.tokenDueAt <= now {
		return defaultRetryMs
	}
	return clampRetryAfter(t.tokenDueAt - now)
}

func clampRetryAfter(ms float64) float64 { return min(max(ms, minRetryAfterMs), maxRetryAfterMs) }

// expire refuses the operations whose deadline has passed.
func (t *tenant[O]) expire(now float64) (outcomes []Outcome[O]) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter[O]) bool {
		if now < w.deadline {
			return false
		}
		outcomes = append(outcomes, w.refused(t.retryAfter(now), now))
		return true
	})
	return outcomes
}

// assignRequest assigns a request to the operations that are due for one, and returns their number.
func (t *tenant[O]) assignRequest(seq uint64, now float64) (n int) {
	for i := range t.waiting {
		w := &t.waiting[i]
		if w.requestAt <= now {
			w.request, w.requestAt = seq, now+answerTimeoutMs
			n++
		}
	}
	return n
}

// handleAnswer processes the tenant's part of an answer to a request for the given number of tokens.
func (t *tenant[O]) handleAnswer(r *request, requested int, tokens controlmsg.QuotaTokens, now float64) []Outcome[O] {
	granted := min(max(tokens.Tokens, 0), requested)
	outcomes := t.admit(r, granted, now)
	retryAfterMs := tokens.RetryAfterMs
	if !(retryAfterMs >= 0) { // also true for NaN
		retryAfterMs = defaultRetryMs
	}
	if r.seq > t.newestAnswered {
		t.newestAnswered = r.seq
		t.recordAnswer(granted, granted < requested, retryAfterMs, now)
	}
	return append(outcomes, t.retryOrRefuse(r.seq, retryAfterMs, now)...)
}

// admit uses tokens for the operations that have waited longest, and keeps the surplus.
func (t *tenant[O]) admit(r *request, tokens int, now float64) (outcomes []Outcome[O]) {
	n := min(tokens, len(t.waiting))
	rest := t.waiting[n:]
	for i := range n {
		w := &t.waiting[i]
		outcomes = append(outcomes, w.admitted(now))
		if w.request != r.seq {
			replaceRequest(rest, r.seq, w)
		}
	}
	t.waiting = slices.Delete(t.waiting, 0, n)
	for range min(tokens-n, maxSurplusTokens-len(t.surplus)) {
		t.surplus = append(t.surplus, r.expiresAt())
	}
	slices.Sort(t.surplus)
	return outcomes
}

// replaceRequest is called for an admitted operation that used a token of the request seq without being part of it. It
// passes the admitted operation's request on to the first waiting operation of the request seq, which lost its token.
// The passed request may be 0: the token is then requested later.
func replaceRequest[O any](waiting []waiter[O], seq uint64, admitted *waiter[O]) {
	i := slices.IndexFunc(waiting, func(w waiter[O]) bool { return w.request == seq })
	if i >= 0 {
		waiting[i].request, waiting[i].requestAt = admitted.request, admitted.requestAt
	}
}

// recordAnswer records what the newest answer states about the tenant's quota. Successive answers without a token delay
// the next request further: other proxies take the available tokens.
func (t *tenant[O]) recordAnswer(granted int, insufficient bool, retryAfterMs, now float64) {
	t.emptyAnswers++
	if granted > 0 {
		t.emptyAnswers = 0
	}
	t.tokenDueAt, t.nextRequestAt = 0, 0
	if insufficient {
		t.tokenDueAt = now + retryAfterMs
		t.nextRequestAt = now + min(max(retryAfterMs, t.backoff()), maxBackoffMs)
	}
}

// backoff returns the shortest time until the next request, in milliseconds.
func (t *tenant[O]) backoff() float64 {
	const initialMs, doublings = 10.0, 4
	return initialMs * float64(int(1)<<min(t.emptyAnswers, doublings))
}

// retryOrRefuse processes the operations of an answered request that got no token: they are requested again if a token
// is due soon, and refused otherwise.
func (t *tenant[O]) retryOrRefuse(seq uint64, retryAfterMs, now float64) (outcomes []Outcome[O]) {
	requestAt := now + max(retryAfterMs, t.backoff())
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter[O]) bool {
		if w.request != seq || retryAfterMs <= maxTokenWaitMs && requestAt < w.deadline {
			return false
		}
		outcomes = append(outcomes, w.refused(clampRetryAfter(retryAfterMs), now))
		return true
	})
	for i := range t.waiting {
		if w := &t.waiting[i]; w.request == seq {
			w.request, w.requestAt = 0, requestAt
		}
	}
	return outcomes
}

// takeSurplusToken uses a surplus token, and reports whether there was a valid one.
func (t *tenant[O]) takeSurplusToken(now float64) bool {
	usable := slices.IndexFunc(t.surplus, func(expiresAt float64) bool { return now <= expiresAt })
	if usable < 0 {
		t.surplus = nil
		return false
	}
	t.surplus = slices.Delete(t.surplus, 0, usable+1)
	return true
}
