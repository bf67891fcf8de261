package driver

// clientClose is why a client's connection ends. Its text is the log's reason of event=client_closed, which operators
// read; empty while the connection goes on.
type clientClose string

const (
	clientGoesOn        clientClose = ""
	clientLeft          clientClose = "left"
	clientTerminated    clientClose = "terminate"      // it said so
	clientNoStartup     clientClose = "no_startup"     // nothing or no more of it came
	clientCancelRequest clientClose = "cancel_request" // a connection of its own, which is not served
	clientFramingLost   clientClose = "framing"
	clientSilent        clientClose = "silent"     // no first query in time
	clientUnfinished    clientClose = "unfinished" // a message did not come completely in time
	clientWriteFailed   clientClose = "write"
	clientEvicted       clientClose = "made_room"
	clientRejected      clientClose = "too_many"
	clientShutdown      clientClose = "shutdown"
)

// memberClose is why a connection to a member is closed, or was not made. Its text is the log's reason of
// event=member_closed.
type memberClose string

const (
	memberIdle         memberClose = "idle" // for longer than members let it be
	memberSpared       memberClose = "spared"
	memberMoved        memberClose = "moved" // to another address
	memberRemoved      memberClose = "removed"
	memberStale        memberClose = "stale"  // it moved or was removed meanwhile, or sent more than its answer
	memberBroken       memberClose = "broken" // while idle
	memberNoConnection memberClose = "no_connection"
	memberNoWelcome    memberClose = "no_welcome"
	memberTurnedAway   memberClose = "turned_away" // by an error in place of a welcome
	memberCut          memberClose = "cut"         // while the request was written
	memberCancelled    memberClose = "cancelled"
	memberTimedOut     memberClose = "timed_out"
	memberGarbled      memberClose = "garbled" // a malformed answer, or one that did not end
	memberReset        memberClose = "reset"
	memberEnded        memberClose = "ended" // after an answer
)
