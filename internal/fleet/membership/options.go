package membership

// Options are a driver's settings. Times are milliseconds.
type Options struct {
	Period          float64 // probe interval of a driver with good health
	ExpectedDrivers int     // number of drivers required to bootstrap a roster
	RetainFor       float64 // how long an ended driver that is not on the roster stays known
	MaxDrivers      int     // maximum number of known drivers
	// TakeoverAfter is the delay until the majority takes over the shares of lost drivers, see DriverCount.
	TakeoverAfter float64
	// Persistent is set if votes and rosters survive a restart: the caller makes Output.Save durable.
	Persistent bool
	Saved      *SavedState // last state saved by an earlier process; nil: none
}

// Constants of probes and suspicions. Durations are in periods.
const (
	directProbeShare  = 0.4  // time to a direct ack before other peers are asked to ping
	probeShare        = 0.95 // time to any ack before the target is suspected
	nackShare         = 0.3  // a relay that has not heard the target for this long sends a nack
	indirectProbes    = 3    // number of peers that are asked to ping
	maxRelays         = 256  // concurrent pings on behalf of other drivers
	minSuspicion      = 3.0  // suspicion timeout with maxConfirmations
	maxSuspicion      = 9.0  // suspicion timeout without confirmations
	maxConfirmations  = 2    // further confirmations do not shorten the timeout
	lastProbeBefore   = 2.5  // a suspect with few accusers is pinged again from this long before its timeout
	suspicionCheckers = 4.0  // expected number of drivers that recheck a suspect of another driver
	maxRechecks       = 4    // queued rechecks
	maxHealth         = 4    // worst score; the higher, the more a driver attributes delays to itself
	pauseAfter        = 1.5  // a longer gap between two ticks means that this driver was paused
	recentlyHeard     = 4.0  // a peer heard directly within this time is alive, whatever others report
)

// Constants of reachability. Durations are in periods.
const (
	checkInterval       = 0.2  // between checks of reachability, roster and partition status
	maxReprobes         = 4    // pings, one per period, to a peer that did not ack directly
	minUnreachableAfter = 5.0  // a peer not heard directly for this long is unreachable; grows with the number of peers
	maxUnreachableAfter = 60.0 // upper bound of that growth
)

// Constants of gossip. Durations are in periods.
const (
	gossipInterval      = 0.2 // between gossip messages while broadcasts are queued
	gossipFanout        = 2   // peers per gossip round
	viewsSettleAfter    = 3.0 // views that still differ this long after the last gossip are exchanged
	maxBroadcastBacklog = 64  // subjects with queued broadcasts above which views are exchanged immediately
	syncInterval        = 3.0 // between snapshot exchanges with one peer
)
