package driver

// clientClose is the reason for the end of a client's connection. Its text is the reason in the log's
// event=client_closed, which operators read; it is empty while the connection is open.
type clientClose string

const (
	clientOpen              clientClose = ""
	clientClosed            clientClose = "left"
	clientTerminated        clientClose = "terminate"      // the client sent Terminate
	clientNoStartup         clientClose = "no_startup"     // no complete startup message in time
	clientCancelRequest     clientClose = "cancel_request" // a CancelRequest, which is not supported
	clientFramingError      clientClose = "framing"
	clientNoQuery           clientClose = "silent"     // no first query in time
	clientIncompleteMessage clientClose = "unfinished" // a message was not complete in time
	clientWriteFailed       clientClose = "write"
	clientEvicted           clientClose = "made_room"
	clientRejected          clientClose = "too_many"
	clientShutdown          clientClose = "shutdown"
)

// memberClose is the reason why a connection to a member was closed or not established. Its text is the reason in the
// log's event=member_closed.
type memberClose string

const (
	memberIdleTimeout       memberClose = "idle"   // idle for almost as long as members allow
	memberEvicted           memberClose = "spared" // the oldest idle one, to make room for another
	memberAddressChanged    memberClose = "moved"  // to another address
	memberRemoved           memberClose = "removed"
	memberStale             memberClose = "stale"  // the member moved or was removed meanwhile, or sent extra bytes
	memberBroken            memberClose = "broken" // while idle
	memberNoConnection      memberClose = "no_connection"
	memberStartupFailed     memberClose = "no_welcome"
	memberRejected          memberClose = "turned_away" // by an error during the startup
	memberWriteFailed       memberClose = "cut"         // writing the request failed
	memberCancelled         memberClose = "cancelled"
	memberTimedOut          memberClose = "timed_out"
	memberMalformed         memberClose = "garbled" // a malformed answer, or one without an end
	memberReset             memberClose = "reset"
	memberClosedAfterAnswer memberClose = "ended" // after an answer
)
