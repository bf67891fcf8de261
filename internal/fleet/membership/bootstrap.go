package membership

import (
	"slices"

	"weirwind/internal/fleet/paxos"
)

// bootstrapState is the state of bootstrapping the first roster.
type bootstrapState struct {
	// bootstrapConfirmedBy are the drivers, including this one, that confirmed the set of names with bootstrapHash; nil
	// if this driver is not bootstrapping a roster.
	bootstrapConfirmedBy map[string]bool
	bootstrapHash        uint64
	nextBootstrapRequest float64

	// This driver confirmed another driver's bootstrap with confirmedBootstrapHash, and confirms no other one before
	// bootstrapConfirmedUntil.
	confirmedBootstrapHash  uint64
	bootstrapConfirmedUntil float64
}

// bootstrap creates the first roster once the set of drivers has been stable for a while: the driver with the first
// name asks all others to confirm that they see the same set.
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

// bootstrapNames returns the names of the roster that this driver should bootstrap, and false if it should not
// bootstrap now. Suspects are included, because each has to confirm, and because a large fleet nearly always has a
// suspect.
func (f *Fleet) bootstrapNames() ([]string, bool) {
	settled := f.now-f.liveSetChangedAt >= bootstrapPeriods*f.options.Period
	if !settled || len(f.peers)+1 < f.options.ExpectedDrivers || f.unconfirmed {
		return nil, false
	}
	names := f.aliveNames(true)
	unjoined := len(f.seeds) > 0 && len(names) == 1 // no seed was reached yet
	return names, len(names) >= f.options.ExpectedDrivers && names[0] == f.self.Name && !unjoined
}

// requestBootstrap asks the drivers that have not confirmed yet.
func (f *Fleet) requestBootstrap(hash uint64) {
	for _, p := range f.peers {
		if !p.State.ended() && !f.bootstrapConfirmedBy[p.Name] {
			f.send(p.Address, Message{Kind: Gossip, Target: p.Name, Vote: &Vote{Kind: Bootstrap, Version: 1, Hash: hash,
				Ballot: paxos.Ballot{Proposer: f.self.Name}}})
		}
	}
}

// receiveBootstrapVote answers a bootstrap request, or counts a confirmation. If this driver already has a roster, the
// sender learns it by a snapshot exchange.
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
	sameView := namesHash(names) == vote.Hash && name == names[0]
	mayConfirm := f.bootstrapConfirmedUntil <= f.now || f.confirmedBootstrapHash == vote.Hash
	if sameView && mayConfirm && f.nameTakenAt == 0 && f.now >= f.uncertainUntil {
		f.confirmedBootstrapHash, f.bootstrapConfirmedUntil = vote.Hash, f.now+6*f.options.Period
		f.replyVote(name, address, Vote{Kind: Bootstrapped, Version: 1, Hash: vote.Hash, Ballot: vote.Ballot})
	}
}

// receiveBootstrapped adopts a first roster that another driver created, if this driver sees the same names.
func (f *Fleet) receiveBootstrapped(first Change) {
	if first.Version != 1 {
		return
	}
	if names := f.aliveNames(true); namesHash(names) == first.Hash {
		f.adoptRoster(newRoster(1, first.Lineage, names))
		f.decidedChange, f.decidedTransmissions = &first, f.retransmitLimit()
	}
}
