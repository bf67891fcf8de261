// Package limiter bounds the operations that one proxy lets through for each tenant. An operation is a single statement
// or a whole transaction.
//
// A tenant's limit holds over all proxies together. The leader of the core divides it: each proxy holds a share, 0 to
// 1, of the tenant's rate and burst, and the shares of all proxies sum to at most 1. A proxy admits operations by a
// token bucket of its share, without asking anybody.
//
// Shares are held under a lease. The proxy sends a report of the shares that it holds and of what its clients ask for
// (NextReport), and the leader answers it with the shares that it holds from then on (Apply). Two rules keep the
// leader's book an upper bound of what proxies hold, whatever is lost or late between them:
//
//   - Only the grant that answers the newest report is applied, once. When the leader has a report, no older grant can
//     change any more what it says.
//   - The lease runs from when the report was sent, which is before the leader received it. A proxy without answers has
//     no shares after the lease, and admits nothing of limited tenants.
//
// # Small shares
//
// Where a share of the burst is below one operation, a bucket of that depth would never hold a token. It holds one all
// the same, and is filled more slowly, so that in each window of the rule it admits no more than its share of what is
// allowed in the window. While such shares move between proxies, each may have admitted a part of one operation more
// than its share, which is left to the margin of the limit (package quotalimit).
//
// The package does no I/O and reads no clock: times are milliseconds of the caller's.
package limiter
