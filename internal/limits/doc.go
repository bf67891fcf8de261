// Package limits decides how often something may be attempted again: a [Backoff] with full jitter between one user's
// attempts, and a [RetryBudget] that many attempts share. It does no I/O and reads no clock. Their
// limits are exported fields that the caller sets before the first use; all times are milliseconds.
//
// # Invariants
//
//   - Users with different random generators spread out: a pause is drawn evenly from nothing up to its limit, so no
//     two of them act as one after a failure that they had together.
//   - A budget never allows more than Burst at once, nor more than Rate a second in the long run, whatever is asked of
//     it. A clock that goes back adds nothing.
package limits
