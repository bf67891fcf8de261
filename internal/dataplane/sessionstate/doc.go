// Package sessionstate tracks the state of client sessions, so that any pooled member connection can serve any of
// them.
//
// A session's state is its values (SET) and its prepared statements (PREP). The proxy answers both itself, without a
// member: Session keeps them. Before a statement goes to a member, Conn.Sync compares the session with what the
// connection holds from the sessions that it served before, and returns the texts that make them equal: RESET and SET
// for values, PREP for the one prepared statement that is to run.
//
// The invariant is that a statement never runs with values that its client did not set, nor without those that it
// did. Values that the connection has too many can only be dropped by RESET, which drops its prepared statements
// too.
//
// Prepared statements are kept on a connection under names of its own ("w1", "w2", ..), by kind and text, so that
// sessions share them whatever their clients call them.
//
// The package does no I/O. Nothing in it may be used by several goroutines at a time: a session belongs to its
// goroutine, a connection to the session that it is lent to.
package sessionstate
