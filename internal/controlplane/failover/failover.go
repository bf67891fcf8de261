// Package failover decides how a service gets another primary.
//
// This file owns the steps of a succession at the machine that leads the core. It does no I/O and reads no clock. It must never
// name a member whose log may lack an acknowledged commit: where that can't be known, it waits and says so.
//
// The invariant: when the platform is asked to promote a member, every commit that was acknowledged is in that member's log, and
// none is acknowledged until the call is carried out or void. It rests on three things:
//
//   - Who may hold a commit is known. The roster of a service is agreed on a majority of disks; a member on it of which this
//     machine knows nothing, or that has ended, is counted as a replica that has not answered. It leaves the roster only when it
//     is gone and covered: a position that the primary gave afterwards is at syncN other replicas (cover.go).
//   - Enough of them are paused and read, as the next paragraph says.
//   - A paused replica is let go only when no call can be carried out any more that was made before: the fence rises with every
//     call, and the newest one was answered (fence.go).
//
// A commit that was answered is on the primary and on syncN replicas. So a set of members holds all of them if it meets every
// set of syncN replicas: of n replicas, any n-syncN+1. Each of them is asked under PAUSE, so that nothing is answered on its
// receipt any more, and the one whose log goes furthest takes the lead. Where the old primary still leads (a planned end), all
// replicas but the successor are paused instead: what is answered from then on the successor has received, and what was answered
// before lies at or before the positions that the paused ones gave.
package failover

import (
	"cmp"
	"fmt"
	"slices"

	"weirwind/internal/dataplane/wire"
)

// Tuned values, in milliseconds.
const (
	watchEvery  = 500.0
	pressEvery  = 150.0 // questions while something is wrong
	darkAfter   = 1000.0
	refusedMost = 2      // connections refused in a row: it is dead
	noLeadFor   = 700.0  // nobody leads for so long
	againAfter  = 300.0  // a step that failed is taken again
	provesMost  = 3500.0 // a call that was answered shows within that
	proveAsk    = 450.0  // a call is not carried out sooner
	stepAfter   = 700.0
	silentLong  = 4000.0 // a member whose beats stopped is named last
	swapAfter   = 1500.0 // a successor that does not catch up gives its place to another
	nearReplica = 250.0
	accusedWait = 160.0 // a question unanswered for so long, with drivers that wait in vain
	accusedDark = 400.0
	stuckRounds = 400.0 // replicas stand still behind a primary that goes on
	contEvery   = 2000.0
	settle      = 900.0   // a new leader begins nothing: a call of the one before may still be carried out
	pauseHolds  = 900.0   // a replica that restarts forgets its pause: it is asked again so often
	unknownLong = 20000.0 // agents and other core machines tell of a member within that, where any of them knows it
	fenceAgain  = 500.0   // a fencing call that failed is made again
	coverEvery  = 250.0   // questions while a member that has ended is not covered
	coverLong   = 3000.0  // after which they are fewer
	coverSeldom = 2000.0
)

// Member is what is known of one.
type Member struct {
	ID             string
	Generation     string
	Primary        bool // by its own last word
	Replica        bool
	Draining       bool
	Absent         bool    // on the roster, but no question can be put to it: it has ended, or nothing is known of it here
	Departed       bool    // Absent, as it left or was silent for long
	Unlisted       bool    // not on the roster yet: it is not named
	SinceHeartbeat float64 // milliseconds since its last beat
	Distance       float64 // from the old primary's zone, to choose among equals
}

// View is a service at a moment.
type View struct {
	Service             string
	SyncReplicas        int
	Members             []Member // those that are there, and those on the roster
	MembershipUncertain bool     // members may beat at machines of the core that this one doesn't hear: there may be replicas that it doesn't know
	Drivers             int
	SuspectReports      int // drivers that wait for the primary in vain
	StallReports        int // drivers that it answers, but no commit
	HealthyReports      int // drivers that hear it
}

// Action is a thing to be done.
type Action struct {
	Kind   ActionKind
	ID     string
	Term   uint64 // PAUSE
	Reason string
}

// ActionKind of it.
type ActionKind uint8

const (
	QueryStatus       ActionKind = iota // ask its state
	PauseReplication                    // keep it from receiving
	ResumeReplication                   // let it receive again
	Promote                             // the platform is asked to make it the primary
	EnforceDrain                        // the old primary (ID) leads no longer: its drain may bind
	Log                                 // for the log
	StepDown                            // it leads no longer, by its own word
	AllowRemoval                        // it has ended and held nothing alone: it may leave the roster
)

type phase uint8

const (
	watching phase = iota
	freezing       // replicas are paused and read
	catching       // the successor catches up with those paused
	calling
	proving
	fencing  // the platform is asked to leave the primary as it is, which voids calls that were made before
	settling // what it accepted before that shows
)

var phaseNames = [...]string{"watching", "freezing", "catching", "calling", "proving", "fencing", "settling"}

// Controller is the state for one.
type Controller struct {
	phase   phase
	since   float64 // of the phase
	primary string  // who is taken to lead
	old     string  // whom the succession is from
	planned bool
	next    string // whom it names
	facts   map[string]*fact
	askAt   float64
	term    uint64
	noLead  float64 // since when nobody leads; 0: somebody does
	said    string
	start   float64 // of this lead
	called  bool    // the platform may carry out a call still
	open    bool    // a call of its own got no clear answer
	fenced  bool    // no call that was made before can be carried out any more
	covers  map[string]*cover
	coverAt float64 // of the next questions
	stepped bool    // the old primary has stepped down: it holds all that was ever answered
	oldPos  wire.Position
	bound   bool // its drain was let bind
	stuck   bool // the old primary speaks, but commits nothing: its word does not end the succession
	behind  map[string]wire.Position
	pressAt float64
	standAt float64 // since when they stand
	tried   map[string]bool
	out     []Action
}

// New starts a watch. The machine has just begun to lead: replicas that another leader paused are let go.
func New(now float64) *Controller { return &Controller{facts: map[string]*fact{}, start: now} }

// State is a line for operators.
func (s *Controller) State() string {
	if s.phase == watching {
		return "watching " + cmp.Or(s.primary, "for a primary")
	}
	return fmt.Sprintf("%s: %s after %s", phaseNames[s.phase], cmp.Or(s.next, "?"), cmp.Or(s.old, "?"))
}

func (s *Controller) act(k ActionKind, id, why string) {
	s.out = append(s.out, Action{Kind: k, ID: id, Term: s.term, Reason: why})
}

func (s *Controller) say(why string) {
	if why != s.said {
		s.said = why
		s.act(Log, "", why)
	}
}

func (s *Controller) enter(p phase, now float64) { s.phase, s.since, s.askAt = p, now, now }

// Step takes the view and gives what is to be done.
func (s *Controller) Step(v *View, now float64) []Action {
	s.out = nil
	for id := range s.facts {
		if !slices.ContainsFunc(v.Members, func(m Member) bool { return m.ID == id }) {
			delete(s.facts, id)
		}
	}
	switch s.phase {
	case watching:
		s.watch(v, now)
	case freezing:
		s.freeze(v, now)
	case catching:
		s.catch(v, now)
	case calling:
		s.awaitCall(v, now)
	case proving:
		s.prove(v, now)
	case settling:
		s.settled(v, now)
	}
	s.cover(v, now)
	return s.out
}
