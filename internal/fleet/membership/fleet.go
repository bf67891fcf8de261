package membership

import (
	"math/rand/v2"
	"slices"
)

// Fleet is one driver's view of the fleet. It is not safe for concurrent use.
type Fleet struct {
	options Options
	random  *rand.Rand
	now     float64 // latest time passed in by the caller

	// self is this driver's own record. Its Run is raised above the Run of an earlier process of the same name, and its
	// Incarnation to refute a suspicion or failure.
	self Record
	// peers are all other known drivers in any state, sorted by name.
	peers       []*peer
	peersByName map[string]*peer
	suspects    []*peer // includes all peers in the state Suspect; others are removed by advanceSuspicions
	// viewHash is a hash of the live processes, including this one: equal views have equal hashes.
	viewHash         uint64
	liveSetChangedAt float64 // when a driver last joined, ended or returned
	stateVersion     uint64  // incremented by each change that can affect the partition status

	counter uint64 // number of messages sent
	seeds   []string
	leaving bool
	pending Output // collected since the last takeOutput

	schedule
	probeState
	broadcastQueue
	nameState
	rosterState
	partitionState
	reachability Reachability // this driver's own, as last gossiped
}

// schedule holds the times of the periodic tasks of Tick, in milliseconds.
type schedule struct {
	lastTick              float64
	nextProbe             float64
	nextGossip            float64
	nextSeedSync          float64
	nextSync              float64 // earliest time of the next snapshot exchange with any peer
	nextRosterTick        float64
	nextReap              float64
	nextReachabilityCheck float64
}

// probeState is the state of this driver's failure detector.
type probeState struct {
	probe    *probe            // in flight; nil if none is
	probeSeq uint64            // ID of the latest ping
	relays   map[uint64]*relay // by the ID of the relayed ping
	recheck  []string          // names of peers that others suspect and that this driver probes next
	health   int               // Lifeguard's health score, 0 (good) to maxHealth

	missedProbes   int     // consecutive probes without any answer
	uncertainUntil float64 // after a pause this driver's view is uncertain until this time
	unconfirmed    bool    // no peer has answered since the last pause
}

// nameState tracks conflicts between processes that use the same name.
type nameState struct {
	nameTakenAt float64            // last report that another process owns this driver's name; 0: none does
	nameOwner   string             // address of that process
	warnedAt    map[string]float64 // by name: when a conflict was last logged
}

// randomStream separates this package's random sequence from others with the same seed.
const randomStream = 0x6d656d62

// New returns the view of a driver that starts. Its record contains its name, run and address; seeds are addresses of
// peers.
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
		broadcastQueue:   broadcastQueue{broadcastsBySubject: map[string][]*broadcast{}, lastQueuedAt: now},
		nameState:        nameState{warnedAt: map[string]float64{}},
		partitionState:   partitionState{partition: Undetermined, partitionReason: "no_roster", partitionSince: now},
		reachability:     Reachability{Name: self.Name, Run: self.Run},
	}
	f.restore(options.Saved)
	f.probeSeq = f.random.Uint64() >> 2 // acks for pings of an earlier run do not match
	f.nextProbe = now + f.options.Period*f.random.Float64()
	f.SetSeeds(seeds)
	return f
}

// SetSeeds replaces the addresses at which peers may be found, and contacts one of them on the next Tick.
func (f *Fleet) SetSeeds(addresses []string) {
	f.seeds = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == f.self.Address })
	f.nextSeedSync = f.now
}

// SetPeriod changes the probe period, in milliseconds.
func (f *Fleet) SetPeriod(period float64) { f.options.Period = period }

// takeOutput returns the output collected since its last call.
func (f *Fleet) takeOutput() (out Output) {
	f.pending.Save = f.save()
	out, f.pending = f.pending, Output{}
	return out
}

func (f *Fleet) emit(reason, name, text string) {
	f.pending.Events = append(f.pending.Events, Event{reason, name, text})
}

// Tick advances the time and runs what is due. It must be called several times per period: after a longer gap this
// driver assumes that it was paused.
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

// tickPeriodic runs the periodic tasks that are due.
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
	if f.nameTakenAt > 0 && now-f.nameTakenAt > 12*period { // the other process is no longer reported
		f.nameTakenAt = 0
		f.broadcastRecord(f.self)
	}
	if now >= f.nextRosterTick {
		f.nextRosterTick = now + checkInterval*period
		f.tickRoster()
	}
}

// advance updates the time, and detects a gap since the last tick, whichever call comes first after it.
func (f *Fleet) advance(now float64) {
	if gap := now - f.lastTick; gap > pauseAfter*f.options.Period {
		f.lastTick = now
		f.resumeAfterPause(now, gap)
	}
	f.now = max(f.now, now)
}

// syncWithSeed requests a snapshot exchange with a random seed that is not a live peer yet.
func (f *Fleet) syncWithSeed() {
	known, live := map[string]bool{}, 0
	for _, p := range f.peers {
		if !p.State.ended() {
			known[p.Address] = true
			live++
		}
	}
	var unknown []string
	for _, seed := range f.seeds {
		if !known[seed] {
			unknown = append(unknown, seed)
		}
	}
	intervalPeriods := 2.0
	if live > 0 {
		intervalPeriods = 10
	}
	f.nextSeedSync = f.now + f.options.Period*intervalPeriods*(0.75+0.5*f.random.Float64())
	if len(unknown) > 0 {
		f.pending.SyncWith = append(f.pending.SyncWith, unknown[f.random.IntN(len(unknown))])
	}
}

// Leave notifies peers that this driver shuts down. From then on Tick only gossips.
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

// notifyLeaving notifies some peers immediately, because the process may end before the next Tick.
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
