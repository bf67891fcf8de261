package membership

// This file owns the view: what is known of each driver, the passing of time, and which message leads where.

import (
	"math/rand/v2"
	"slices"
)

// Options are what a driver goes by.
type Options struct {
	Period          float64     // between two probes of a driver that is well
	ExpectedDrivers int         // drivers that there are to be, before they have agreed on a roster
	RetainFor       float64     // one that has ended and is on no roster is remembered for so long
	MaxDrivers      int         // drivers that are known at most
	TakeoverAfter   float64     // a larger part takes over the share of who is lost after so long (see Count)
	Persistent      bool        // votes and rosters outlive the process: Out.Save is safe before what goes with it is sent
	Saved           *SavedState // what an earlier run saved last; nil for none
}

// In periods, where nothing else is said.
const (
	directProbeShare    = 0.4 // of the period: an answer by then, or others are asked
	nackShare           = 0.3 // who is asked says after so long that there is no answer
	indirectProbes      = 3   // are asked
	minSuspicion        = 3.0 // with as many that confirm it as count
	maxSuspicion        = 9.0 // with none
	maxConfirmations    = 2   // count
	lastProbeBefore     = 2.5 // before a suspicion that few confirm is certain, whom it is about is asked straight
	suspicionCheckers   = 4.0 // look at one that another suspects, about
	maxRechecks         = 4
	maxHealth           = 4    // how much of a driver's slowness it blames on itself
	pauseAfter          = 1.5  // between two ticks: it stood still
	gossipInterval      = 0.2  // while there is news
	gossipFanout        = 2    // peers at a time
	checkInterval       = 0.2  // at what changes slowly
	viewsSettleAfter    = 3.0  // views that differ though nothing was news for so long are exchanged
	maxBroadcastBacklog = 64   // drivers that there is news of
	syncInterval        = 3.0  // between exchanges begun by one driver
	minUnreachableAfter = 5.0  // unheard for so long, and longer the more peers there are, up to deafMost
	maxUnreachableAfter = 60.0 //
	maxRelays           = 256
	recentlyHeard       = 4.0 // it lives, whatever others say
	maxReprobes         = 4   // probes more, a period apart, to one that did not answer straight, before it counts as not heard
)

// peer is what is known of a peer.
type peer struct {
	Record
	stateSince   float64 // in its state
	lastCounter  uint64  // of its newest message that came straight from it
	lastDirect   float64 // when that came
	unanswered   bool    // the last probe straight to it was not answered
	reprobes     int     // made since
	nextReprobe  float64 // the next one
	unreachable  bool    // it is not heard, though it is said to live
	reachability Reachability

	suspectedAt    float64         // of the suspicion
	suspicionScale float64         // by how unwell this driver was then
	accusers       map[string]bool // who confirmed it
	aliveSince     float64         // first known of, in this run
	onRoster       bool            // the roster that holds
	nextSync       float64         // no exchange with it before

	nextAccusation float64 // no word to it of what is said of it before
}

// probe is the one that is out.
type probe struct {
	name                 string
	id                   uint64
	sentAt               float64
	indirectAt, deadline float64
	indirect             bool
	helpers, nacks       int
}

// relay is a probe made for a peer.
type relay struct {
	requester, target string
	probeID           uint64
	expiresAt         float64
}

// broadcast is word that still goes round.
type broadcast struct {
	record        Record
	reachability  *Reachability
	transmissions int
	superseded    bool // another one has taken its place
}

// Fleet is one driver's view. It is not safe for use by several goroutines at a time.
type Fleet struct {
	options         Options
	random          *rand.Rand
	self            Record
	counter         uint64
	probeSeq        uint64
	peers           []*peer // by name
	peersByName     map[string]*peer
	seeds           []string
	recheck         []string // whom others suspect and this driver is to look at as well
	probe           *probe
	relays          map[uint64]*relay
	broadcasts      []*broadcast // by how often they were sent
	spareBroadcasts []*broadcast
	broadcastsAbout map[string][]*broadcast // those that are not dead, by whom they are about
	health          int
	reachability    Reachability

	now, lastTick, nextProbe, nextGossip, nextSeedSync, nextSync, nextRosterTick, nextReap, nextReachabilityCheck, nextAssessment float64
	// the set of those that live; anything
	liveSetChangedAt, lastNews float64
	viewHash                   uint64

	missedProbes   int     // probes in a row that nobody answered
	uncertainUntil float64 // it stood still: until then it can't know
	unconfirmed    bool    // and until a peer has answered
	nameTakenAt    float64 // its name is another's, as it was told last then
	nameOwner      string  // whose address that is
	warnedAt       map[string]float64

	rosterConsensus
	partition         PartitionStatus
	partitionReason   string
	partitionSince    float64 // since when
	leaving           bool
	rosterBehindSince float64 // since when a peer holds a newer roster
	pending           Output
	stateVersion      uint64
	assessedVersion   uint64  // statesGen when the standing was last looked at
	suspects          []*peer // those that are suspected are among them
}

