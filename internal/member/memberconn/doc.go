// Package memberconn implements connections to members: it opens a session, sends queries and reads replies.
//
// The proxy's pools and health checks and the control plane's queries use it. It makes no decisions about routing or
// retries.
//
// # Lifecycle
//
// Dial opens a connection and a session in the system's own name, DialAs in the name of a tenant. The name can't be
// changed afterwards. The caller then writes a batch of queries with WriteBatch and reads one reply for each query with
// ReadReply, in order. Query does both for a single internal query, which is a query that this system itself makes. A
// connection pool checks Reusable between batches, and Alive before it uses a connection that was idle. Close closes
// the connection, and the member rolls back an open transaction.
//
// # Invariant
//
// Replies have no id: only their order on the connection assigns them to queries. A connection therefore accepts the
// next batch only when the replies to the last one are complete. After any fault (a lost, truncated or malformed reply,
// or unexpected bytes) it accepts no batch and can only be closed.
//
// # Errors
//
// An error of Dial or DialAs wraps ErrWrongMember if another server answers at the member's address, ErrAttachRejected
// if the member accepted the connection but opened no session, and ErrInvalidName if the name can't be sent. It carries
// the step and the peer. An error of a batch or a reply is an idempotency.NoResponseError, which tells whether the
// member may have run the queries. A FAIL is no error for ReadReply, and a MemberError for Query and QueryStatus.
//
// A Conn is not safe for concurrent use.
package memberconn
