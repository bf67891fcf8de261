// Package ledger decides what a driver may do with an op that carries an idempotency key, so that a retry after a lost
// answer, or after a crash or restart of the driver, never takes effect twice. It does no I/O and reads no clock.
//
// A [Table] holds the state of each key, within [Limits]. A driver begins a key before it sends the first byte of the
// op to a member ([Table.Begin]) and waits until the returned record is on disk; it finishes the key when the op has
// ended ([Table.Finish]). A Table is used by one goroutine at a time.
//
// # States
//
//	state     meaning                                                  result of a later op with the key
//	free      never begun, proved not to have run, or expired          it is begun (Execute)
//	open      begun, and its op is still open in this driver           it is rejected as busy (InProgress)
//	acked     done; the answer is kept, unless it was too long         it gets that answer (Replay, AnswerLost)
//	unknown   the op may or may not have taken effect                  it gets an error that says so (InDoubt)
//
// An open key becomes free, acked or unknown when it is finished. After a restart an open key becomes unknown, as its
// op may have been sent. An op that uses a key with a different statement is always rejected (Conflict).
//
// # Records
//
// Records go to a log in the order in which they are returned; a snapshot contains the whole table. [Load] rebuilds the
// table from both. The record of a begin must be on disk before the op is sent. The record of a finish may be lost: the
// key is then unknown after a restart, which is safe.
//
// # Invariants
//
//   - Between the begin of a key and the end of its retention, no second op with the key is executed, unless the first
//     is proved not to have run.
//   - A key doesn't expire while it is open, or earlier than Retention after it was finished. A full table rejects new
//     keys; it never drops known ones.
//   - The table stays within Limits. An answer that doesn't fit is dropped, but the key stays acked.
//   - An unreadable log is an error: an op whose key is missing could run twice.
package ledger