// randomStream keeps a driver's draws here apart from others made from the same seed.
const randomStream = 0x6d656d62

// New makes the view of a driver that starts. Its record names it, its run and its address; seeds are addresses of
// peers.
func New(now float64, r Options, self Record, seeds []string, seed uint64) *Fleet {
	f := &Fleet{
		options:          r,
		random:           rand.New(rand.NewPCG(seed, randomStream)),
		self:             self,
		peersByName:      map[string]*peer{},
		relays:           map[uint64]*relay{},
		broadcastsAbout:  map[string][]*broadcast{},
		now:              now,
		lastTick:         now,
		liveSetChangedAt: now,
		lastNews:         now,
		warnedAt:         map[string]float64{},
		partitionSince:   now,
		partition:        Undetermined,
		partitionReason:  "no_roster",
		viewHash:         processHash(self.Name, self.Run),
		reachability:     Reachability{Name: self.Name, Run: self.Run},
	}
	f.restore(r.Saved)
	f.probeSeq = f.random.Uint64() >> 2 // answers to an earlier run are not taken for ones to this
	f.nextProbe = now + f.options.Period*f.random.Float64()
	f.SetSeeds(seeds)
	return f
}

// SetSeeds takes the addresses at which peers may be found; they are tried at once.
func (f *Fleet) SetSeeds(all []string) {
	f.seeds = slices.DeleteFunc(slices.Clone(all), func(a string) bool { return a == f.self.Address })
	f.nextSeedSync = f.now
}

// SetPeriod takes another period.
func (f *Fleet) SetPeriod(period float64) { f.options.Period = period }

func (f *Fleet) takeOutput() (out Output) {
	f.pending.Save = f.save()
	out, f.pending = f.pending, Output{}
	return out
}

func (f *Fleet) emit(reason, name, text string) {
	f.pending.Events = append(f.pending.Events, Event{reason, name, text})
}

// Tick lets time pass. It is to be called several times a period; a gap is time in which this driver stood still.
func (f *Fleet) Tick(now float64) Output {
	p := f.options.Period
	f.advance(now)
	f.lastTick = now
	if f.leaving {
		f.gossip()
		return f.takeOutput()
	}
	f.advanceProbe()
	if now >= f.nextProbe && f.probe == nil {
		f.nextProbe = max(f.nextProbe+p, now+p/2) + 0.25*p*float64(f.health)
		f.startProbe()
		f.probeFailedPeer()
	}
	for seq, r := range f.relays {
		if now >= r.expiresAt {
			delete(f.relays, seq)
		}
	}
	f.advanceSuspicions()
	if now >= f.nextReachabilityCheck {
		f.nextReachabilityCheck = now + checkInterval*p
		f.checkReachability()
	}
	if now >= f.nextReap {
		f.nextReap = now + 4*p
		f.reapEnded()
	}
	if now >= f.nextGossip {
		f.nextGossip = now + gossipInterval*p
		f.gossip()
	}
	if now >= f.nextSeedSync {
		f.syncWithSeed()
	}
	if f.nameTakenAt > 0 && now-f.nameTakenAt > 12*p {
		f.nameTakenAt = 0
		f.broadcastRecord(f.self)
	}
	if now >= f.nextRosterTick {
		f.nextRosterTick = now + checkInterval*p
		f.tickRoster()
	}
	f.updatePartition()
	return f.takeOutput()
}

// advance brings the time up to date, and sees a gap since the last tick, whatever comes first behind it.
func (f *Fleet) advance(now float64) {
	if gap := now - f.lastTick; gap > pauseAfter*f.options.Period {
		f.lastTick = now
		f.resumeAfterPause(now, gap)
	}
	f.now = max(f.now, now)
}

