package failover

// Timing parameters, in milliseconds unless stated otherwise.
const (
	// Failure detection.
	watchInterval         = 500.0  // between status queries to a healthy primary
	urgentInterval        = 150.0  // between queries while something is wrong
	silenceTimeout        = 1000.0 // since the primary was last heard from, with a query failed and no healthy reports
	maxRefusals           = 2      // refused connections in a row after which a member counts as dead
	noPrimaryTimeout      = 700.0  // without a primary, before a failover starts
	suspectedReplyTimeout = 160.0  // for a reply, while enough drivers report that the primary does not answer
	minSuspectedSilence   = 400.0  // since the primary was last heard from, under the same condition
	stallTimeout          = 400.0  // how long all replicas make no progress although the primary's log is ahead

	// Members.
	staleHeartbeatAge    = 4000.0  // after which a member is the last choice as a candidate
	unknownMemberTimeout = 20000.0 // after which every member that any agent or peer knows has been reported

	// Pausing and catching up.
	pauseTimeout   = 700.0  // for pausing replicas; after that the old primary must step down
	pauseValidity  = 900.0  // of a reply that confirms a pause: a replica that restarts loses the pause
	retryDelay     = 300.0  // before phasePausing starts again after a failed attempt
	catchUpTimeout = 1500.0 // after which the candidate is given up

	// Stepping down, promoting and resuming.
	relayInterval  = 500.0  // between attempts to reach the old primary through agents
	recordTimeout  = 1500.0 // for a promote to be recorded and its conditions to hold; then they are checked anew
	confirmTimeout = 3500.0 // after which a candidate that does not reply is promoted again
	// effectTimeout is the time after which a promote is repeated although the candidate replies, and within which a
	// repeated one takes effect: the platform's page says "some hundred ms".
	effectTimeout     = 10000.0
	confirmQueryDelay = 450.0  // before the candidate is queried without a sign that it is the primary
	takeoverDelay     = 900.0  // of a new leader, while statements of the former one may still be executed
	resumeInterval    = 2000.0 // between queries to a member that may be paused
	// lateStatementWindow is how long a pause or resume may still be executed after it was given up. Its connection is
	// reset when it is given up, so that only data already in transit can arrive.
	lateStatementWindow = 2000.0

	// Coverage of departed members.
	coverageInterval     = 250.0  // between status queries
	coverageFastPeriod   = 3000.0 // since a member departed, after which coverageSlowInterval applies
	coverageSlowInterval = 2000.0
)

// Statuses of the platform's answer to a promote.
const (
	statusAccepted = 200
	statusRejected = 409
)
