// Package quota divides tenants' quotas among the core machines (the machines of the control plane's Raft group). Its
// Allocator runs at the Raft leader.
//
// Each tenant has one token bucket over all drivers, with a rate and a depth. Its operations arrive at all proxies, too
// few at each for a bucket per proxy, so a proxy asks its core machine for a token for each operation. The core machine
// holds a share of each bucket, from 0 to 1, under a lease, and hands out tokens from a local bucket with that share of
// the rate and of the depth (package limiter). In this role it is called a holder. As long as the shares that holders
// may have sum to at most 1, no window has more operations than the whole bucket allows. While the core has no leader,
// holders keep serving from their leased shares.
//
// The Allocator answers each report of a holder with the complete set of shares that the holder has from then on. Its
// invariant is that, for each tenant, the upper bounds of the holders' shares sum to at most 1. The invariant relies
// on the behavior of holders:
//
//   - A holder applies only the grant that answers its newest report, and applies it once. So until its
//     next report it has either the shares that the report states or those that were granted in answer.
//   - The lease starts when the report that the grant answers is sent. A holder whose lease has expired has no shares,
//     and applies no answer to a report that it sent before the expiry.
//
// So the bound of a holder's share is the larger of the reported and the granted one, and lasts somewhat longer than
// the lease. A new leader doesn't know what its predecessor granted, and the predecessor may keep granting for as long
// as its contact with a quorum lasts. Until that has ended, the leader only confirms reported shares; later grants
// carry its term. A report may be old when it arrives, but a report that carries the leader's term was sent after such
// a grant, so no earlier leader can change the shares that it states any more. Shares that have not been reported in
// this way are assumed to be held: at first all of each tenant's quota, then less with each report. This ends when all
// leases from earlier terms have expired, or when every machine that may hold a share has reported: the voters, and
// former voters that voted within the duration of a lease.
//
// The free part, which no holder has, has a bucket of its own. A holder whose share is raised gets its initial tokens
// from that bucket, so the tokens of a tenant that exist anywhere never exceed the depth of its bucket.
//
// The package does no I/O and reads no clock: times are in milliseconds and are passed in.
package quota
