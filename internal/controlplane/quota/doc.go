// Package quota shares tenants' quotas out among proxies: it is the book of the core machine that leads.
//
// Each tenant has a token bucket over all drivers, of a rate and a depth (package quotalimit). A proxy holds a share of
// it, from 0 to 1, under a lease, and admits operations by a bucket of that share of the rate and of the depth. As long
// as the shares that proxies may hold sum to at most 1, no window has more operations than the whole bucket allows.
//
// The Allocator answers each report of a proxy with all shares that the proxy holds from then on. Its rule is that the
// bounds of what the proxies may hold sum to at most 1, and it rests on what proxies do:
//
//   - A proxy applies only the grant that answers its newest report, and once. So what it holds is what the report
//     says, and then that or what was granted, until the next report.
//   - The lease counts from the sending of the report that a grant answers. A proxy whose lease has ended holds
//     nothing, and applies no answer to a report that it sent before.
//
// So a bound is the larger of what was reported and what was granted, and ends some time after the lease. A leader that
// has just begun doesn't know what its predecessor granted, and that one may go on granting for as long as its contact
// with a quorum lasts: until all those leases have ended, what is not reported counts as held. Meanwhile it confirms
// what proxies report, and gives nothing more.
//
// The part that nobody holds has a bucket of its own, out of which a proxy whose share is raised gets its tokens: the
// tokens of a tenant that exist anywhere are never more than its bucket is deep.
//
// Nothing here does I/O or reads a clock: times are in milliseconds and are passed in.
package quota
