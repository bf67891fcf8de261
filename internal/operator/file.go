package operator

// This file owns what a file may state: one type a block.

import (
	"log/slog"
	"time"
)

// File is an operators' file with its defaults filled in. The zero File is not valid: use Default.
type File struct {
	Log        Log
	State      *State    // nil: learned state is not persisted
	Registry   *Registry // nil: members come from the platform's discovery alone
	Peers      Peers
	Control    *Control    // nil: no control socket
	Ledger     *Ledger     // nil: the outcomes of operations are not kept
	Fleet      *Fleet      // nil: the deployment's shape is as the platform's settings say
	Membership *Membership // nil: drivers do not know each other
	Zones      *Zones      // nil: each driver decides alone how zones stand in for each other
}

// Default is in force where there is no file.
func Default() File { return File{Log: Log{Format: "text", Level: slog.LevelInfo}} }

// Log is the block "log".
type Log struct {
	Format string     // "text" or "json"
	Level  slog.Level // the lowest that is written
}

// State is the block "state": learned state is kept across restarts.
type State struct {
	Folder       string
	SaveInterval time.Duration // save_every
	LimitMB      int           // of all files together
	// MinSwitchTime (switch_least) is a lower bound on how long a change of primary takes. 0: the time that the
	// platform gives drivers to stop sending to a member that drains.
	MinSwitchTime time.Duration
}

// Registry is the block "registry", whose label is the dialect.
type Registry struct {
	Dialect   string   // "etcd" or "consul"
	Endpoints []string // HTTP URLs
	Prefix    string   // of the members' keys
	Service   string   // Consul: the members are this service's instances; empty: they are keys
	// CredentialsFile holds name:password (etcd) or a token (Consul), and is read anew for each connection. Empty for
	// none.
	CredentialsFile string
	CAFile          string        // certificates that sign the endpoints'; empty for the system's
	FailoverAfter   time.Duration // take_over: discovery leads once the registry has been silent for so long
	ConfirmAfter    time.Duration // confirm: a list without most members is confirmed by one this much later
	DriversPrefix   string        // of the keys by which drivers register themselves; empty: they don't
	LeaseTTL        time.Duration // lease: time to live of such a key
	WatchTimeout    time.Duration // silence: a watch without a sign of life for so long is resumed
}

// Peers is the block "peers": the messages between drivers.
type Peers struct {
	// MessagesPerSecond is about how many peers' messages a driver takes. 0: the fewer the more drivers there are, as
	// on the platform, where messages have a price.
	MessagesPerSecond int
}

// Control is the block "control": where the topology manager's hooks, and the drivers' peers, call the driver.
type Control struct {
	Socket    string   // a Unix socket for this machine
	Listen    string   // host:port for peers; empty for none
	Peers     []string // fellows: their host:port
	TokenFile string   // a secret shared by the drivers
	HoldLease time.Duration
	MaxHold   time.Duration // most: of a hold with all its renewals
	// ReleaseTimeout (opening): after a release the old primary stays drained for so long, unless another one is seen
	// as primary before.
	ReleaseTimeout time.Duration
}

// Ledger is the block "ledger": the outcomes of operations that have an idempotency key.
type Ledger struct {
	Folder    string
	Retention time.Duration // keep: of a key, from the end of its operation
	MaxKeys   int           // at a time
	LimitMB   int           // of all files together; keys and answers in memory take up to a quarter of it
}

// Fleet is the block "fleet": the shape of a deployment where it is not what the platform's settings say. A field
// that is left out keeps the settings' own value, so an empty block changes nothing.
type Fleet struct {
	Peers   *bool // false: drivers send each other nothing, even where the settings allow it
	Drivers int   // in all (the settings' siblings); 0 keeps the settings' number
	// OnlyDrainingBinds true: only a member listed as draining must get nothing new after the grace period. One that
	// is listed as gone, or omitted, without having drained may still be sent to. Nil: as the settings' rules.
	OnlyDrainingBinds *bool
}

// Membership is the block "membership": drivers find out which of them are alive.
type Membership struct {
	Listen         string        // IP:port, for UDP and TCP; outgoing sockets are bound to this IP
	Advertise      string        // IP:port at which peers reach this driver; empty: Listen
	Seeds          []string      // IP:port of peers
	TokenFile      string        // a secret shared by the drivers; empty: the control block's
	Zone           string        // empty: the platform's
	ProtocolPeriod time.Duration // period: between two probes
	// ExpectedDrivers (expect) is how many drivers there must be before they first agree on a roster. 0: as many as
	// the platform or the fleet block says, and no fewer than the seeds.
	ExpectedDrivers int
	TakeOverAfter   time.Duration // yield: a majority takes over the quota shares of those that it lost after so long
	Folder          string        // of the roster and of this driver's votes on it; empty: they are not persisted
}

// Zones is the block "zones": drivers agree on which zones serve whose reads. Percentages are whole numbers.
type Zones struct {
	Regions           []Region
	Voters            int
	HeartbeatInterval time.Duration // beat: of the leader
	PlanLease         time.Duration // lease: a plan is in force for so long after it was certainly the newest
	Headroom          int           // percent of a zone's capacity kept for one more loss
	CrossZoneBudget   int           // budget: percent of all reads that may cross between zones
	TargetLoad        int           // load: percent of the members' capacity that reads usually take
	EjectAfter        time.Duration // doubt: a zone is ejected once it has failed for so long
	MinEjectionTime   time.Duration // away: before it returns
	Webhook           string        // called with each move of a primary that is requested; empty: none
}

// Region is a region with its zones, which are nearer to each other than to others.
type Region struct {
	Name  string
	Zones []string
}
