// Package quota shares tenants' quotas out among core machines: it is the account that the leader keeps.
//
// Each tenant has a token bucket over all drivers, of a rate and a depth. Its operations come to all proxies, too few
// to each for a bucket of its own: a proxy asks its core machine for a token for each operation. A core machine, the
// holder, has a share of each bucket, from 0 to 1, under a lease, and gives out tokens by a bucket of that share of the
// rate and of the depth (package limiter). As long as the shares that holders may have sum to at most 1, no window has
// more operations than the whole bucket allows. Holders go on by their leases while the core has no leader.
//
// The Allocator answers each report of a holder with all shares that it has from then on. Its rule is that the bounds
// of what holders may have sum to at most 1, and it rests on what holders do:
//
//   - A holder applies only the grant that answers its newest report, and once. So what it has is what the report says,
//     and then that or what was granted, until the next report.
//   - The lease counts from the sending of the report that a grant answers. A holder whose lease has ended has nothing,
//     and applies no answer to a report that it sent before.
//
// So a bound is the larger of what was reported and what was granted, and ends some time after the lease. A leader that
// has just begun doesn't know what its predecessor granted, and that one may go on granting for as long as its contact
// with a quorum lasts. Until that is over the leader only confirms what is reported; its later grants name its term. A
// report may be old by the time that it arrives, but one that names the term was sent since, and what it says is
// changed by no earlier leader. What was not reported so counts as held: of each tenant all of it at first, less what
// holders report. It ends when all leases of earlier leads have ended, or when all that may hold a share have reported:
// the voters, and whoever voted within the time of a lease (History).
//
// The part that nobody holds has a bucket of its own, out of which a holder whose share is raised gets its tokens: the
// tokens of a tenant that exist anywhere are never more than its bucket is deep.
//
// Nothing here does I/O or reads a clock: times are in milliseconds and are passed in.
package quota
