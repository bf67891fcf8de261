package operator

// This file owns what a file may say: one type a block.

import (
	"log/slog"
	"time"
)

// File is what an operators' file says, defaults filled in. The zero File is not one: use Default.
type File struct {
	Log   Log
	State *State // nil: nothing is kept on disk
	// Registry is where members stand beside the platform's discovery; nil for nowhere.
	Registry *Registry
	Peers    Peers
	Control  *Control // nil: no socket for hooks
	Ledger   *Ledger  // nil: outcomes of ops are not kept
	Fleet    *Fleet   // nil: the deployment's shape is as the platform's settings say
	// Membership is the drivers' own knowledge of each other; nil: they have none.
	Membership *Membership
	// Zones has drivers decide in common how zones stand in for each other; nil: each driver decides alone.
	Zones *Zones
}

// Membership is the block "membership": drivers find out who of them is there.
type Membership struct {
	Listen         string   // IP:port, for UDP and TCP; outgoing sockets are bound to this IP
	Advertise      string   // IP:port at which fellows reach this driver; empty: Listen
	Seeds          []string // IP:port of fellows
	TokenFile      string   // a secret that drivers show each other; empty: that of the control block
	Zone           string   // empty: the platform's
	ProtocolPeriod time.Duration
	// Expect is how many drivers there are to be before they first agree on a roster. 0: as many as the platform or the
	// fleet block says, and no fewer than the seeds.
	ExpectedDrivers int
	// Yield: a larger part takes over the share of those that it lost after so long.
	TakeOverAfter time.Duration
	// Folder keeps the roster and this driver's votes on it, for its next process. Empty: nothing is kept.
	Folder string
}

// Zones is the block "zones": drivers that know each other agree on which zones serve whose reads.
type Zones struct {
	Regions           []Region
	Voters            int
	HeartbeatInterval time.Duration // between two looks of who leads
	PlanLease         time.Duration // a plan holds for so long after it was certainly the newest
	Headroom          int           // percent of a zone's room kept for one more loss
	CrossZoneBudget   int           // percent of all reads that may cross between zones
	TargetLoad        int           // percent of what members can do that reads take usually
	EjectAfter        time.Duration // a loss lasts so long before a zone is taken out
	MinEjectionTime   time.Duration // least stay before it returns
	Webhook           string        // called with each move of a primary that is asked for; empty: none
}

// Region is one with its zones, nearer to each other than to others.
type Region struct {
	Name  string
	Zones []string
}

// Fleet is the block "fleet": the shape of a deployment where it is not what the platform's settings say. Each
// field left out keeps the settings' own value, so a file without the block changes nothing.
type Fleet struct {
	// Peers false: drivers share nothing and send each other no word, even where the settings allow it.
	Peers *bool
	// Drivers is how many drivers there are in all (the settings' siblings); 0 keeps the settings' figure.
	Drivers int
	// DrainingBinds true: only a member listed as draining must get nothing new after the grace; one listed as
	// gone, or left out of the list, without a drain before it may still be sent to. Nil: as the settings' rules.
	OnlyDrainingBinds *bool
}

// Ledger is the block "ledger": outcomes of ops that name a key and must not run twice.
type Ledger struct {
	Folder    string
	Retention time.Duration // behind its end a key is remembered for so long
	MaxKeys   int           // at a time
	LimitMB   int           // of all files together; keys and answers in memory take up to a quarter of it
}

// Control is the block "control": where hooks of the topology manager speak to the driver, and drivers to each other.
type Control struct {
	Socket    string   // a Unix socket for this machine
	Listen    string   // host:port for fellow drivers; empty for none
	Peers     []string // their host:port
	TokenFile string   // a secret that drivers show each other
	// Lease is that of a hold that names none; Most of one with all its renewals. Opening: behind a release the old
	// primary stays out for so long, if nobody else is seen as primary.
	HoldLease, MaxHold, ReleaseTimeout time.Duration
}

// Peers is the block "peers": the word between drivers.
type Peers struct {
	// Messages is how many of fellow drivers one takes a second, about. 0: the fewer the more drivers there are, as on
	// the platform, where messages have a price.
	MessagesPerSecond int
}

// Registry is the block "registry", whose label is the dialect.
type Registry struct {
	Dialect   string   // "etcd" or "consul"
	Endpoints []string // URLs, http or https
	Prefix    string   // of the members' keys
	Service   string   // consul: members are a service's instances, with their health, instead of keys
	// CredentialsFile holds name:password (etcd) or a token (consul); read anew for each connection. Empty for none.
	CredentialsFile string
	CAFile          string        // certificates that sign the endpoints'; empty for the system's
	FailoverAfter   time.Duration // so long after the registry fell silent discovery leads
	ConfirmAfter    time.Duration // a list that lost most members must say so again after so long
	// DriversPrefix is where drivers announce themselves and find their fellows; empty: they don't.
	DriversPrefix string
	LeaseTTL      time.Duration // of an announcement
	WatchTimeout  time.Duration // a watch that gives no sign for so long is left and resumed
}

// Log is the block "log".
type Log struct {
	Format string     // "text" or "json"
	Level  slog.Level // the least that is written
}

// State is the block "state": where learned state is kept across restarts.
type State struct {
	Folder       string
	SaveInterval time.Duration
	LimitMB      int // of all files together
	// SwitchLeast: no change of a primary takes less. 0: as long as the platform gives drivers to stop sending to a
	// member that drains.
	MinSwitchTime time.Duration
}

// Default is what holds where there is no file.
func Default() File { return File{Log: Log{Format: "text", Level: slog.LevelInfo}} }
