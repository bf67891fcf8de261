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
	directShare  = 0.4 // of the period: an answer by then, or others are asked
	nackShare    = 0.3 // who is asked says after so long that there is no answer
	helpers      = 3   // are asked
	suspectLeast = 3.0 // with as many that confirm it as count
	suspectMost  = 9.0 // with none
	confirmers   = 2   // count
	askBefore    = 2.5 // before a suspicion that few confirm is certain, whom it is about is asked straight
	checkers     = 4.0 // look at one that another suspects, about
	maxChecks    = 4
	healthMost   = 4    // how much of a driver's slowness it blames on itself
	stillAfter   = 1.5  // between two ticks: it stood still
	gossipEvery  = 0.2  // while there is news
	gossipTo     = 2    // peers at a time
	lookEvery    = 0.2  // at what changes slowly
	quietFor     = 3.0  // views that differ though nothing was news for so long are exchanged
	backlog      = 64   // drivers that there is news of
	exchangeGap  = 3.0  // between exchanges begun by one driver
	deafLeast    = 5.0  // unheard for so long, and longer the more peers there are, up to deafMost
	deafMost     = 60.0 //
	maxRelays    = 256
	heardLately  = 4.0 // it lives, whatever others say
	straight     = 4   // probes more, a period apart, to one that did not answer straight, before it counts as not heard
)

// member is what is known of a peer.
type member struct {
	Record
	since  float64 // in its state
	count  uint64  // of its newest message that came straight from it
	fresh  float64 // when that came
	silent bool    // the last probe straight to it was not answered
	tries  int     // made since
	again  float64 // the next one
	deaf   bool    // it is not heard, though it is said to live
	hears  Reachability

	began float64         // of the suspicion
	scale float64         // by how unwell this driver was then
	by    map[string]bool // who confirmed it
	met   float64         // first known of, in this run
	on    bool            // the roster that holds
	later float64         // no exchange with it before

	accused float64 // no word to it of what is said of it before
}

// probe is the one that is out.
type probe struct {
	name          string
	seq           uint64
	began         float64
	direct, until float64
	asked         bool
	expect, nacks int
}

// relay is a probe made for a peer.
type relay struct {
	to, about string
	seq       uint64
	until     float64
}

// update is word that still goes round.
type update struct {
	record Record
	hears  *Reachability
	sent   int
	dead   bool // another one has taken its place
}

// Fleet is one driver's view. It is not safe for use by several goroutines at a time.
type Fleet struct {
	rules   Options
	random  *rand.Rand
	self    Record
	count   uint64
	seq     uint64
	list    []*member // by name
	byName  map[string]*member
	seeds   []string
	check   []string // whom others suspect and this driver is to look at as well
	probe   *probe
	relays  map[uint64]*relay
	updates []*update // by how often they were sent
	spare   []*update
	going   map[string][]*update // those that are not dead, by whom they are about
	health  int
	hears   Reachability

	now, ticked, probeAt, gossipAt, seedAt, exchangeAt, rosterAt, reapAt, lookAt, judgeAt float64
	// the set of those that live; anything
	changed, news float64
	view          uint64

	missed    int     // probes in a row that nobody answered
	doubt     float64 // it stood still: until then it can't know
	unproved  bool    // and until a peer has answered
	contested float64 // its name is another's, as it was told last then
	holder    string  // whose address that is
	warned    map[string]float64

	rosterConsensus
	standing  PartitionStatus
	why       string
	stands    float64 // since when
	leaving   bool
	behind    float64 // since when a peer holds a newer roster
	out       Output
	statesGen uint64
	judged    uint64    // statesGen when the standing was last looked at
	suspects  []*member // those that are suspected are among them
}

// randomStream keeps a driver's draws here apart from others made from the same seed.
const randomStream = 0x6d656d62

// New makes the view of a driver that starts. Its record names it, its run and its address; seeds are addresses of
// peers.
func New(now float64, r Options, self Record, seeds []string, seed uint64) *Fleet {
	f := &Fleet{
		rules:    r,
		random:   rand.New(rand.NewPCG(seed, randomStream)),
		self:     self,
		byName:   map[string]*member{},
		relays:   map[uint64]*relay{},
		going:    map[string][]*update{},
		now:      now,
		ticked:   now,
		changed:  now,
		news:     now,
		warned:   map[string]float64{},
		stands:   now,
		standing: Undetermined,
		why:      "no_roster",
		view:     mark(self.Name, self.Run),
		hears:    Reachability{Name: self.Name, Run: self.Run},
	}
	f.restore(r.Saved)
	f.seq = f.random.Uint64() >> 2 // answers to an earlier run are not taken for ones to this
	f.probeAt = now + f.rules.Period*f.random.Float64()
	f.SetSeeds(seeds)
	return f
}

// SetSeeds takes the addresses at which peers may be found; they are tried at once.
func (f *Fleet) SetSeeds(all []string) {
	f.seeds = slices.DeleteFunc(slices.Clone(all), func(a string) bool { return a == f.self.Address })
	f.seedAt = f.now
}

