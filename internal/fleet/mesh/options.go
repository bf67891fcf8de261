package mesh

import (
	"log/slog"
	"net/netip"
	"time"

	"weirwind/internal/fleet/membership"
)

// Options configure a mesh. Name, Listen, Secret, Period, Now and Log are required.
type Options struct {
	Name       string
	Zone       string
	Listen     netip.AddrPort
	Advertise  string // host:port at which peers reach this driver; empty: Listen as it was opened
	Seeds      []string
	Secret     string // of the fleet; not empty
	RandomSeed uint64
	Run        uint64         // of the process: a later one of the name has a higher one
	StateDir   string         // where votes outlive the process; empty: nowhere
	Now        func() float64 // milliseconds; never steps
	Log        *slog.Logger

	// Options of membership; see there.
	Period          time.Duration
	ExpectedDrivers int // before the drivers have agreed on a roster
	TakeoverAfter   time.Duration

	// Gossip gives what this driver sends peers: all of it, along with complete states, or the recent part. Nil: no
	// gossip.
	Gossip func(all bool) *Gossip
	// ReceiveGossip takes a peer's. requestedAt is when it was asked for, by Now, and -Inf where it came unasked.
	// changed: it is to be passed on. request: the peer is to be asked at once, as what it says then counts for more.
	ReceiveGossip func(g *Gossip, requestedAt float64) (changed, request bool)
	// ReceivePayload takes what a peer sent by Request, and gives what goes back. Nil: nothing is taken.
	ReceivePayload func(from string, payload []byte) (answer []byte)
	// OnPartitionStatus is notified of the status and of the count of drivers, when they change.
	OnPartitionStatus func(status membership.PartitionStatus, drivers int)
	// OnEvent sees each event; false keeps it out of the log. Nil: all are logged.
	OnEvent func(event membership.Event) bool
}

const (
	retainLeft     = 10 * time.Minute // that a driver which left is remembered
	maxDrivers     = 20000
	ticksPerPeriod = 10
)

// membershipOptions are those of the view. saved is what an earlier process saved; nil for nothing.
func (o *Options) membershipOptions(persistent bool, saved *membership.SavedState) membership.Options {
	return membership.Options{
		Period:          milliseconds(o.Period),
		ExpectedDrivers: o.ExpectedDrivers,
		RetainFor:       milliseconds(retainLeft),
		MaxDrivers:      maxDrivers,
		TakeoverAfter:   milliseconds(o.TakeoverAfter),
		Persistent:      persistent,
		Saved:           saved,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
