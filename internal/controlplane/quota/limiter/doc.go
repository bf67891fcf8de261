// Package limiter hands out tokens for tenants' operations at one holder of shares: a core machine or a stand-by agent.
// An operation is a single statement or a whole transaction.
//
// A tenant's limit holds over all proxies together. The leader of the core divides it: each holder has a share, from 0
// to 1, of the tenant's rate and burst, and the shares of all holders sum to at most 1. A holder hands out tokens from
// a bucket with its share, without asking any other machine.
//
// Shares are held under a lease. The holder reports the shares that it has and the demand of the proxies (NextReport),
// and the leader answers with the shares that the holder has from then on (Apply). Two rules keep the leader's records
// an upper bound of what holders have, whichever messages between them are lost or delayed:
//
//   - Only the grant that answers the newest report is applied, and only once. So when the leader has received a
//     report, no older grant can change any more what the report states.
//   - The lease starts when the report is sent, which is before the leader receives it. A holder that gets no answers
//     has no shares after the lease, and hands out nothing for limited tenants.
//
// # Small shares
//
// Where a share of the burst is below one operation, a bucket of that depth would never hold a token. Its depth is then
// one token and its rate is reduced, so that in each window of the limit's rule it admits no more than its share of
// what is allowed in the window. While such shares move between holders, each holder may have admitted a fraction of
// one operation more than its share. The margin of the limit (package quotalimit) covers that.
//
// The package does no I/O and reads no clock: times are in milliseconds on the caller's clock.
package limiter
