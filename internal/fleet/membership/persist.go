package membership

import "weirwind/internal/fleet/paxos"

// SavedState is the state that must survive a restart for the driver to vote again immediately.
type SavedState struct {
	Name         string       `cbor:"1,keyasint"`
	Run          uint64       `cbor:"2,keyasint"`
	Roster       Roster       `cbor:"3,keyasint"`
	Version      uint64       `cbor:"4,keyasint,omitempty"` // roster version that the votes are for
	Promised     paxos.Ballot `cbor:"5,keyasint"`
	Accepted     paxos.Ballot `cbor:"6,keyasint"`
	Change       *Change      `cbor:"7,keyasint,omitempty"` // the accepted value
	BallotNumber uint32       `cbor:"8,keyasint,omitempty"` // highest ballot number seen
}

// saveState tracks pending and failed saves.
type saveState struct {
	unsavedVotes bool    // the roster or a vote changed since the last Output.Save
	nextSave     float64 // earliest time of the next save, after a failed one
	saveFailed   bool    // the last save failed
}

// mayVote reports whether this driver certainly remembers all its earlier votes.
func (f *Fleet) mayVote() bool { return f.now >= f.mayVoteAt && !f.saveFailed }

// restore restores the roster and votes that an earlier run of the same name saved, so that this run may vote
// immediately.
func (f *Fleet) restore(saved *SavedState) {
	if saved == nil || saved.Name != f.self.Name || saved.Roster.Version == 0 {
		return
	}
	if saved.Run >= f.self.Run && saved.Run < maxRun-1 { // the clock was set back
		f.adoptRun(saved.Run + 1)
	}
	f.receiveRoster(saved.Roster)
	f.voteVersion = saved.Version
	f.acceptor = paxos.Acceptor[Change]{Promised: saved.Promised, Accepted: saved.Accepted, Value: saved.Change}
	f.acceptedAt, f.ballotNumber = f.now-roundPeriods*f.options.Period, saved.BallotNumber
	f.mayVoteAt = 0
}

// save returns the state to save, or nil if there is nothing to save now.
func (f *Fleet) save() *SavedState {
	if !f.options.Persistent || !f.unsavedVotes || f.roster == nil || f.now < f.nextSave {
		return nil
	}
	f.unsavedVotes = false
	return &SavedState{
		Name:         f.self.Name,
		Run:          f.self.Run,
		Roster:       *f.roster,
		Version:      f.voteVersion,
		Promised:     f.acceptor.Promised,
		Accepted:     f.acceptor.Accepted,
		Change:       f.acceptor.Value,
		BallotNumber: f.ballotNumber,
	}
}

// Saved reports the result of the last Output.Save. If it could not be made durable, the messages of that Output must
// not be sent, and this driver does not vote until a later save succeeds.
func (f *Fleet) Saved(ok bool) {
	if !ok {
		f.unsavedVotes, f.nextSave, f.round = true, f.now+settledPeriods*f.options.Period, nil
	}
	if f.saveFailed != ok {
		return
	}
	f.saveFailed = !ok
	reason := "votes_kept"
	if !ok {
		reason = "votes_not_kept"
	}
	f.emit(reason, f.self.Name, "")
}
