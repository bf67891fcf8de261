// Package limiter gives out tokens for tenants' operations at one holder of shares: a core machine, or a stand-by
// agent. An operation is a single statement or a whole transaction.
//
// A tenant's limit holds over all proxies together. The leader of the core divides it: each holder has a share, 0 to 1,
// of the tenant's rate and burst, and the shares of all holders sum to at most 1. A holder gives out tokens by a bucket
// of its share, without asking anybody.
//
// Shares are held under a lease. The holder sends a report of the shares that it has and of what proxies ask it for
// (NextReport), and the leader answers it with the shares that it has from then on (Apply). Two rules keep the leader's
// book an upper bound of what holders have, whatever is lost or late between them:
//
//   - Only the grant that answers the newest report is applied, once. When the leader has a report, no older grant can
//     change any more what it says.
//   - The lease runs from when the report was sent, which is before the leader received it. A holder without answers
//     has no shares after the lease, and gives out nothing for limited tenants.
//
// # Small shares
//
// Where a share of the burst is below one operation, a bucket of that depth would never hold a token. It holds one all
// the same, and is filled more slowly, so that in each window of the rule it admits no more than its share of what is
// allowed in the window. While such shares move between holders, each may have admitted a part of one operation more
// than its share, which is left to the margin of the limit (package quotalimit).
//
// The package does no I/O and reads no clock: times are milliseconds of the caller's.
package limiter
