// Package writerlease decides which member proxies may send a service's writes to, and which acknowledgements of
// commits they may pass on to clients. It does no I/O and reads no clock; times are milliseconds of the caller's clock.
//
// An old primary that nobody can make step down may go on committing, with replicas that start. A client learns of a
// commit only through a proxy, so a failover relies on the proxies instead: it goes on once each proxy that could pass
// on an acknowledgement has confirmed that it does not, or has lost its lease.
//
// # Assignments and leases
//
// The leader of the control plane assigns to each service the member that may be written to, "" for none. A [Granter]
// belongs to the leader, a [Holder] to each proxy. A proxy requests a lease once a second, with a digest of the
// assignments that it knows. The leader grants it only if these are all assignments of its term; otherwise it sends
// them. So a request that matches also confirms the assignments.
//
//	state of the proxy                      writes to a member     acknowledgements of a member
//	lease, the member is assigned           are sent               are passed on
//	lease, another or none is assigned      wait                   are not passed on: the outcome is unknown
//	no lease                                are sent while         are passed on once a replica's status shows that the
//	                                        replicas receive       commit is safe, see [Confirms]
//
// A proxy without a lease, for example because the whole control plane is down, therefore goes on serving. What makes
// that safe: a failover selects its candidate by the logs of replicas that it has paused before, and relies on all but
// SyncReplicas-1 of them. A replica of the roster that has the commit and is not paused afterwards is none of those
// that were read without it.
//
// # Invariants
//
//   - A holder's lease ends before the granter counts it as over: it counts from the sending of the request on the
//     holder's clock, the granter's from its receipt, and it is longer by clockMargin.
//   - A lease counts from the leader's contact with a majority, so that all leases of earlier leaders are over
//     LeaseDuration after a leader was elected. A granter confirms nothing before.
//   - A holder confirms an assignment after it has stopped to pass on what the assignment forbids.
//   - A new leader assigns the candidate of each recorded promote before it grants its first lease.
//   - Assignments of earlier terms hold until a later leader replaces them.
package writerlease
