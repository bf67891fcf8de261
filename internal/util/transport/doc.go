// Package transport carries frames between the system's own processes over TCP.
//
// A frame is a CBOR value behind a prefix of four bytes: its length, big-endian, with the highest bit set where the
// bytes are compressed (compress.go). This package does not interpret the content of frames.
//
// # Connection lifecycle
//
// Serve accepts links at a listener, Dial establishes one, and KeepConnected re-establishes one whenever it ends, with
// a backoff. They call onUp before a link's first frame, onFrame for every frame, and onDown when the link has ended
// (Dial returns instead). onUp and onFrame run on the goroutine that reads the link, one at a time, so onFrame must
// not block for long: while it does, the peer's frames stay in the kernel's buffers. Closing a Link from any goroutine
// ends it at this end and, by the closed socket, at the peer's.
//
// A link has two goroutines: the reader, which is the caller's own for Dial and KeepConnected and one for each link
// for Serve, and the writer. Close ends both; either of them closes the link when it returns. Closing a listener ends
// Serve, but not the links that it accepted: these last until they are closed, their peer ends, or they have been
// idle for too long.
//
// # Ordering
//
// Frames of one link arrive in the order in which Send returned, each at most once. There is no order between links,
// not even between an old link and its replacement: the reader of the old one may still deliver frames that it had
// buffered.
//
// # Backpressure
//
// Send never blocks. Frames wait in a queue of at most maxQueuedFrames frames and about maxQueuedBytes bytes; a peer
// that does not read fast enough to stay below these limits is disconnected, which bounds memory. So is a peer
// that leaves bytes unacknowledged for userTimeout, or accepts no bytes for writeTimeout.
//
// # Resets
//
// A Send that returned true means that the frame was queued, not that it was delivered: frames that are queued or in
// flight when a link ends are lost, and are not sent again. Users resynchronise when a link comes up, by exchanging
// digests of their state (controlmsg.StateDigest), or give their requests numbers and repeat those that are
// idempotent.
package transport
