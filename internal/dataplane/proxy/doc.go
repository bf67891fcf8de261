// Package proxy is the proxy between clients and the members of replication groups: clients' sessions on one side,
// pooled connections to members on the other.
//
// # Goroutines
//
// One goroutine runs the router (type router). It owns what sessions share: the configuration, the groups with
// their connection pools (connPool) and queues (waitQueue), and the shards' routing table (shardRouter). Others
// reach it by commands, and it never does I/O. Each client's connection has a goroutine that runs its session (type
// session), does that session's I/O with the client and with the member connection that it has checked out, and
// carries out one statement at a time. Further goroutines follow the agent, accept clients, and make one dial,
// health check or rollback each. All end with the context of Run, or by a timeout of their own.
//
// Decisions are made elsewhere, without I/O: package group says where a statement goes, sessionstate what a
// connection must be sent first, idempotency what may be retried, quota what a tenant may send.
//
// # The way of a statement
//
//	session.run             reads a message of the client
//	session.handleMessage   parses it; SET, PREP, UNPREP, BEGIN and ABORT are answered by the session itself
//	session.runStatement    passes the others to runInTransaction if a transaction is open, else to runSingle
//	session.tenantFor       looks the client's key up before each single statement and each BEGIN
//
// A single statement is an execution, which makes attempts until its client is answered. Each attempt is
//
//	session.resolveService  the replication group that serves the route; for a route with a shard, the shard's owner
//	session.acquire         requests a connection to a suitable member from the router
//	router.enqueue          queues the request (connRequest), if its tenant's quota has room for it (router.admit)
//	router.dispatch         asks group.Route for the member, and lends an idle connection or has one made (dial)
//	session.send            sends what the connection lacks of the session's state, then the statement, reads the answer
//	session.finish          returns the connection (router.checkIn) with the outcome, from which the group learns
//	execution.succeeded,    answer the client, or say that there is another attempt
//	refused, unanswered
//
// A transaction begins at a member before its first statement (session.pin), which takes the same steps with BEGIN.
// Its connection stays pinned until its end (unpin, rollBack); its statements go there by sendInTransaction, once
// each.
//
// Answers are collected (reply.go) and written once the answer to the statement is complete. Only rows that are too
// many to keep are forwarded earlier; then no other member may answer the statement.
//
// # Tenants
//
// Where there are tenants, members are told whom a statement is run for by the name that its connection was attached
// with. So a connection serves one tenant until it is closed, and a pool without a free place closes another tenant's
// idle connection for one that is needed. A client's key never leaves its session.
//
// # While there is no primary
//
// A write, a transaction or a linearizable read is routed nowhere while the group's writer slot is empty, or its
// member is suspected: its request stays in the queue, and the router sends health checks. Once the slot is filled,
// by a heartbeat, an answer or a health check, dispatch releases the queue in order of arrival. A request whose
// deadline comes too near for an answer is rejected with RETRY: nothing of its statement was sent. A write that a
// member refused as read-only (its role had changed) joins the queue in the same way. A request for a shard without
// an owner waits in the shard's queue until a newer map names one.
//
// A write that was sent and not answered is neither queued nor retried, as it may have been committed: its client is
// answered UNKNOWN. The nodes of a shard know the outcome of each attempt; there it is looked up (resolveOutcome).
//
// # Quotas
//
// An operation of a tenant, which is a single statement or a transaction, is counted once, by its first request for a
// connection (quota.go). It needs a token, for which the proxy asks a core machine through its agent, and waits for it
// in a queue of the tenant's, where it takes no place in the group's. If none is due soon, or none comes in time, it is
// refused with RETRY.
//
// # Deadlines
//
// A statement must be answered deadlineMargin before its route's timeout. The router gives a request up while there
// is still time for an answer, by the group's usual latency. One attempt of a read is cut at readTimeout, so that
// there is time for a retry at another member; a write waits for its one answer until the deadline.
//
// # Errors
//
// errors.go has all errors that clients are answered with, and the one place where they become codes of FAIL. A code
// promises something: the first group of codes in package wire, RETRY to FULL, that nothing of the attempt was kept.
//
// # Shutdown
//
// shutdown.go has the phases in which the proxy disconnects its clients when the platform ends the process.
package proxy
