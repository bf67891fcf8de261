// Package ledger decides what a driver may do for an op that its client names by an idempotency key, so that a retry
// after a lost answer, a driver's crash or its restart never takes effect twice. It does no I/O and reads no clock.
//
// A [Table] holds what is known of each key, within [Limits]. A driver begins a key before the first byte of its op
// goes to a member ([Table.Begin]) and waits until the returned record is on disk; it finishes the key once the op has
// ended ([Table.Finish]). A Table is used by one goroutine at a time.
//
// # States
//
//	state     meaning                                                  a later op with the key
//	free      never begun, proved not to have run, or expired          is begun (Execute)
//	open      begun, and its op is still open in this driver           is rejected as busy (InProgress)
//	acked     done; the answer is kept, unless it was too long         gets that answer (Replay, AnswerLost)
//	unknown   it may have taken effect, and nothing tells whether      gets an error that says so (InDoubt)
//
// An open key becomes free, acked or unknown when it is finished. After a restart it is unknown, as its op may have
// been sent. A key that is used with another statement is always rejected (Conflict).
//
// # Records
//
// Records go to a log in the order in which they are returned; a snapshot is the whole table. [Load] makes the table
// again of both. The record of a begin has to be safe before the op is sent. That of a finish need not be: without it
// the key is unknown after a restart, which is true.
//
// # Invariants
//
//   - Between a key's begin and the end of its retention no second op with it is executed, unless the first is proved
//     not to have run.
//   - A key isn't expired while it is open, nor less than Retention after it was finished. A full table rejects new
//     keys; it never drops known ones.
//   - The table stays within Limits. An answer for which there is no room is dropped, but not that it was given.
//   - A log that can't be read is an error: a key that is missing could run twice.
package ledger
