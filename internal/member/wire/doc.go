// Package wire implements the line protocol between clients, members (the database servers) and the processes of this
// system.
//
// A message is one line of text: a word for its kind, then fields, each preceded by one blank, and CR LF at the end. It
// is at most MaxMessageBytes long, including CR LF, and has no control characters except tabs. There is no quoting: the
// last field of a message is the rest of the line and may contain blanks.
//
//	sent by client  ATTACH service client [member]  opens a session
//	                QUERY id statement              runs a statement; queries may be pipelined, replies come in order
//	                BYE                             ends the session
//	sent by server  READY state position            the session is open, or a reply is complete
//	                ROW fields                      a row of a reply
//	                DONE stamp                      the statement succeeded
//	                FAIL code text                  the statement failed, or the session was not opened
//
// The stamp of DONE identifies the run of the statement at the member. The processes of this system may put AFTER
// position before the statement of a QUERY to a member: the statement then fails with LAGGING if the member has not
// received that position.
//
// A reply is any number of ROWs, one DONE or FAIL, and READY. It has no id: it belongs to the oldest query without a
// reply.
//
// A [Position] is a position in a member's log. A [Statement] is the parsed text of a QUERY. A [MemberStatus] is the
// row in the replies to STAT, PAUSE, CONT and STEPDOWN.
//
// A [Reader] buffers at most MaxMessageBytes of a line that has not ended. Readers that share a [BufferBudget] together
// buffer no more than the budget allows for such lines.
package wire