// SetPeriod takes another period.
func (f *Fleet) SetPeriod(period float64) { f.rules.Period = period }

func (f *Fleet) output() (out Output) {
	f.out.Save = f.save()
	out, f.out = f.out, Output{}
	return out
}

func (f *Fleet) note(reason, name, text string) {
	f.out.Events = append(f.out.Events, Event{reason, name, text})
}

// Tick lets time pass. It is to be called several times a period; a gap is time in which this driver stood still.
func (f *Fleet) Tick(now float64) Output {
	p := f.rules.Period
	f.advance(now)
	f.ticked = now
	if f.leaving {
		f.gossip()
		return f.output()
	}
	f.followProbe()
	if now >= f.probeAt && f.probe == nil {
		f.probeAt = max(f.probeAt+p, now+p/2) + 0.25*p*float64(f.health)
		f.startProbe()
		f.reconnect()
	}
	for seq, r := range f.relays {
		if now >= r.until {
			delete(f.relays, seq)
		}
	}
	f.lookAtDoubted()
	if now >= f.lookAt {
		f.lookAt = now + lookEvery*p
		f.look()
	}
	if now >= f.reapAt {
		f.reapAt = now + 4*p
		f.reap()
	}
	if now >= f.gossipAt {
		f.gossipAt = now + gossipEvery*p
		f.gossip()
	}
	if now >= f.seedAt {
		f.trySeeds()
	}
	if f.contested > 0 && now-f.contested > 12*p {
		f.contested = 0
		f.queue(f.self)
	}
	if now >= f.rosterAt {
		f.rosterAt = now + lookEvery*p
		f.tickRoster()
	}
	f.judge()
	return f.output()
}

// advance brings the time up to date, and sees a gap since the last tick, whatever comes first behind it.
func (f *Fleet) advance(now float64) {
	if gap := now - f.ticked; gap > stillAfter*f.rules.Period {
		f.ticked = now
		f.stoodStill(now, gap)
	}
	f.now = max(f.now, now)
}

// Receive takes a message. What a stranger under a peer's name or address says of itself counts for nothing.
func (f *Fleet) Receive(now float64, m Message) Output {
	f.advance(now)
	if !m.From.sane() || len(m.Records) > maxRecords || len(m.Reachability) > maxRecords ||
		m.From.Name == f.self.Name && m.From.Run == f.self.Run {
		return f.output()
	}
	f.apply(m.From)
	from := f.byName[m.From.Name]
	if from != nil && from.Run == m.From.Run && m.Counter > from.count {
		from.count, from.fresh = m.Counter, f.now
		f.hear(from, true)
	}
	known := from != nil && from.Run == m.From.Run
	for _, r := range m.Records {
		f.apply(r)
	}
	for i := range m.Reachability {
		f.heardOf(m.Reachability[i])
	}
	if f.leaving {
		return f.output()
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
		if p := f.probe; p != nil && p.seq == m.ProbeID {
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
	f.compare(from, m)
	f.judge()
	return f.output()
}

// receiveAsk probes another driver for a peer.
func (f *Fleet) receiveAsk(m Message) {
	if len(f.relays) >= maxRelays || m.Target == f.self.Name || len(m.TargetAddress) > maxNameBytes {
		return
	}
	f.seq++
	f.relays[f.seq] = &relay{to: m.From.Address, about: m.Target, seq: m.ProbeID, until: f.now + 2*f.rules.Period}
	f.send(m.TargetAddress, Message{Kind: Ping, ProbeID: f.seq, Target: m.Target})
	if t := f.byName[m.Target]; t == nil || t.fresh < f.now-nackShare*f.rules.Period {
		f.send(m.From.Address, Message{Kind: Nack, ProbeID: m.ProbeID, Target: m.Target})
	}
}

// receiveAck takes an answer to a probe, this driver's own or one that it made for a peer.
func (f *Fleet) receiveAck(m Message) {
	if r := f.relays[m.ProbeID]; r != nil && r.about == m.Target {
		delete(f.relays, m.ProbeID)
		f.send(r.to, Message{Kind: Ack, ProbeID: r.seq, Target: r.about, Records: []Record{m.From}})
	}
	if p := f.probe; p != nil && p.seq == m.ProbeID && p.name == m.Target {
		f.probe = nil
		f.answered()
		if t := f.byName[p.name]; t != nil && m.From.Name == p.name {
			t.silent = false
		}
	}
}

// Leave tells peers that this driver goes on purpose. Ticks from then on only spread that.
func (f *Fleet) Leave(now float64) Output {
	f.now = max(f.now, now)
	if !f.leaving {
		f.leaving, f.judgeAt = true, 0
		f.self.State = Left
		f.queue(f.self)
		told := map[string]bool{}
		for range 2 * helpers {
			if m := f.pick(func(m *member) bool { return !m.State.ended() && !told[m.Name] }); m != nil {
				told[m.Name] = true
				f.send(m.Address, Message{Kind: Gossip, Target: m.Name})
			}
		}
		f.note("leaving", f.self.Name, "")
		f.judge()
	}
	return f.output()
}
