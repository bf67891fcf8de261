// Package group decides, for one replication group in one driver, where statements go.
//
// This file owns a group's members as a driver sees them: who may be sent what, what a read must have seen, who is
// doubted and who is to be probed. It does no I/O and reads no clock. docs/system.md tells what comes from the design.
package group

import (
	"math"
	"math/rand/v2"
	"slices"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/writerslot"
)

// Tuned values, in milliseconds unless said otherwise.
const (
	ProbeEvery  = 200.0 // design: probes while the slot is empty and something waits
	probeMost   = 800.0 // they grow to this
	doubtLeast  = 220.0 // nothing heard of the primary for so long while it owes answers: it is asked, and writes wait
	doubtTimes  = 6.0   // and so many usual times
	lagPause    = 400.0 // a replica that lacked a position is left out for so long
	asideFirst  = 250.0 // a member whose connections fail is left out for so long, then longer
	asideMost   = 2000.0
	youngCommit = 250.0  // a session's commit so young is looked for at the primary, unless a replica is known to have it
	sampleGap   = 50.0   // samples are kept no closer
	sampleKeep  = 5000.0 // and no longer
	stuckAfter  = 450.0  // a commit unanswered for so long while the member speaks: writes wait
	smooth      = 0.1
)

// Need is what a statement or a transaction demands.
type Need struct {
	Write bool // it goes to the primary
	Fresh bool // it reads, and must see all that was acknowledged before it began
	// Else it must see what was acknowledged before Since, and the session's own commit.
	Since    float64
	Commit   wire.Position
	CommitAt float64
}

// Choice is where it may go.
type Choice struct {
	Member *Member
	After  wire.Position // the member is asked to refuse if its log lacks this; none: not asked
	Prove  bool          // the member must prove that it leads, by a transaction round the read
}

// Member is one as this driver sees it.
type Member struct {
	directory.Member
	Position  wire.Position
	replicaAt float64
	InFlight  int
	heard     float64   // its last word here
	owes      []float64 // when what is unanswered was sent, oldest first
	commits   []float64 // those of them that wait for replicas, too
	took      float64   // smoothed time of answers
	laggedAt  float64
	aside     float64 // until when
	pause     float64
	distance  float64 // 0 same zone, 1 same region, 2 elsewhere
	probing   bool
	Doubted   bool
}

// Nearer says whether m is nearer than o; of equally near ones drivers differ.
func (m *Member) Nearer(o *Member) bool {
	return m.distance < o.distance || m.distance == o.distance && rand.IntN(2) == 0
}

type sample struct {
	asked float64
	pos   wire.Position
}

// Group is a replication group in one driver.
type Group struct {
	Svc     string
	Members map[string]*Member
	Slot    writerslot.Slot[string]
	Why     string // of the slot's last change
	samples []sample
	probeAt float64
	pauseP  float64
	near    func(zone string) float64
}

// NewGroup knows no member yet. near says how far a zone is: 0, 1 or 2.
func NewGroup(svc string, near func(zone string) float64) *Group {
	return &Group{Svc: svc, Members: map[string]*Member{}, Slot: writerslot.NewSlot[string](), near: near,
		pauseP: ProbeEvery}
}

// Learn takes a member's record as the list has it. known is false for what an own start found in the table, which says
// nothing of when it was said.
func (g *Group) Learn(r directory.Member, now float64) {
	m := g.Members[r.ID]
	if r.Tombstone {
		if m != nil {
			delete(g.Members, r.ID)
			g.drop(r.ID, now, "gone")
		}
		return
	}
	if m == nil {
		m = &Member{replicaAt: math.Inf(-1), laggedAt: math.Inf(-1), heard: now, distance: g.near(r.Zone), took: 20}
		g.Members[r.ID] = m
	}
	restarted := r.Incarnation > m.Incarnation && m.Incarnation > 0
	m.Member = r
	if restarted {
		m.aside = 0
	}
	switch {
	case r.Draining:
		g.drop(r.ID, now, "draining")
	case r.Role == directory.RolePrimary:
		g.primary(m, now, "beat", true)
	case r.Role == directory.RoleReplica:
		m.replicaAt = now
		g.drop(r.ID, now, "replica")
	}
}

