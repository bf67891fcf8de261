package membership

// Options are a driver's settings. Times are milliseconds.
type Options struct {
	Period          float64 // between two probes of a driver whose health is good
	ExpectedDrivers int     // before a roster is founded
	RetainFor       float64 // a driver that has ended and is on no roster is remembered for so long
	MaxDrivers      int     // known at most
	// TakeoverAfter is after how long the majority takes over the share of those that are lost, see DriverCount.
	TakeoverAfter float64
	// Persistent says that votes and rosters outlive the process: the caller makes Output.Save durable.
	Persistent bool
	Saved      *SavedState // what an earlier process saved last; nil: nothing
}

// Probes and suspicions. Durations are in periods.
const (
	directProbeShare  = 0.4  // an ack by then, or others are requested to ping
	probeShare        = 0.95 // an ack by then, from whoever, or the target is suspected
	nackShare         = 0.3  // who is requested to ping answers by a nack if it has not heard the target for so long
	indirectProbes    = 3    // drivers that are requested to ping
	maxRelays         = 256  // pings for others at a time
	minSuspicion      = 3.0  // a suspicion with maxConfirmations
	maxSuspicion      = 9.0  // one with none
	maxConfirmations  = 2    // more make it no shorter
	lastProbeBefore   = 2.5  // before the end of a suspicion that few confirm its subject is pinged once more
	suspicionCheckers = 4.0  // drivers that probe next whom another suspects, about
	maxRechecks       = 4    // of these probes to come
	maxHealth         = 4    // score: how much of the delays a driver blames on itself; 0 is good
	pauseAfter        = 1.5  // between two ticks: this driver was paused
	recentlyHeard     = 4.0  // a peer heard directly lives, whatever others say
)

// Reachability. Durations are in periods.
const (
	checkInterval       = 0.2  // of what changes slowly
	maxReprobes         = 4    // a period apart, to a peer that did not ack directly
	minUnreachableAfter = 5.0  // a peer not heard directly for so long is unreachable; longer the more peers there are,
	maxUnreachableAfter = 60.0 // up to this
)

// Gossip. Durations are in periods.
const (
	gossipInterval      = 0.2 // while there is something to pass on
	gossipFanout        = 2   // peers at a time
	viewsSettleAfter    = 3.0 // views that differ though nothing was gossiped for so long are exchanged
	maxBroadcastBacklog = 64  // drivers that there is gossip of; above that views are exchanged at once
	syncInterval        = 3.0 // between exchanges with one peer
)
