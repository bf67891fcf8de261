package controlplane

// This file owns the tables: members, drivers' leases, the links of agents, and the successions while this machine leads.

import (
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/controlplane/failover"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/transport"
)

// Times of the soft state.
const (
	leaseFor     = 4 * time.Second
	memberKeep   = 60 * time.Second
	bindMost     = 3500.0 // milliseconds after which a drain binds, its lead handed over or not
	accuseFor    = 1500.0
	tickEvery    = 50 * time.Millisecond
	beatsEvery   = 300.0
	syncEvery    = 1000.0
	driversEvery = 500.0            // milliseconds between two lists of who came and went: each costs every agent a pass over its list
	askAgents    = 20 * time.Second // from its start a machine asks agents for the members that it lacks
)

type tables struct {
	h       *Server
	q       *commandqueue.Queue
	members *directory.Members
	leases  *directory.Leases
	agents  map[*link]string // by the driver's name
	differs map[*link]bool   // the agent's last renewal showed other members or drivers than it was told
	state   *config.State
	config  *config.Config
	cores   []string
	beats   []controlmsg.Heartbeat
	beatsAt float64
	syncAt  float64
	leaving map[string]float64

	untold map[string]bool // members whose records are told at the next tick

	drivers       []directory.Driver // as agents were told last
	driversDigest uint64             // of them
	driversAt     float64            // not told again before
	driversNew    bool

	leading     bool
	term        uint64
	successions map[string]*failover.Controller
	reports     map[string]map[string]report // by service and driver
	asker       *asker
	mover       *shardmap.Rebalancer
	moves       []movePoint        // the newest, for the page of progress
	granted     map[string]float64 // leases of sites, when they were granted last
	lives       map[string]uint64
	ledAt       float64
	contact     contactEdge
	calls       uint64                       // to the platform in this lead
	covered     map[config.RosterMember]bool // may leave the roster
	rosterAt    float64                      // when the roster may be proposed again
	partial     bool                         // a machine of the core is silent
	partialAt   float64                      // when that changed
}

type report struct {
	r  controlmsg.PrimaryReport
	at float64
}

func newTables(h *Server) *tables {
	t := &tables{h: h, q: commandqueue.New(h.ctx, 1024), members: directory.NewMembers(), leases: directory.NewLeases(),
		agents: map[*link]string{}, differs: map[*link]bool{}, untold: map[string]bool{}, leaving: map[string]float64{}, successions: map[string]*failover.Controller{}, reports: map[string]map[string]report{}, granted: map[string]float64{}, lives: map[string]uint64{},
		driversDigest: directory.DriversDigest(nil)}
	t.asker = newAsker()
	return t
}

func (t *tables) do(f func()) { t.q.Do(f) }

func (t *tables) run() { t.q.Run(tickEvery, t.tick) }

func (t *tables) tick() {
	now := t.h.now()
	t.watchContact(now)
	if t.tableComplete(now) {
		t.expire(now)
	}
	t.tellUntold()
	t.pushDrivers(now)
	for id, since := range t.leaving {
		m, ok := t.members.Get(id)
		switch {
		case !ok || !m.Leaving || m.Draining:
			delete(t.leaving, id)
		case m.Role != directory.RolePrimary || now-since > bindMost:
			t.bind(id)
		}
	}
	if now >= t.beatsAt {
		t.beatsAt = now + beatsEvery
		if t.beats != nil {
			t.h.sendCores(&controlmsg.Frame{Heartbeats: t.beats})
			t.beats = nil
		}
	}
	if now >= t.syncAt {
		t.syncAt = now + syncEvery
		d := t.digest()
		f := &controlmsg.Frame{Digest: &d}
		here := map[string]bool{} // each machine speaks of the drivers that renew at it
		for _, name := range t.agents {
			here[name] = true
		}
		for _, dr := range t.leases.Drivers() {
			if !here[dr.Name] {
				continue
			}
			f.Leases = append(f.Leases, controlmsg.DriverLease{Driver: dr, RemainingMs: t.leases.Expiry(dr.Name) - now})
		}
		t.h.sendCores(f)
	}
	if t.leading && t.contact.held { // one that is cut off is about to lead no longer
		t.step(now)
		t.move(now)
		t.lapseSites(now)
	}
}

// expire lets go of members and drivers that have been silent for too long.
func (t *tables) expire(now float64) {
	silent := t.members.Expire(now, ms(memberKeep))
	for _, m := range silent {
		t.h.log.Event(events.MemberGone, "member", m.ID, "why", "silent")
	}
	if silent != nil {
		t.spread(silent)
	}
	lapsed := t.leases.Expire(now)
	for _, d := range lapsed {
		t.h.log.Event(events.DriverLapsed, "driver", d.Name)
	}
	t.driversNew = t.driversNew || lapsed != nil
}