func (g *Group) drop(id string, now float64, why string) {
	if g.Slot.Holder == id {
		g.Slot.Clear(now, false)
		g.Why, g.probeAt, g.pauseP = id+" "+why, now, ProbeEvery
	}
}

func (g *Group) primary(m *Member, when float64, by string, spoke bool) {
	if g.Slot.Takes(m.ID, when, m.replicaAt, m.Draining, spoke) {
		g.Slot.Fill(m.ID, when)
		g.Why = m.ID + " by " + by
		m.Doubted, m.aside = false, 0
		g.samples = nil // what another primary said covers nothing that this one acknowledges
	}
}

// Primary gives the slot's holder, nil for none.
func (g *Group) Primary() *Member {
	if g.Slot.Holder == "" {
		return nil
	}
	return g.Members[g.Slot.Holder]
}

// Choose says where a need may go now; nil member: it is held. avoid names members that it met trouble at.
func (g *Group) Choose(n *Need, now float64, room func(*Member) bool, avoid func(string) bool) Choice {
	p := g.Primary()
	if n.Write || n.Fresh {
		if p == nil || p.Doubted || !room(p) || n.Write && g.Stuck(now) {
			return Choice{}
		}
		return Choice{Member: p, Prove: n.Fresh}
	}
	after, covered := g.cover(n.Since)
	if covered && after.Less(n.Commit) {
		after = n.Commit
	}
	if covered {
		young := now-n.CommitAt < youngCommit && !n.Commit.IsZero()
		if m := g.companion(after, young, now, room, avoid); m != nil {
			return Choice{Member: m, After: after}
		}
	}
	if p == nil || p.Doubted || !room(p) {
		return Choice{}
	}
	if covered {
		return Choice{Member: p, After: after}
	}
	return Choice{Member: p, Prove: true}
}

