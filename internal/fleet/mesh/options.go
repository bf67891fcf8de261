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
	Advertise  string // host:port at which peers reach this driver; empty: the address that Listen was opened at
	Seeds      []string
	Secret     string // of the fleet; not empty
	RandomSeed uint64
	Run        uint64         // of the process; a later process of the same name has a higher one
	StateDir   string         // directory for votes; empty: votes do not survive a restart
	Now        func() float64 // monotonic clock, milliseconds
	Log        *slog.Logger

	// Options of membership; see membership.Options.
	Period          time.Duration
	ExpectedDrivers int // number of drivers required to bootstrap a roster
	TakeoverAfter   time.Duration

	// Gossip returns what this driver sends to peers: everything, for exchanges of snapshots, or the recent part. Nil
	// disables gossip.
	Gossip func(all bool) *Gossip
	// ReceiveGossip handles a peer's gossip. requestedAt is when it was requested, by Now, or -Inf if it was
	// unsolicited. It returns whether the gossip is to be spread (changed), and whether to ask the peer immediately
	// (request), because only requested gossip can confirm a zone plan.
	ReceiveGossip func(g *Gossip, requestedAt float64) (changed, request bool)
	// ReceivePayload handles the payload of a peer's Request and returns the answer. Nil: payloads are ignored.
	ReceivePayload func(from string, payload []byte) (answer []byte)
	// OnPartitionStatus is called with the status and the number of drivers when either changes.
	OnPartitionStatus func(status membership.PartitionStatus, drivers int)
	// OnEvent is called for each event and returns whether to log it. Nil: all events are logged.
	OnEvent func(event membership.Event) bool
}

const (
	retainEnded    = 10 * time.Minute // how long an ended driver that is not on the roster stays known
	maxDrivers     = 20000
	ticksPerPeriod = 10
)

// membershipOptions returns the options of the view. saved is the state saved by an earlier process, or nil.
func (o *Options) membershipOptions(persistent bool, saved *membership.SavedState) membership.Options {
	return membership.Options{
		Period:          milliseconds(o.Period),
		ExpectedDrivers: o.ExpectedDrivers,
		RetainFor:       milliseconds(retainEnded),
		MaxDrivers:      maxDrivers,
		TakeoverAfter:   milliseconds(o.TakeoverAfter),
		Persistent:      persistent,
		Saved:           saved,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
