// Package wire is the line protocol that clients, members and the system's own processes share.
//
// A message is one line of text: a word that tells its kind, fields separated by one blank each, CR LF at the end. It
// is at most MaxMessageBytes long, its end included, and has no control characters but tabs. Nothing is quoted: the
// last field of a message is the rest of the line, and may have blanks.
//
//	sent by client  ATTACH service client [member]  opens a session
//	                QUERY id statement              runs a statement; queries may be pipelined, replies come in order
//	                BYE                             ends the session
//	sent by server  READY state position            the session is open, or a reply is complete
//	                ROW fields                      a row of a reply
//	                DONE stamp                      the statement succeeded
//	                FAIL code text                  the statement failed, or the session isn't opened
//
// The system's processes may send a member AFTER position ahead of the statement: it fails with LAGGING on a member
// that has not received that position.
//
// A reply is any number of ROWs, one DONE or FAIL, and READY. It bears no id, so it belongs to the oldest query
// without a reply.
//
// A [Position] is the end of a member's log. A [Statement] is the text of a QUERY taken apart. A [MemberStatus] is
// the row that a member answers to STAT, PAUSE, CONT and STEPDOWN with.
//
// The package never keeps more than MaxMessageBytes of a peer that doesn't end its line, and of all peers whose
// readers share a [BufferBudget] no more than that.
package wire
