// Package memberconn is a connection to a member: it opens a session there, sends queries and reads replies.
//
// The proxy's pools and health checks use it, and the control plane's queries. It decides nothing.
//
// # Lifecycle
//
// Dial opens the connection and the session on it in the system's own name, DialAs in a tenant's. The name stays until
// the end of the connection. From then on the caller writes a batch of queries with WriteBatch, then reads one reply
// for each with ReadReply, in order; Query does both for one query of the system's own. Between batches, whoever pools
// connections asks Reusable, and Alive before a connection is used after a pause. Close ends it, and has the member
// roll back a transaction that is open.
//
// # Invariant
//
// Replies bear no id: which query one belongs to is told by their order on the connection alone. So a connection
// takes the next batch only once each query of the last one was replied to in full. One on which anything went wrong
// (a reply that was lost, cut short or not understood, bytes that nobody asked for) takes none, and can only be
// closed.
//
// # Errors
//
// An error of Dial or DialAs wraps ErrWrongMember if another server answers at the member's address, ErrAttachRejected
// if the member accepted the connection and opened no session, and ErrInvalidName if the name can't be sent; it carries
// the step and the peer. An error of a batch or
// reply is an idempotency.NoResponseError, which tells whether the member may have run the queries. A FAIL is none
// for ReadReply, and a MemberError for Query and QueryStatus.
//
// A Conn is used by one goroutine at a time.
package memberconn
