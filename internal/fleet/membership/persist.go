package membership

import "weirwind/internal/fleet/paxos"

// SavedState is what must outlive the process for its votes to count when it comes back.
type SavedState struct {
	Name         string       `cbor:"1,keyasint"`
	Run          uint64       `cbor:"2,keyasint"`
	Roster       Roster       `cbor:"3,keyasint"`
	Version      uint64       `cbor:"4,keyasint,omitempty"` // of the roster to come that the votes are about
	Promised     paxos.Ballot `cbor:"5,keyasint"`
	Accepted     paxos.Ballot `cbor:"6,keyasint"`
	Change       *Change      `cbor:"7,keyasint,omitempty"` // accepted
	BallotNumber uint32       `cbor:"8,keyasint,omitempty"` // highest known
}

// saveState is of what is to be saved.
type saveState struct {
	unsavedVotes bool    // the roster or a vote changed since the last Output.Save
	nextSave     float64 // none before: the last one failed
	saveFailed   bool    // and no later one has succeeded
}

// mayVote says that no earlier vote of this driver can have been forgotten.
func (f *Fleet) mayVote() bool { return f.now >= f.mayVoteAt && !f.saveFailed }

// restore takes up what an earlier run under the name saved, its roster and its votes, so that this one votes
// at once.
func (f *Fleet) restore(saved *SavedState) {
	if saved == nil || saved.Name != f.self.Name || saved.Roster.Version == 0 {
		return
	}
	if saved.Run >= f.self.Run && saved.Run < maxRun-1 { // the clock went back
		f.adoptRun(saved.Run + 1)
	}
	f.receiveRoster(saved.Roster)
	f.voteVersion = saved.Version
	f.acceptor = paxos.Acceptor[Change]{Promised: saved.Promised, Accepted: saved.Accepted, Value: saved.Change}
	f.acceptedAt, f.ballotNumber = f.now-roundPeriods*f.options.Period, saved.BallotNumber
	f.mayVoteAt = 0
}

// save gives what is to be saved; nil: nothing new.
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

// Saved tells what became of the last Output.Save. Where it could not be made durable, that Output's messages
// must not be sent, and this driver gives no votes until a later one could be.
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
