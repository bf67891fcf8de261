package failover

// Tuned values, in milliseconds unless stated otherwise.
const (
	// Failure detection.
	watchInterval         = 500.0 // between status queries to a healthy primary
	urgentInterval        = 150.0 // between queries while something is wrong
	silenceTimeout        = 1000.0
	maxRefusals           = 2 // connections refused in a row, after which a member is dead
	leaderlessTimeout     = 700.0
	suspectedReplyTimeout = 160.0 // for a reply, while enough drivers suspect the primary
	minSuspectedSilence   = 400.0 // since the primary was last heard from, likewise
	stallTimeout          = 400.0 // for which all replicas stand still behind a primary that goes on

	// Members.
	staleHeartbeatAge    = 4000.0  // a member without a heartbeat for so long is the last choice as a candidate
	unknownMemberTimeout = 20000.0 // within which agents and peers report a member, if any of them knows it

	// Pausing and catching up.
	pauseTimeout    = 700.0  // for pausing replicas, then the old primary is to step down
	pauseValidity   = 900.0  // of a reply that reports a pause: a replica that restarts forgets it
	retryDelay      = 300.0  // before a phase that failed begins again
	catchUpInterval = 50.0   // between queries while a candidate catches up
	catchUpTimeout  = 1500.0 // after which a candidate gives way to another

	// Promoting and fencing.
	confirmTimeout    = 3500.0 // in which a promote that was answered shows
	confirmQueryDelay = 450.0  // a promote is not carried out sooner
	promoteLatency    = 900.0  // in which an earlier promote is carried out, if it ever is
	fenceRetryDelay   = 500.0
	resumeInterval    = 2000.0 // between queries to a member that may be paused
	// lateStatement is for how long after it was given up a pause or resume may still be executed. Its connection is
	// reset then, so that only what is on its way already arrives.
	lateStatementWindow = 2000.0

	// Coverage of departed members.
	coverageInterval     = 250.0
	coverageFastPeriod   = 3000.0 // since a member departed, after which queries are fewer
	coverageSlowInterval = 2000.0
)

// Statuses of the platform's answer to a promote.
const (
	statusAccepted = 200
	statusRejected = 409
)