// companion is the replica with fewest own requests in flight among those that are fresh enough as far as is known;
// distance counts as requests in flight, as what crosses regions is slow and dear.
func (g *Group) companion(after wire.Position, young bool, now float64, room func(*Member) bool,
	avoid func(string) bool) *Member {
	var best *Member
	cost, ties := 0.0, 0
	for _, m := range g.Members {
		if m.ID == g.Slot.Holder || m.Draining || now < m.aside || avoid(m.ID) || !room(m) {
			continue
		}
		if m.Position.Less(after) { // not known to have it: its check tells, unless it just did
			if young || now-m.laggedAt < lagPause {
				continue
			}
		}
		c := float64(m.InFlight) + []float64{0, 1, 3}[int(m.distance)]
		if m.Doubted {
			c += 8
		}
		switch {
		case best == nil || c < cost:
			best, cost, ties = m, c, 1
		case c == cost:
			if ties++; rand.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best
}

// cover gives a position that all acknowledged before since lies at or before.
func (g *Group) cover(since float64) (wire.Position, bool) {
	for _, s := range g.samples {
		if s.asked >= since {
			return s.pos, true
		}
	}
	return wire.Position{}, false
}

// Sample takes a position that the primary had when it was asked.
func (g *Group) Sample(asked float64, pos wire.Position) {
	if pos.IsZero() {
		return
	}
	if n := len(g.samples); n > 0 {
		if asked <= g.samples[n-1].asked || pos.Less(g.samples[n-1].pos) {
			return
		}
		if n > 1 && asked-g.samples[n-2].asked < sampleGap {
			g.samples = g.samples[:n-1]
		}
	}
	g.samples = append(g.samples, sample{asked, pos})
	for len(g.samples) > 1 && asked-g.samples[0].asked > sampleKeep {
		g.samples = g.samples[1:]
	}
}

// Sent notes a send; commit: its answer waits for replicas.
func (g *Group) Sent(m *Member, now float64, commit bool) {
	m.owes = append(m.owes, now)
	if commit {
		m.commits = append(m.commits, now)
	}
}

func without(list []float64, at float64) []float64 {
	if i := slices.Index(list, at); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// Word is what a member's answer says.
type Word uint8

const (
	Answered  Word = iota // as a member of any role may
	Led                   // as only a primary does
	NotLeader             // a read-only refusal: the design's miss
	Lagged                // its log lacks the position
	NoAnswer              // the connection ended or the time ran out
	CutOff                // no connection could be made
)

// Heard takes the end of a send.
func (g *Group) Heard(m *Member, sent, now float64, w Word, pos wire.Position) {
	m.owes, m.commits = without(m.owes, sent), without(m.commits, sent)
	if w == NoAnswer {
		return
	}
	if w == CutOff {
		if now-m.heard < asideFirst {
			return // it speaks on other connections: it has no room for more at the moment
		}
		m.pause = min(max(asideFirst, 2*m.pause), asideMost)
		m.aside = now + m.pause
		if g.Slot.Holder == m.ID {
			g.Slot.Clear(now, true)
			g.Why, g.probeAt, g.pauseP = m.ID+" takes no connection", now, ProbeEvery
		}
		return
	}
	m.heard, m.Doubted, m.aside, m.pause = now, false, 0, 0
	m.took += (now - sent - m.took) * smooth
	if m.Position.Less(pos) {
		m.Position = pos
	}
	switch w {
	case Led:
		g.primary(m, sent, "answer", true)
		if g.Slot.Holder == m.ID {
			g.Sample(sent, pos)
		}
	case NotLeader:
		m.replicaAt = now
		if g.Slot.Holder == m.ID && sent >= g.Slot.Seen {
			g.drop(m.ID, now, "miss")
		} else if g.Slot.Holder == m.ID {
			g.drop(m.ID, now, "miss, late")
		}
	case Lagged:
		m.laggedAt = now
	}
}

// Probed takes an answer to a probe.
func (g *Group) Probed(m *Member, sent, now float64, s wire.MemberStatus) {
	m.probing = false
	m.heard, m.Doubted, m.aside, m.pause = now, false, 0, 0
	if m.Position.Less(s.Received) && s.Primary {
		m.Position = s.Received
	}
	if !s.Primary {
		m.replicaAt = now
		g.drop(m.ID, now, "replica by probe")
		return
	}
	g.primary(m, sent, "probe", true)
	if g.Slot.Holder == m.ID {
		g.Sample(sent, s.Received)
	}
}

// Unprobed takes a probe that came to nothing.
func (g *Group) Unprobed(m *Member) { m.probing = false }

// Doubt looks whether the primary owes answers for too long. True: it is doubted from now on.
func (g *Group) Doubt(now float64) bool {
	p := g.Primary()
	if p == nil || p.Doubted || len(p.owes) == 0 {
		return false
	}
	if now-max(p.owes[0], p.heard) < max(doubtLeast, doubtTimes*p.took) {
		return false
	}
	p.Doubted = true
	g.probeAt, g.pauseP = now, ProbeEvery
	return true
}

// Usual is how long an answer of the primary takes of late, in milliseconds; of the slowest member while there is none.
func (g *Group) Usual() float64 {
	if p := g.Primary(); p != nil {
		return p.took
	}
	most := 0.0
	for _, m := range g.Members {
		most = max(most, m.took)
	}
	return most
}

// Stuck says that the primary answers, but for so long not a commit: its replicas may not receive what it writes.
func (g *Group) Stuck(now float64) bool {
	p := g.Primary()
	return p != nil && len(p.commits) > 0 && now-p.commits[0] > stuckAfter && p.heard > p.commits[0]+stuckAfter/2
}

// Owing says how long the oldest send is unanswered with nothing heard since, over all members that owe one; 0 for
// none.
func (g *Group) Owing(now float64) float64 {
	if p := g.Primary(); p != nil && len(p.owes) > 0 {
		return now - max(p.owes[0], p.heard)
	}
	return 0
}

// Probes gives whom to ask now, where something waits: the design's probes of a group with an empty slot, and of a
// primary that is doubted.
func (g *Group) Probes(now float64) []*Member {
	p := g.Primary()
	if now < g.probeAt || p != nil && !p.Doubted {
		return nil
	}
	g.probeAt = now + g.pauseP
	g.pauseP = min(g.pauseP*1.5, probeMost)
	var out []*Member
	for _, m := range g.Members {
		if !m.Draining && !m.probing && (p == nil || m == p) {
			m.probing = true
			out = append(out, m)
		}
	}
	return out
}
