package operator

// This file defines the contents of a file: one type for each block.

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
	Ledger     *Ledger     // nil: outcomes of operations are not stored
	Fleet      *Fleet      // nil: the shape of the deployment is that of the platform's settings
	Membership *Membership // nil: drivers don't track each other
	Zones      *Zones      // nil: each driver decides alone which zones serve reads of a failed zone
}

// Default returns the settings of an installation without a file.
func Default() File { return File{Log: Log{Format: "text", Level: slog.LevelInfo}} }

// Log is the block "log".
type Log struct {
	Format string     // "text" or "json"
	Level  slog.Level // the lowest level that is logged
}

// State is the block "state", which keeps learned state across restarts.
type State struct {
	Folder       string
	SaveInterval time.Duration // save_every
	LimitMB      int           // maximum size of all files together
	// MinSwitchTime (switch_least) is a lower bound on the duration of a primary switchover. 0: the time that the
	// platform gives drivers to stop sending to a member that drains.
	MinSwitchTime time.Duration
}

// Registry is the block "registry", whose label is the dialect.
type Registry struct {
	Dialect   string   // "etcd" or "consul"
	Endpoints []string // HTTP URLs
	Prefix    string   // prefix of the members' keys
	Service   string   // Consul: read the members from this service's instances; empty: read them from keys
	// CredentialsFile holds name:password (etcd) or a token (Consul). It is read for each connection; empty for none.
	CredentialsFile string
	CAFile          string        // certificates that sign those of the endpoints; empty for the system's
	FailoverAfter   time.Duration // take_over: discovery leads after this time without a message from the registry
	ConfirmAfter    time.Duration // confirm: delay of the list that must confirm one without most members
	DriversPrefix   string        // prefix of the keys by which drivers register themselves; empty: they don't
	LeaseTTL        time.Duration // lease: time to live of such a key
	WatchTimeout    time.Duration // silence: a watch without any message for this time is resumed
}

// Peers is the block "peers", which limits the messages between drivers.
type Peers struct {
	// MessagesPerSecond is the approximate number of messages that a driver receives from peers. 0: as on the platform,
	// where messages have a price, so the rate falls with the number of drivers.
	MessagesPerSecond int
}

// Control is the block "control": the addresses at which the topology manager's hooks, and peers, call the driver.
type Control struct {
	Socket    string   // a Unix socket for this machine
	Listen    string   // host:port for peers; empty for none
	Peers     []string // fellows: the peers' host:port
	TokenFile string   // a secret shared by the drivers
	HoldLease time.Duration
	MaxHold   time.Duration // most: maximum duration of a hold with all its renewals
	// ReleaseTimeout (opening): after a release the old primary stays drained for this time, or until another primary is
	// detected.
	ReleaseTimeout time.Duration
}

// Ledger is the block "ledger", which stores the outcomes of operations with an idempotency key.
type Ledger struct {
	Folder    string
	Retention time.Duration // keep: of a key, after its operation has finished
	MaxKeys   int           // maximum number of keys
	LimitMB   int           // maximum size of all files; keys and answers in memory use up to a quarter of it
}

// Fleet is the block "fleet": the shape of a deployment that differs from the platform's settings. A field that is
// omitted keeps the setting, so an empty block changes nothing.
type Fleet struct {
	Peers   *bool // false: drivers send each other no messages, even if the settings permit it
	Drivers int   // total number (the settings' siblings); 0 keeps the setting
	// OnlyDrainingBinds true: only members listed as draining must not receive new operations after the grace period.
	// Members that are listed as gone, or omitted, without having drained may still receive them. Nil: as in the
	// settings' rules.
	OnlyDrainingBinds *bool
}

// Membership is the block "membership", by which drivers detect which of them are alive.
type Membership struct {
	Listen         string        // IP:port, for UDP and TCP; outgoing sockets are bound to this IP
	Advertise      string        // IP:port at which peers reach this driver; empty: Listen
	Seeds          []string      // IP:port of peers
	TokenFile      string        // a secret shared by the drivers; empty: the control block's
	Zone           string        // empty: that of the platform's settings
	ProtocolPeriod time.Duration // period: interval between probes
	// ExpectedDrivers (expect) is the number of drivers required before they first agree on a roster. 0: the number in
	// the platform's settings or in the fleet block, and at least the number of seeds.
	ExpectedDrivers int
	TakeOverAfter   time.Duration // yield: delay after which a majority takes over the quota shares of lost drivers
	Folder          string        // stores the roster and this driver's votes on it; empty: they are not persisted
}

// Zones is the block "zones", by which drivers agree on which zones serve which reads. Percentages are whole numbers.
type Zones struct {
	Regions           []Region
	Voters            int
	HeartbeatInterval time.Duration // beat: of the leader
	PlanLease         time.Duration // lease: time for which a plan applies after it was known to be the newest
	Headroom          int           // percent of a zone's capacity that is reserved for the loss of another zone
	CrossZoneBudget   int           // budget: percent of all reads that may cross zones
	TargetLoad        int           // load: target utilization of the members by reads, in percent
	EjectAfter        time.Duration // doubt: a zone is ejected after it has failed for this time
	MinEjectionTime   time.Duration // away: minimum time before an ejected zone returns
	Webhook           string        // URL that is called for each requested move of a primary; empty: none
}

// Region groups zones that are near to each other.
type Region struct {
	Name  string
	Zones []string
}
