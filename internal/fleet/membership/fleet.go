package membership

import (
	"math/rand/v2"
	"slices"
)

// Fleet is one driver's view. It is not safe for use by several goroutines at a time.
type Fleet struct {
	options Options
	random  *rand.Rand
	now     float64 // newest that the caller gave

	// self is this driver's own record. Its Run rises where another process under the name was there, its Incarnation
	// where it refutes that it has failed.
	self Record
	// peers are all other known drivers, in whatever state, sorted by name.
	peers       []*peer
	peersByName map[string]*peer
	suspects    []*peer // those in the state Suspect are among them
	// viewHash stands for the processes that have not ended, this one included: equal views have equal hashes.
	viewHash         uint64
	liveSetChangedAt float64 // when a driver came, ended or came back last
	stateVersion     uint64  // rises with each change that the partition's status may depend on

	counter uint64 // of messages sent
	seeds   []string
	leaving bool
	pending Output // since the last call

	schedule
	probeState
	broadcastQueue
	nameState
	rosterState
	partitionState
	reachability Reachability // this driver's own, as gossiped last
}

// schedule is when Tick does what it does from time to time, in milliseconds.
type schedule struct {
	lastTick              float64
	nextProbe             float64
	nextGossip            float64
	nextSeedSync          float64
	nextSync              float64 // no exchange of snapshots with anybody before
	nextRosterTick        float64
	nextReap              float64
	nextReachabilityCheck float64
}

// probeState is of what this driver finds out by pings.
type probeState struct {
	probe    *probe            // nil: none is out
	probeSeq uint64            // ID of the newest ping
	relays   map[uint64]*relay // by the ID of the ping
	recheck  []string          // peers that others suspect and this driver is to probe as well
	health   int               // Lifeguard's score, 0 (good) to maxHealth

	missedProbes   int     // in a row that nobody answered
	uncertainUntil float64 // this driver was paused: its view is uncertain until then,
	unconfirmed    bool    // and until a peer has answered
}

// nameState is of processes that have this driver's name, or one name.
type nameState struct {
	nameTakenAt float64            // when it was last heard that another process has this driver's name; 0: none has
	nameOwner   string             // that one's address
	warnedAt    map[string]float64 // when it was logged that two have a name
}

// randomStream keeps a driver's draws here apart from others made from the same seed.
const randomStream = 0x6d656d62

// New makes the view of a driver that starts. Its record gives its name, run and address; seeds are addresses
// of peers.
func New(now float64, options Options, self Record, seeds []string, seed uint64) *Fleet {
	f := &Fleet{
		options:          options,
		random:           rand.New(rand.NewPCG(seed, randomStream)),
		now:              now,
		self:             self,
		peersByName:      map[string]*peer{},
		viewHash:         processHash(self.Name, self.Run),
		liveSetChangedAt: now,
		schedule:         schedule{lastTick: now},
		probeState:       probeState{relays: map[uint64]*relay{}},
		broadcastQueue:   broadcastQueue{broadcastsAbout: map[string][]*broadcast{}, lastQueuedAt: now},
		nameState:        nameState{warnedAt: map[string]float64{}},
		partitionState:   partitionState{partition: Undetermined, partitionReason: "no_roster", partitionSince: now},
		reachability:     Reachability{Name: self.Name, Run: self.Run},
	}
	f.restore(options.Saved)
	f.probeSeq = f.random.Uint64() >> 2 // answers to an earlier run are not taken for ones to this
	f.nextProbe = now + f.options.Period*f.random.Float64()
	f.SetSeeds(seeds)
	return f
}

// SetSeeds takes the addresses at which peers may be found; they are tried at once.
func (f *Fleet) SetSeeds(addresses []string) {
	f.seeds = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == f.self.Address })
	f.nextSeedSync = f.now
}

// SetPeriod takes another period, in milliseconds.
func (f *Fleet) SetPeriod(period float64) { f.options.Period = period }

// takeOutput gives what is to be done since the last call.
func (f *Fleet) takeOutput() (out Output) {
	f.pending.Save = f.save()
	out, f.pending = f.pending, Output{}
	return out
}

func (f *Fleet) emit(reason, name, text string) {
	f.pending.Events = append(f.pending.Events, Event{reason, name, text})
}

// Tick lets time pass. It is to be called several times a period; after a longer gap this driver takes itself
// for paused.
func (f *Fleet) Tick(now float64) Output {
	f.advance(now)
	f.lastTick = now
	if f.leaving {
		f.gossip()
		return f.takeOutput()
	}
	f.tickProbe(now)
	f.advanceSuspicions()
	f.tickPeriodic(now)
	f.updatePartition()
	return f.takeOutput()
}

// tickPeriodic does what is due.
func (f *Fleet) tickPeriodic(now float64) {
	period := f.options.Period
	if now >= f.nextReachabilityCheck {
		f.nextReachabilityCheck = now + checkInterval*period
		f.checkReachability()
	}
	if now >= f.nextReap {
		f.nextReap = now + 4*period
		f.reapEnded()
	}
	if now >= f.nextGossip {
		f.nextGossip = now + gossipInterval*period
		f.gossip()
	}
	if now >= f.nextSeedSync {
		f.syncWithSeed()
	}
	if f.nameTakenAt > 0 && now-f.nameTakenAt > 12*period { // the other process is not heard of any more
		f.nameTakenAt = 0
		f.broadcastRecord(f.self)
	}
	if now >= f.nextRosterTick {
		f.nextRosterTick = now + checkInterval*period
		f.tickRoster()
	}
}

// advance brings the time up to date, and sees a gap since the last tick, whatever call comes first after it.
func (f *Fleet) advance(now float64) {
	if gap := now - f.lastTick; gap > pauseAfter*f.options.Period {
		f.lastTick = now
		f.resumeAfterPause(now, gap)
	}
	f.now = max(f.now, now)
}

// syncWithSeed exchanges snapshots with a seed that is no peer yet.
func (f *Fleet) syncWithSeed() {
	known, living := map[string]bool{}, 0
	for _, p := range f.peers {
		if !p.State.ended() {
			known[p.Address] = true
			living++
		}
	}
	var unknown []string
	for _, seed := range f.seeds {
		if !known[seed] {
			unknown = append(unknown, seed)
		}
	}
	pause := 2.0 // periods
	if living > 0 {
		pause = 10
	}
	f.nextSeedSync = f.now + f.options.Period*pause*(0.75+0.5*f.random.Float64())
	if len(unknown) > 0 {
		f.pending.SyncWith = append(f.pending.SyncWith, unknown[f.random.IntN(len(unknown))])
	}
}

// Leave notifies peers that this driver shuts down. Ticks from then on only spread that.
func (f *Fleet) Leave(now float64) Output {
	f.now = max(f.now, now)
	if !f.leaving {
		f.leaving, f.nextAssessment = true, 0
		f.self.State = Left
		f.broadcastRecord(f.self)
		f.notifyLeaving()
		f.emit("leaving", f.self.Name, "")
		f.updatePartition()
	}
	return f.takeOutput()
}

// notifyLeaving sends some peers at once that this driver leaves: it may end before the next Tick.
func (f *Fleet) notifyLeaving() {
	notified := map[string]bool{}
	for range 2 * indirectProbes {
		p := f.randomPeer(func(p *peer) bool { return !p.State.ended() && !notified[p.Name] })
		if p != nil {
			notified[p.Name] = true
			f.send(p.Address, Message{Kind: Gossip, Target: p.Name})
		}
	}
}
