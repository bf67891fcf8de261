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
// invariant is that, for each tenant, the upper bounds of what holders may have sum to at most 1. The invariant relies
// on the behavior of holders:
//
//   - A holder applies only the grant that answers its newest report, and applies it once. So it has what the report
//     states, and afterwards either that or what was granted, until its next report.
//   - The lease starts when the report that the grant answers is sent. A holder whose lease has expired has no shares,
//     and applies no answer to a report that it sent before the expiry.
//
// So the bound of a holder is the larger of what it reported and what it was granted, and ends some time after the
// lease. A new leader doesn't know what its predecessor granted, and the predecessor may keep granting for as long as
// its contact with a quorum lasts. Until that has ended, the leader only confirms what is reported; later grants carry
// its term. A report may be old when it arrives, but a report that carries the leader's term was sent after such a
// grant, and no earlier leader changes what it states. What has not been reported in this way is counted as held: at
// first all of each tenant's quota, then less by what holders report. This ends when all leases from earlier terms have
// expired, or when every machine that may hold a share has reported: the voters, and former voters that voted within
// the duration of a lease.
//
// The part that no holder has fills a bucket of its own. A holder whose share is raised gets its initial tokens from
// that bucket, so the tokens of a tenant that exist anywhere never exceed the depth of its bucket.
//
// The package does no I/O and reads no clock: times are in milliseconds and are passed in.
package quota
