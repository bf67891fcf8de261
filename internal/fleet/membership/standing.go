package membership

// This file owns what a driver may do in each standing: what it may not know decides, never what it can see. It must
// never let two parts of a fleet that can't reach each other both act as the larger one, or count drivers that may
// still be at work out of a share that all of them together must not exceed.

import (
	"math"

	"weirwind/internal/fleet/paxos"
	"weirwind/internal/util/enum"
)

// Standing is a driver's place in the fleet, by the roster that was agreed on.
type Standing uint8

// The standings, from the least that is known to the most.
const (
	Unsure  Standing = iota // too much is unknown, or two halves are alike
	Alone                   // it reaches nobody of the roster
	Smaller                 // it is with less than half
	Larger                  // it is with more than half
	Whole                   // it is with all
)

var standingNames = enum.Names{"unsure", "alone", "smaller", "larger", "whole"}

func (s Standing) String() string { return standingNames.Of(uint8(s)) }

// MarshalText gives a standing its name.
func (s Standing) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText takes a standing's name.
func (s *Standing) UnmarshalText(text []byte) error {
	return enum.Parse(standingNames, "standing", text, s)
}

// Act is something that several drivers could do to each other's harm.
type Act uint8

// What Allowed is asked for.
const (
	BeginHold   Act = iota // of a group's writes, or announce one
	RenewHold              // one that goes on
	EndHold                // release or abort it
	ChangeNames            // of the roster
	HonourDrain            // told by any peer, at any time
	ShrinkCount            // count fewer drivers than there were, since some have failed
	LearnRoles             // take a primary from a peer's word alone
)

// Allowed is the table of what holds in each standing (docs/membership.md). The reason is for the log and for who
// asked.
func Allowed(s Standing, a Act) (allowed bool, reason string) {
	switch a {
	case BeginHold: // hooks go on with the takeover when it was taken: most drivers must hear of it
		if s == Whole || s == Larger {
			return true, ""
		}
		return false, "not_with_the_larger_part"
	case RenewHold: // writes that wait break no rule, and the lease ends it
		return true, ""
	case EndHold: // each driver looks itself for who is primary
		return true, ""
	case ChangeNames, ShrinkCount:
		if s == Whole || s == Larger {
			return true, ""
		}
		return false, "not_with_the_larger_part"
	case HonourDrain: // too many drains lose capacity, one too few breaks a rule
		return true, ""
	case LearnRoles: // a member's own word decides, in every standing
		return false, "members_speak_for_themselves"
	}
	return false, "unknown"
}

// judge brings the standing up to date, where something has changed and from time to time.
func (f *Fleet) judge() {
	if f.judged == f.statesGen && f.now < f.judgeAt {
		return
	}
	f.judgeAt = f.now + lookEvery*f.rules.Period
	s, why := f.assess()
	if s != f.standing || why != f.why {
		f.statesGen++
	}
	if s != f.standing {
		f.stands = f.now
		f.note("standing", f.self.Name, s.String()+" "+why)
	}
	f.standing, f.why, f.judged = s, why, f.statesGen
}

func (f *Fleet) assess() (Standing, string) {
	switch {
	case f.leaving:
		return Unsure, "leaving"
	case f.contested > 0:
		return Unsure, "name_taken"
	case f.roster == nil:
		return Unsure, "no_roster"
	}
	others := 0 // that do not count as ended
	living, doubted, n := 0, 0, len(f.roster.Names)
	if f.roster.has(f.self.Name) {
		living++
	}
	for _, m := range f.list {
		if !m.State.ended() {
			others++
		}
		if !m.on {
			continue
		}
		switch m.State {
		case Alive:
			living++
		case Suspect:
			doubted++
		}
	}
	switch {
	case f.now < f.doubt || f.unproved && others > 0:
		return Unsure, "stood_still"
	case others > 0 && f.missed >= 4:
		return Unsure, "unheard"
	case f.behind > 0 && f.now-f.behind > 6*f.rules.Period:
		return Unsure, "behind"
	case living == n:
		return Whole, ""
	case 2*living > n && f.pendingLives():
		return Larger, ""
	case doubted == 0 && others == 0:
		return Alone, ""
	case 2*(living+doubted) > n:
		return Unsure, "suspects"
	case 2*(living+doubted) == n:
		return Unsure, "halves"
	}
	return Smaller, ""
}

