// Package proxy connects clients with the members of replication groups. It keeps a session for each client and a pool
// of connections to each member.
//
// A member is a database server. A replication group is the set of members of one service: a primary, which accepts
// writes, and its replicas. Proxies run on many machines and share the members' connections; each process that runs one
// is called a driver. An agent on the proxy's machine forwards the configuration, the list of members and the shard map
// to it, and its reports and quota requests to the control plane.
//
// # Goroutines
//
// One goroutine runs the router (type router). It owns the state that sessions share: the configuration, the groups
// with their connection pools (connPool) and queues (waitQueue), and the routing table of the shards (shardRouter).
// Other goroutines reach that state by sending commands. The router never does I/O.
//
// Each client connection has a goroutine that runs its session (type session). It does the I/O with the client and with
// the member connection that the session has checked out, and runs one statement at a time. Further goroutines receive
// updates from the agent, accept clients, and each make a single dial, health check or rollback. All of them end with
// the context of Run or by a timeout of their own.
//
// Other packages make the decisions, without I/O: package group chooses the member for a statement, sessionstate
// determines what must be sent to a connection first, idempotency which calls may be retried, and quota how much a
// tenant may send.
//
// # The path of a statement
//
//	session.run             reads a message from the client
//	session.handleMessage   parses it; the session itself answers SET, PREP, UNPREP, BEGIN and ABORT
//	session.runStatement    passes other statements to runInTransaction if a transaction is open, else to runSingle
//	session.tenantFor       looks up the client's key before each single statement and each BEGIN
//
// A single statement is run by an execution, which makes attempts until the client has an answer. Each attempt calls
//
//	session.resolveService  finds the replication group that serves the route; with a shard, the shard's owner
//	session.acquire         requests a connection to a suitable member from the router
//	router.enqueue          queues the request (connRequest) if the tenant's quota admits it (router.admit)
//	router.dispatch         calls group.Route for the member, then checks out an idle connection or starts a dial
//	session.send            sends the session state that the connection lacks, then the statement, and reads the answer
//	session.release         returns the connection (router.checkIn) and reports the outcome to the group
//	execution.handleSuccess, handleFail, handleNoResponse
//	                        answer the client or ask for another attempt
//
// A transaction begins at a member just before its first statement (session.pin), by the same steps with BEGIN as the
// statement. Its connection stays pinned until the transaction ends (unpin, rollBack). Its statements are sent there by
// sendInTransaction, once each.
//
// Answers are buffered (reply.go) and written once the answer to the statement is complete. Only rows beyond the buffer
// limit are forwarded earlier; after that no other member may answer the statement.
//
// # Tenants
//
// Where tenants are configured, a member learns for which tenant a statement runs from the name in the connection's
// ATTACH. A connection therefore serves one tenant until it is closed, and a pool at its limit closes an idle
// connection of another tenant to make room for a new one. A client's key is never sent to a member.
//
// # Without a primary
//
// A write, a transaction or a linearizable read can't be routed while the group's writer slot is empty or the member in
// it is suspected. Its request stays in the queue, and the router sends health checks. Once a heartbeat, an answer or a
// health check fills the slot, dispatch releases the queue in order of arrival. A request whose deadline comes too
// close for an answer is rejected with RETRY: nothing of its statement was sent. A write that a member refused as
// read-only, because its role had changed, joins the queue in the same way. A request for a shard without an owner
// waits in the queue of the shard until a newer shard map names an owner.
//
// A write that was sent and not answered is neither queued nor retried, as it may have been committed: the client gets
// UNKNOWN. The nodes of a shard record the outcome of each attempt, so for a shard it is looked up (resolveOutcome).
//
// # Writer leases
//
// A member is written to only if the assignments of the control plane allow it (writers.go; package writerlease has the
// rules). While the proxy has no lease, it writes on, and commits are confirmed at replicas before their clients are
// answered (commitConfirmer). An acknowledgement that may not be passed on is answered as UNKNOWN.
//
// # Quotas
//
// An operation of a tenant, which is a single statement or a transaction, is counted once, at its first request for a
// connection (quota.go). It needs a token, which the proxy requests from a core machine of the control plane through
// the agent. Until the token arrives it waits in a queue of its tenant and takes no place in the queue of the group. If
// no token is due soon, or none arrives in time, the operation is refused with RETRY.
//
// # Deadlines
//
// A statement must be answered deadlineMargin before the timeout of its route. The router rejects a request while there
// is still time for an answer, judged by the group's typical latency. One attempt of a read ends after readTimeout, so
// that there is time to retry at another member; a write waits for its only answer until the deadline.
//
// # Errors
//
// errors.go holds all errors that clients are answered with, and maps them to codes of FAIL. The first group of codes
// in package wire, RETRY to FULL, promises that nothing of the attempt has an effect.
//
// # Shutdown
//
// shutdown.go defines the phases in which the proxy disconnects its clients when the platform ends the process.
package proxy
