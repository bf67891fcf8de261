// Package transport carries frames between the system's own processes over TCP.
//
// A frame is a CBOR value behind a prefix of four bytes: its length, big-endian, with the highest bit set where the
// bytes are compressed (compress.go). What a frame says is its users' business; this package decides nothing by it.
//
// # Connection lifecycle
//
// Serve accepts links at a listener, Dial makes one, KeepConnected makes one anew whenever it ends, with a backoff.
// Each of them runs three callbacks: up before a link's first frame, take for every frame, down when it has ended. up
// and take run on the goroutine that reads the link, one at a time, so take must not block for long: while it does,
// the peer's frames stay in the kernel's buffers. Closing a Link from any goroutine ends it at this end and, by the
// closed socket, at the peer's.
//
// A link has two goroutines: the reader, which is the caller's own for Dial and KeepConnected and one for each link
// for Serve, and the writer. Close ends both; either of them closes the link when it returns. Closing a listener ends
// Serve, but not the links that it accepted: these last until they are closed, their peer ends, or they have been
// idle for too long.
//
// # Ordering
//
// Frames of one link arrive in the order in which Send returned, each at most once. There is no order between links,
// also not between an old link and the one that replaces it: the reader of the old one may still hand on what it had
// buffered.
//
// # Backpressure
//
// Send never blocks. Frames wait in a queue of at most maxQueuedFrames frames and about maxQueuedBytes bytes; a peer
// that does not read fast enough to keep it below that loses the link rather than taking memory. A peer that
// leaves bytes unacknowledged for userTimeout, or accepts no bytes for writeTimeout, loses it as well.
//
// # Resets
//
// That Send returned true says that a frame was queued, not that it was delivered: all that was queued or on its way
// when a link ends is lost, and nothing is sent again. Users resynchronise when a link comes up, by exchanging
// digests of their state (controlmsg.StateDigest), or give their requests numbers and repeat those that are
// idempotent.
package transport
