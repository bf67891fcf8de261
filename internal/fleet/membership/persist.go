package membership

// This file owns what of the votes outlives the process.

import "weirwind/internal/fleet/paxos"

// SavedState is what must outlive the process for its votes to count when it comes back.
type SavedState struct {
	Name         string       `cbor:"1,keyasint"`
	Run          uint64       `cbor:"2,keyasint"`
	Roster       Roster       `cbor:"3,keyasint"`
	Version      uint64       `cbor:"4,keyasint,omitempty"` // of the roster to come that the votes are about
	Promised     paxos.Ballot `cbor:"5,keyasint"`
	Accepted     paxos.Ballot `cbor:"6,keyasint"`
	Change       *Change      `cbor:"7,keyasint,omitempty"` // taken
	BallotNumber uint32       `cbor:"8,keyasint,omitempty"`
}

// mayVote says that no earlier vote of this driver can have been forgotten.
func (f *Fleet) mayVote() bool { return f.now >= f.mayVoteAt && !f.saveFailed }

// restore takes up what an earlier run under the name kept: that roster and those votes, so that it votes at once.
func (f *Fleet) restore(k *SavedState) {
	if k == nil || k.Name != f.self.Name || k.Roster.Version == 0 {
		return
	}
	if k.Run >= f.self.Run && k.Run < maxRun-1 { // the clock went back
		f.adoptRun(k.Run + 1)
	}
	f.receiveRoster(k.Roster)
	f.voteVersion, f.acceptor = k.Version, paxos.Acceptor[Change]{Promised: k.Promised, Accepted: k.Accepted, Value: k.Change}
	f.acceptedAt, f.ballotNumber = f.now-roundPeriods*f.options.Period, k.BallotNumber
	f.mayVoteAt = 0
}

// save gives what is to be kept, where there is something new.
func (f *Fleet) save() *SavedState {
	if !f.options.Persistent || !f.unsavedVotes || f.roster == nil || f.now < f.nextSave {
		return nil
	}
	f.unsavedVotes = false
	return &SavedState{f.self.Name, f.self.Run, *f.roster, f.voteVersion, f.acceptor.Promised, f.acceptor.Accepted, f.acceptor.Value,
		f.ballotNumber}
}

// Saved tells what became of the last Out.Save. Where it could not be kept, that Out's messages must not be sent, and
// this driver gives no votes until a later one could be.
func (f *Fleet) Saved(ok bool) {
	if !ok {
		f.unsavedVotes, f.nextSave, f.round = true, f.now+settledPeriods*f.options.Period, nil
	}
	if f.saveFailed == ok {
		f.saveFailed = !ok
		f.emit(map[bool]string{true: "votes_kept", false: "votes_not_kept"}[ok], f.self.Name, "")
	}
}
