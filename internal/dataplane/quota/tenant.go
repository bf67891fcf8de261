package quota

import (
	"slices"

	"weirwind/internal/controlplane/controlmsg"
)

// tenant is what is known of a tenant that has a limit.
type tenant[O any] struct {
	waiting []waiter[O] // in order of arrival
	spare   []float64   // when each token that nobody waits for must be used at the latest, sorted

	// By the newest answer, if it had too few tokens:
	answered uint64  // its request
	retryAt  float64 // when the next token is due, by its word
	askAt    float64 // until then nothing new is asked for
	empty    int     // how many answers without a token came since the last with one
}

// waiter is an operation that waits for a token.
type waiter[O any] struct {
	operation    O
	since, until float64 // milliseconds
	askAt        float64 // when it is to be asked for, or asked for again
	request      uint64  // the request that asks for it; 0: none
}

func (w *waiter[O]) admitted(now float64) Outcome[O] {
	return Outcome[O]{Operation: w.operation, Verdict: Admitted, WaitedMs: now - w.since}
}

func (w *waiter[O]) refused(afterMs, now float64) Outcome[O] {
	return Outcome[O]{Operation: w.operation, Verdict: Refused, RetryAfterMs: afterMs, WaitedMs: now - w.since}
}

// mayWait reports whether an operation that has come may wait until some time. While no token is due soon it may not:
// thousands a second of a tenant far beyond its quota cost no request.
func (t *tenant[O]) mayWait(until, now float64) bool {
	if until <= now {
		return false
	}
	if now >= t.askAt {
		return len(t.waiting) < maxWaiting
	}
	return len(t.waiting) < t.maxWaitingHeldOff() && t.retryAt-now <= maxTokenDueMs && t.retryAt < until && t.askAt < until
}

// maxWaitingHeldOff bounds the queue, down to one operation, the more answers in succession had no token. Other proxies
// take what there is then: a longer queue would let no more operations through, but let each wait longer.
func (t *tenant[O]) maxWaitingHeldOff() int { return max(maxWaitingHeldOff>>t.empty, 1) }

// retryAfter is after how many milliseconds a client that is refused may come back, as far as is known.
func (t *tenant[O]) retryAfter(now float64) float64 {
	if t.retryAt <= now {
		return unknownRetryMs
	}
	return boundedRetryAfter(t.retryAt - now)
}

func boundedRetryAfter(ms float64) float64 { return min(max(ms, minRetryAfterMs), maxRetryAfterMs) }

// expire refuses the operations that have waited for too long.
func (t *tenant[O]) expire(now float64) (outcomes []Outcome[O]) {
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter[O]) bool {
		if now < w.until {
			return false
		}
		outcomes = append(outcomes, w.refused(t.retryAfter(now), now))
		return true
	})
	return outcomes
}

// ask notes the operations that are due as asked for by a request, and counts them.
func (t *tenant[O]) ask(seq uint64, now float64) (n int) {
	for i := range t.waiting {
		w := &t.waiting[i]
		if w.askAt <= now {
			w.request, w.askAt = seq, now+answerTimeoutMs
			n++
		}
	}
	return n
}

// answer takes the tenant's part of an answer to a request by which so many tokens were asked for.
func (t *tenant[O]) answer(r *request, asked int, tokens controlmsg.QuotaTokens, now float64) []Outcome[O] {
	given := min(max(tokens.Tokens, 0), asked)
	outcomes := t.admit(r, given, now)
	retryAfterMs := tokens.RetryAfterMs
	if !(retryAfterMs >= 0) { // written so that it holds for NaN too
		retryAfterMs = unknownRetryMs
	}
	if r.seq > t.answered {
		t.answered = r.seq
		t.learn(given, given < asked, retryAfterMs, now)
	}
	return append(outcomes, t.settle(r.seq, retryAfterMs, now)...)
}

// admit uses tokens: for the operations that wait longest, and what is left over is kept.
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
	for range min(tokens-n, maxSpareTokens-len(t.spare)) {
		t.spare = append(t.spare, r.expiresAt())
	}
	slices.Sort(t.spare)
	return outcomes
}

// replaceRequest has the first operation of a request take the place of another that another request asks for, or that
// is to be asked for later: that one was admitted with its token.
func replaceRequest[O any](waiting []waiter[O], seq uint64, admitted *waiter[O]) {
	i := slices.IndexFunc(waiting, func(w waiter[O]) bool { return w.request == seq })
	if i >= 0 {
		waiting[i].request, waiting[i].askAt = admitted.request, admitted.askAt
	}
}

// learn notes what the newest answer says of the tenant's quota. Where one answer after the other has no token, the
// next request follows later: other proxies take what there is.
func (t *tenant[O]) learn(given int, short bool, retryAfterMs, now float64) {
	t.empty++
	if given > 0 {
		t.empty = 0
	}
	t.retryAt, t.askAt = 0, 0
	if short {
		t.retryAt = now + retryAfterMs
		t.askAt = now + min(max(retryAfterMs, t.backoff()), maxHoldOffMs)
	}
}

// backoff is the least time until the next request, in milliseconds.
func (t *tenant[O]) backoff() float64 {
	const first, doublings = 10.0, 4
	return first * float64(int(1)<<min(t.empty, doublings))
}

// settle takes the operations of an answered request that got no token: they are asked for again if one is due soon.
func (t *tenant[O]) settle(seq uint64, retryAfterMs, now float64) (outcomes []Outcome[O]) {
	askAt := now + max(retryAfterMs, t.backoff())
	t.waiting = slices.DeleteFunc(t.waiting, func(w waiter[O]) bool {
		if w.request != seq || retryAfterMs <= maxTokenDueMs && askAt < w.until {
			return false
		}
		outcomes = append(outcomes, w.refused(boundedRetryAfter(retryAfterMs), now))
		return true
	})
	for i := range t.waiting {
		if w := &t.waiting[i]; w.request == seq {
			w.request, w.askAt = 0, askAt
		}
	}
	return outcomes
}

// takeSpare uses a token that was left over, if there is one.
func (t *tenant[O]) takeSpare(now float64) bool {
	usable := slices.IndexFunc(t.spare, func(expiresAt float64) bool { return now <= expiresAt })
	if usable < 0 {
		t.spare = nil
		return false
	}
	t.spare = slices.Delete(t.spare, 0, usable+1)
	return true
}
