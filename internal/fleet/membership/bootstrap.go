package membership

import (
	"slices"

	"weirwind/internal/fleet/paxos"
)

// bootstrapState is of the founding of a roster.
type bootstrapState struct {
	// bootstrapConfirmedBy are the drivers that see the fleet whose names bootstrapHash stands for, this one
	// included; nil: this driver founds none.
	bootstrapConfirmedBy map[string]bool
	bootstrapHash        uint64
	nextBootstrapRequest float64

	// This driver confirmed another's founding of confirmedBootstrapHash, and confirms no other before
	// bootstrapConfirmedUntil.
	confirmedBootstrapHash  uint64
	bootstrapConfirmedUntil float64
}

// bootstrap founds a roster, where the fleet has been the same for a while: the driver whose name comes first
// asks all that it sees whether they see the same.
func (f *Fleet) bootstrap() {
	names, ok := f.bootstrapNames()
	if !ok {
		f.bootstrapConfirmedBy = nil
		return
	}
	hash := namesHash(names)
	if f.bootstrapConfirmedBy == nil || f.bootstrapHash != hash {
		f.bootstrapConfirmedBy, f.bootstrapHash = map[string]bool{f.self.Name: true}, hash
		f.nextBootstrapRequest = 0
	}
	if len(f.bootstrapConfirmedBy) == len(names) {
		f.bootstrapConfirmedBy = nil
		first := Change{Version: 1, Lineage: f.self.Run, Hash: hash}
		f.adoptRoster(newRoster(1, first.Lineage, names))
		f.decidedChange, f.decidedTransmissions = &first, 4*f.retransmitLimit()
		return
	}
	if f.now >= f.nextBootstrapRequest {
		f.nextBootstrapRequest = f.now + 2*f.options.Period
		f.requestBootstrap(hash)
	}
}

// bootstrapNames are the names of the roster that this driver is to found; false: none, or not now. Suspects
// are among them, as each is asked whether it sees the same: among many drivers there is always one that is
// suspected.
func (f *Fleet) bootstrapNames() ([]string, bool) {
	settled := f.now-f.liveSetChangedAt >= bootstrapPeriods*f.options.Period
	if !settled || len(f.peers)+1 < f.options.ExpectedDrivers || f.unconfirmed {
		return nil, false
	}
	names := f.aliveNames(true)
	alone := len(f.seeds) > 0 && len(names) == 1 // its seeds were not reached yet
	return names, len(names) >= f.options.ExpectedDrivers && names[0] == f.self.Name && !alone
}

// requestBootstrap asks those that have not confirmed yet.
func (f *Fleet) requestBootstrap(hash uint64) {
	for _, p := range f.peers {
		if !p.State.ended() && !f.bootstrapConfirmedBy[p.Name] {
			f.send(p.Address, Message{Kind: Gossip, Target: p.Name, Vote: &Vote{Kind: Bootstrap, Version: 1, Hash: hash,
				Ballot: paxos.Ballot{Proposer: f.self.Name}}})
		}
	}
}

// receiveBootstrapVote answers who founds a roster, or counts an answer. Where there is one already, the other
// learns of it by an exchange.
func (f *Fleet) receiveBootstrapVote(name, address string, vote Vote) {
	if f.roster != nil {
		return
	}
	names := f.aliveNames(true)
	if vote.Kind == Bootstrapped {
		if f.bootstrapConfirmedBy != nil && f.bootstrapHash == vote.Hash && slices.Contains(names, name) {
			f.bootstrapConfirmedBy[name] = true
		}
		return
	}
	same := namesHash(names) == vote.Hash && name == names[0]
	free := f.bootstrapConfirmedUntil <= f.now || f.confirmedBootstrapHash == vote.Hash
	if same && free && f.nameTakenAt == 0 && f.now >= f.uncertainUntil {
		f.confirmedBootstrapHash, f.bootstrapConfirmedUntil = vote.Hash, f.now+6*f.options.Period
		f.replyVote(name, address, Vote{Kind: Bootstrapped, Version: 1, Hash: vote.Hash, Ballot: vote.Ballot})
	}
}

// receiveBootstrapped takes the first roster that another driver founded, if it is of the names that this one sees.
func (f *Fleet) receiveBootstrapped(first Change) {
	if first.Version != 1 {
		return
	}
	if names := f.aliveNames(true); namesHash(names) == first.Hash {
		f.adoptRoster(newRoster(1, first.Lineage, names))
		f.decidedChange, f.decidedTransmissions = &first, f.retransmitLimit()
	}
}