// pendingLives says that a change which may have been decided without this driver's knowing has its majority here too.
func (f *Fleet) pendingLives() bool {
	if f.vote.Value == nil || f.version != f.roster.Version+1 || f.now-f.acceptedAt < roundPeriods*f.rules.Period {
		return true
	}
	next := f.after(f.vote.Value)
	names := f.names(false)
	who := map[string]bool{}
	for _, n := range names {
		who[n] = true
	}
	return paxos.Majority(next.Names, who)
}

// Standing is this driver's, why, and since when.
func (f *Fleet) Standing() (s Standing, why string, since float64) {
	return f.standing, f.why, f.stands
}

// Count is how many drivers there are, for shares that all of them together must not exceed: cold members, probes,
// words. One that has failed may only be cut off, and goes on with its share. Where the larger part takes it over,
// after Yield, the others have given half of theirs up by then: a of n count the harmonic mean of both, 2an/(a+n), the
// others 2n, so that all shares add up to one. Without a roster, or where nothing can be known, as many count as were
// ever expected.
func (f *Fleet) Count() int {
	if f.roster == nil {
		return max(f.rules.Expect, f.alive(), 1)
	}
	n, living := 0, 0
	if !f.roster.has(f.self.Name) {
		n, living = 1, 1
	}
	n += len(f.roster.Names)
	if f.roster.has(f.self.Name) {
		living++
	}
	for _, m := range f.list {
		on := m.on
		switch {
		case m.State == Left && on:
			n--
		case m.State == Left:
		case !m.State.ended():
			living++
			if !on {
				n++
			}
		}
	}
	n = max(n, 1)
	waited := f.now-max(f.stands, f.changed) >= max(f.rules.Yield, yieldLeast*f.rules.Period)
	switch shrink, _ := Allowed(f.standing, ShrinkCount); {
	case f.standing == Whole, f.why == "leaving":
		return n
	case shrink && waited && living < n:
		return int(math.Ceil(2 * float64(living) * float64(n) / float64(living+n)))
	case shrink:
		return n
	}
	return 2 * n
}

// yieldLeast, in periods, is longer than the slowest driver takes to find out that it is not with most.
const yieldLeast = 30

// View is what operators are shown of a peer.
type View struct {
	Name    string   `json:"name"`
	State   State    `json:"state"`
	Heard   bool     `json:"heard"` // by this driver itself
	Listed  bool     `json:"listed"`
	Address string   `json:"address"`
	Zone    string   `json:"zone,omitempty"`
	Run     uint64   `json:"run"`
	Inc     uint32   `json:"inc"`
	For     float64  `json:"for_ms"` // in this state
	Deaf    []string `json:"does_not_hear,omitempty"`
}

// Status is a driver's view as operators are shown it.
type Status struct {
	Self     string   `json:"self"`
	Standing Standing `json:"standing"`
	Reason   string   `json:"reason,omitempty"`
	For      float64  `json:"for_ms"`
	Count    int      `json:"count"` // of drivers, as the module is told
	Address  string   `json:"address"`
	Run      uint64   `json:"run"`
	Health   int      `json:"health"` // 0: well
	Roster   *Roster  `json:"roster"`
	Refused  int64    `json:"frames_refused"` // that could not be taken: another secret, or damaged
	Sent     int64    `json:"bytes_sent"`     // by UDP
	Drivers  []View   `json:"drivers"`
}

// Status gives the view as it is now.
func (f *Fleet) Status() Status {
	s := Status{Self: f.self.Name, Standing: f.standing, Reason: f.why, For: f.now - f.stands, Count: f.Count(),
		Address: f.self.Address,
		Run:     f.self.Run, Health: f.health, Roster: f.roster, Drivers: []View{}}
	for _, m := range f.list {
		s.Drivers = append(s.Drivers, View{Name: m.Name, State: m.State, Heard: !m.State.ended() && !m.deaf, Listed: m.on,
			Address: m.Address, Zone: m.Zone, Run: m.Run, Inc: m.Inc, For: f.now - m.since, Deaf: m.hears.Deaf})
	}
	return s
}

// State is what a driver is taken for; Left where it is not known.
func (f *Fleet) State(name string) State {
	if m := f.byName[name]; m != nil {
		return m.Record.State
	}
	return Left
}

// Address is where a peer is reached that does not count as ended; empty for none.
func (f *Fleet) Address(name string) string {
	if m := f.byName[name]; m != nil && !m.State.ended() {
		return m.Record.Address
	}
	return ""
}

// Living are the addresses of peers that do not count as ended.
func (f *Fleet) Living() (all []string) {
	for _, m := range f.list {
		if !m.State.ended() {
			all = append(all, m.Address)
		}
	}
	return all
}