func (t *tables) digest() controlmsg.StateDigest {
	d := controlmsg.StateDigest{MembersHash: t.members.Digest(), DriversHash: t.leases.Digest()}
	if t.state != nil {
		d.ConfigVersion = t.state.Version
		if t.state.Shards != nil {
			d.ShardMapVersion = t.state.Shards.Version
		}
	}
	return d
}

// agreed takes the operator's word as the consensus loop knows it committed.
func (t *tables) agreed(book *config.State, news bool, cores []string) {
	t.cores = cores
	for _, ctl := range cores { // the settings name three: heartbeats and leases that come in elsewhere are told by the others
		t.h.reach(ctl)
	}
	if t.state != nil && book.Version < t.state.Version {
		return
	}
	shards := book.Shards != nil && (t.state == nil || t.state.Shards == nil || t.state.Shards.Version < book.Shards.Version)
	t.state = book
	if shards {
		t.push(&controlmsg.StateUpdate{ShardMap: book.Shards})
		t.move(t.h.now())
	}
	if !news {
		return
	}
	if cfg, err := config.Parse(book.Raw); err == nil {
		t.config = cfg
	}
	t.push(&controlmsg.StateUpdate{ConfigVersion: book.Version, Config: book.Raw, CoreAddrs: cores})
}

// push tells the agents that are linked here.
func (t *tables) push(n *controlmsg.StateUpdate) {
	if len(t.agents) == 0 {
		return
	}
	raw := transport.Encode(&controlmsg.Frame{Update: n})
	for l := range t.agents {
		l.SendEncoded(raw)
	}
}

// pushDrivers tells agents who came and went since they were told last, together: a list of all, at each, would cost the square
// of a fleet that starts together. Who missed it is told by its digest.
func (t *tables) pushDrivers(now float64) {
	if !t.driversNew || now < t.driversAt {
		return
	}
	t.driversNew, t.driversAt = false, now+driversEvery
	joined, left := directory.Diff(t.drivers, t.leases.Drivers())
	t.drivers, t.driversDigest = t.leases.Drivers(), t.leases.Digest()
	if joined != nil || left != nil {
		t.push(&controlmsg.StateUpdate{DriversAdded: joined, DriversRemoved: left})
	}
}

// spread tells agents and the other core machines of members.
func (t *tables) spread(ms []directory.Member) {
	n := &controlmsg.StateUpdate{Members: ms}
	t.push(n)
	t.h.sendCores(&controlmsg.Frame{Update: n})
}

// tellUntold tells the records that waited for the tick, as they are by now. When many members start, each agent is sent a frame a
// tick, not one for each of them.
func (t *tables) tellUntold() {
	var records []directory.Member
	for id := range t.untold {
		if m, ok := t.members.Get(id); ok {
			records = append(records, m)
		}
	}
	clear(t.untold)
	if records != nil {
		t.spread(records)
	}
}

// beat takes a member's own word.
func (t *tables) beat(rec directory.Member) {
	now := t.h.now()
	old, known := t.members.Get(rec.ID)
	m, fresh, changed := t.members.Heartbeat(rec, now, 3*ms(t.h.set.HeartbeatInterval))
	if !fresh {
		return
	}
	if !changed {
		if len(t.beats) < 1024 {
			t.beats = append(t.beats, controlmsg.Heartbeat{MemberID: m.ID, Incarnation: m.Incarnation, Seq: m.Seq})
		}
		return
	}
	if !known {
		t.h.log.Event(events.MemberNew, "member", m.ID, "svc", m.Service, "addr", m.Addr, "role", int(m.Role))
		t.endReplaced(m, now)
	} else if old.Role != m.Role {
		t.h.log.Event(events.MemberRole, "member", m.ID, "svc", m.Service, "role", int(m.Role))
	}
	t.noteLeaving(m, now)
	if !known || old.Role == m.Role && old.Leaving == m.Leaving {
		t.untold[m.ID] = true
		return
	}
	t.spread([]directory.Member{m}) // statements wait for a change of role or a drain
}

// noteLeaving lets the drain of a member that does not lead bind at once; who leads successions over first.
func (t *tables) noteLeaving(m directory.Member, now float64) {
	if !m.Leaving || m.Draining || m.Tombstone {
		return
	}
	if _, ok := t.leaving[m.ID]; !ok {
		t.leaving[m.ID] = now
		t.h.log.Event(events.MemberDrains, "member", m.ID, "svc", m.Service, "role", int(m.Role))
	}
	if m.Role != directory.RolePrimary {
		if b, ok := t.members.StartDraining(m.ID); ok {
			t.spread([]directory.Member{b})
		}
	}
}

func (t *tables) bind(id string) {
	if m, ok := t.members.StartDraining(id); ok {
		t.spread([]directory.Member{m})
	}
}