// Receive takes a message. What a stranger under a peer's name or address says of itself counts for nothing.
func (f *Fleet) Receive(now float64, m Message) Output {
	f.advance(now)
	if !m.From.valid() || len(m.Records) > maxRecords || len(m.Reachability) > maxRecords ||
		m.From.Name == f.self.Name && m.From.Run == f.self.Run {
		return f.takeOutput()
	}
	f.applyRecord(m.From)
	from := f.peersByName[m.From.Name]
	if from != nil && from.Run == m.From.Run && m.Counter > from.lastCounter {
		from.lastCounter, from.lastDirect = m.Counter, f.now
		f.setReachable(from, true)
	}
	known := from != nil && from.Run == m.From.Run
	for _, r := range m.Records {
		f.applyRecord(r)
	}
	for i := range m.Reachability {
		f.receiveReachability(m.Reachability[i])
	}
	if f.leaving {
		return f.takeOutput()
	}
	var back []Record // of the sender, where it should know better
	if from != nil && (from.State != Alive || from.Run != m.From.Run) {
		back = []Record{from.Record}
	}
	switch m.Kind {
	case Ping:
		if m.Target == f.self.Name {
			f.send(m.From.Address, Message{Kind: Ack, ProbeID: m.ProbeID, Target: f.self.Name, Records: back})
			back = nil
		}
	case PingRequest:
		if known {
			f.receiveAsk(m)
		}
	case Ack:
		f.receiveAck(m)
	case Nack:
		if p := f.probe; p != nil && p.id == m.ProbeID {
			p.nacks++
		}
	}
	if back != nil && m.Kind != Ack { // an answer to an answer could go on for ever
		f.send(m.From.Address, Message{Kind: Gossip, Target: m.From.Name, Records: back})
	}
	if m.Vote != nil {
		f.receiveVote(m.From.Name, m.From.Address, *m.Vote)
	}
	if m.DecidedChange != nil {
		f.receiveDecided(*m.DecidedChange)
	}
	f.compareViews(from, m)
	f.updatePartition()
	return f.takeOutput()
}

// receiveAsk probes another driver for a peer.
func (f *Fleet) receiveAsk(m Message) {
	if len(f.relays) >= maxRelays || m.Target == f.self.Name || len(m.TargetAddress) > maxNameBytes {
		return
	}
	f.probeSeq++
	f.relays[f.probeSeq] = &relay{requester: m.From.Address, target: m.Target, probeID: m.ProbeID, expiresAt: f.now + 2*f.options.Period}
	f.send(m.TargetAddress, Message{Kind: Ping, ProbeID: f.probeSeq, Target: m.Target})
	if t := f.peersByName[m.Target]; t == nil || t.lastDirect < f.now-nackShare*f.options.Period {
		f.send(m.From.Address, Message{Kind: Nack, ProbeID: m.ProbeID, Target: m.Target})
	}
}

// receiveAck takes an answer to a probe, this driver's own or one that it made for a peer.
func (f *Fleet) receiveAck(m Message) {
	if r := f.relays[m.ProbeID]; r != nil && r.target == m.Target {
		delete(f.relays, m.ProbeID)
		f.send(r.requester, Message{Kind: Ack, ProbeID: r.probeID, Target: r.target, Records: []Record{m.From}})
	}
	if p := f.probe; p != nil && p.id == m.ProbeID && p.name == m.Target {
		f.probe = nil
		f.probeAnswered()
		if t := f.peersByName[p.name]; t != nil && m.From.Name == p.name {
			t.unanswered = false
		}
	}
}

// Leave tells peers that this driver goes on purpose. Ticks from then on only spread that.
func (f *Fleet) Leave(now float64) Output {
	f.now = max(f.now, now)
	if !f.leaving {
		f.leaving, f.nextAssessment = true, 0
		f.self.State = Left
		f.broadcastRecord(f.self)
		told := map[string]bool{}
		for range 2 * indirectProbes {
			if m := f.randomPeer(func(m *peer) bool { return !m.State.ended() && !told[m.Name] }); m != nil {
				told[m.Name] = true
				f.send(m.Address, Message{Kind: Gossip, Target: m.Name})
			}
		}
		f.emit("leaving", f.self.Name, "")
		f.updatePartition()
	}
	return f.takeOutput()
}
