// Package pgwire reads and writes the messages of PostgreSQL's frontend/backend protocol, versions 3.0 and 3.2, that a
// driver needs toward clients and toward members (database servers). It implements framing, the encoding of messages,
// and the two forms of statements that clients send. It keeps no state between messages, and holds at most one message
// of bounded size.
//
// Reading takes two steps: a message is read with its framing (Read, or ReadHeader and ReadBody), and its body is
// parsed in place. Writing appends complete messages to a buffer that the caller may reuse. Messages and codes have
// PostgreSQL's names.
package pgwire
