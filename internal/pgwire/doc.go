// Package pgwire reads and writes the messages of PostgreSQL's frontend/backend protocol, version 3.0 and 3.2, that a
// driver needs on its two sides: toward clients and toward members. It owns framing, the form of messages, and the form
// of the statements that clients send. It keeps no state from one message to the next, and holds no more than one
// message, of bounded size.
//
// Reading works in two steps: a message is read with its framing (Read, or ReadHeader and ReadBody), and its body is
// parsed in place. Writing appends complete messages to a buffer that the caller may use again. Names of messages and
// codes are PostgreSQL's own.
package pgwire