func (t *tables) leave(id string) {
	if m, ok := t.members.Leave(id, t.h.now()); ok {
		t.h.log.Event(events.MemberGone, "member", id, "why", "left")
		t.spread([]directory.Member{m})
	}
}

// lost notes that a link has ended.
func (t *tables) lost(l *link) {
	delete(t.agents, l)
	delete(t.differs, l)
}

// take takes a frame of another core machine or of an agent.
func (t *tables) take(l *link, f *controlmsg.Frame) {
	now := t.h.now()
	switch {
	case f.LeaseRenewal != nil:
		t.renew(l, f.LeaseRenewal, now)
	case f.Update != nil:
		t.merge(f.Update.Members, now)
	case f.Heartbeats != nil:
		for _, b := range f.Heartbeats {
			t.members.ObserveHeartbeat(b.MemberID, b.Incarnation, b.Seq, now)
		}
	case f.PrimaryReport != nil:
		t.report(f.PrimaryReport, now)
	case f.Digest != nil:
		changed := false
		for _, le := range f.Leases {
			changed = t.leases.Renew(le.Driver, now+min(le.RemainingMs, ms(leaseFor))) || changed
		}
		t.driversNew = t.driversNew || changed
		if !f.Digest.NoReply && f.Digest.MembersHash != t.members.Digest() { // whoever differs is told, on its own link; it tells what it has likewise
			l.Send(&controlmsg.Frame{Update: &controlmsg.StateUpdate{Members: t.members.Snapshot()}})
		}
	}
}

func (t *tables) merge(ms []directory.Member, now float64) {
	news := t.members.Merge(ms, now)
	for _, m := range news {
		t.noteLeaving(m, now)
	}
	if news != nil {
		t.push(&controlmsg.StateUpdate{Members: news})
	}
}

// renew prolongs a driver's lease and tells it what it lacks.
func (t *tables) renew(l *link, r *controlmsg.LeaseRenewal, now float64) {
	if r.Release {
		t.driversNew = t.leases.Release(r.Driver.Name, r.Driver.Incarnation) || t.driversNew
		return
	}
	age := t.h.contactAge()
	if r.Tentative && !t.contact.held {
		l.Send(&controlmsg.Frame{Update: &controlmsg.StateUpdate{QuorumContactAgeMs: &age}})
		return
	}
	_, linked := t.agents[l]
	t.agents[l] = r.Driver.Name
	if t.leases.Renew(r.Driver, now+ms(leaseFor)) {
		t.h.log.Event(events.DriverNew, "driver", r.Driver.Name)
		t.driversNew = true
		t.h.sendCores(&controlmsg.Frame{Digest: &controlmsg.StateDigest{MembersHash: t.members.Digest()}, Leases: []controlmsg.DriverLease{{Driver: r.Driver, RemainingMs: ms(leaseFor)}}})
	}
	n := &controlmsg.StateUpdate{QuorumContactAgeMs: &age}
	if t.contact.held || !linked {
		n.CoreAddrs = t.cores
	}
	d := t.digest()
	if t.state != nil && r.Digest.ConfigVersion < d.ConfigVersion {
		n.ConfigVersion, n.Config = t.state.Version, t.state.Raw
	}
	if r.Digest.ShardMapVersion < d.ShardMapVersion {
		n.ShardMap = t.state.Shards
	}
	// A renewal that crossed a change on its way differs too: an agent is sent all only on its link's first renewal, or where the next
	// one still differs.
	differed := !linked || t.differs[l]
	t.differs[l] = r.Digest.MembersHash != d.MembersHash || r.Digest.DriversHash != t.driversDigest
	if differed && r.Digest.MembersHash != d.MembersHash {
		n.Members = t.members.Snapshot()
	}
	switch {
	case !differed || r.Digest.DriversHash == t.driversDigest:
	case t.tableComplete(now):
		n.Drivers = t.drivers
	case !linked:
		n.DriversAdded = t.leases.Drivers()
	}
	f := &controlmsg.Frame{Update: n}
	if now < ms(askAgents) && r.Digest.MembersHash != d.MembersHash { // what was lost here is told by those who were told: also of members that are dead
		f.Digest = &controlmsg.StateDigest{ConfigVersion: r.Digest.ConfigVersion, MembersHash: d.MembersHash, NoReply: true}
	}
	l.Send(f)
}

func (t *tables) report(r *controlmsg.PrimaryReport, now float64) {
	if !t.leading {
		t.h.loop.do(func() {
			if leader, ok := t.h.loop.node.Leader(); ok && leader.Addr != t.h.set.ControlAddr {
				t.h.sendCore(leader.Addr, &controlmsg.Frame{PrimaryReport: r})
			}
		})
		return
	}
	if t.reports[r.Service] == nil {
		t.reports[r.Service] = map[string]report{}
	}
	t.reports[r.Service][r.Driver] = report{*r, now}
}
