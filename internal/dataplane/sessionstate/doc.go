// Package sessionstate tracks the state of client sessions, so that any pooled member connection can serve any session.
//
// A session's state is its values (SET) and its prepared statements (PREP). The proxy answers both commands itself,
// without a member, and keeps the state in Session. Before a statement is sent to a member, Conn.Sync compares the
// session with the state that the connection has from the sessions that it served before, and returns the commands that
// make them equal: RESET and SET for values, PREP for the one prepared statement that is to run.
//
// The invariant is that a statement never runs with values that its client did not set, nor without those that it
// did. Extra values on a connection can only be dropped by RESET, which also drops its prepared statements.
//
// Prepared statements have names of the connection's own ("w1", "w2", ...), assigned by kind and text, so that sessions
// share them whatever names their clients use.
//
// The package does no I/O. Its types are not safe for concurrent use: a session belongs to its goroutine, a connection
// to the session that it is lent to.
package sessionstate
