// Package limits limits retries: a [Backoff] with full jitter between the attempts of one client, and a [RetryBudget]
// that many clients share. It does no I/O and reads no clock. The limits are exported fields that the caller sets
// before the first use; all times are milliseconds.
//
// # Invariants
//
//   - Clients with different random generators spread out: a pause is uniformly random from 0 up to its limit, so
//     clients that fail at the same time don't retry at the same time.
//   - A budget never allows more than Burst attempts at once, nor more than Rate per second in the long run, however
//     many are requested. A clock that goes backwards adds no tokens.
package limits
