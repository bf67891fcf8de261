package membership

// This file owns the first roster: as many drivers as there are to be see the same fleet, and each says so.

import (
	"slices"

	"weirwind/internal/fleet/paxos"
)

// bootstrap agrees on a first roster: the driver whose name comes first asks all that it sees whether they see the
// same.
func (f *Fleet) bootstrap() {
	if f.now-f.liveSetChangedAt < bootstrapPeriods*f.options.Period || len(f.peers)+1 < f.options.ExpectedDrivers || f.unconfirmed {
		f.bootstrapConfirmedBy = nil
		return
	}
	names := f.names(true) // each of them is to say that it sees the same: among many there is always one that is doubted
	if len(names) < f.options.ExpectedDrivers || names[0] != f.self.Name || len(f.seeds) > 0 && len(names) == 1 {
		f.bootstrapConfirmedBy = nil
		return
	}
	sum := namesHash(names)
	if f.bootstrapConfirmedBy == nil || f.bootstrapHash != sum {
		f.bootstrapConfirmedBy, f.bootstrapHash, f.nextBootstrapRequest = map[string]bool{f.self.Name: true}, sum, 0
	}
	if len(f.bootstrapConfirmedBy) == len(names) {
		f.bootstrapConfirmedBy = nil
		c := Change{Version: 1, Lineage: f.self.Run, Hash: sum}
		f.adoptRoster(Roster{Version: 1, Lineage: c.Lineage, Names: names, hash: sum})
		f.decidedChange, f.decidedTransmissions = &c, 4*f.retransmitLimit()
		return
	}
	if f.now >= f.nextBootstrapRequest {
		f.nextBootstrapRequest = f.now + 2*f.options.Period
		for _, m := range f.peers {
			if !m.State.ended() && !f.bootstrapConfirmedBy[m.Name] {
				f.send(m.Address, Message{Kind: Gossip, Target: m.Name,
					Vote: &Vote{Kind: Bootstrap, Version: 1, Hash: sum, Ballot: paxos.Ballot{Proposer: f.self.Name}}})
			}
		}
	}
}

func (f *Fleet) receiveBootstrap(name, address string, v Vote) {
	if f.roster != nil {
		return // who asks learns of it by an exchange
	}
	names := f.names(true)
	switch v.Kind {
	case Bootstrap:
		if namesHash(names) == v.Hash && name == names[0] && (f.bootstrapConfirmedUntil <= f.now || f.confirmedBootstrapHash == v.Hash) &&
			f.nameTakenAt == 0 && f.now >= f.uncertainUntil {
			f.confirmedBootstrapHash, f.bootstrapConfirmedUntil = v.Hash, f.now+6*f.options.Period
			f.replyVote(name, address, Vote{Kind: Bootstrapped, Version: 1, Hash: v.Hash, Ballot: v.Ballot})
		}
	case Bootstrapped:
		if f.bootstrapConfirmedBy != nil && f.bootstrapHash == v.Hash && slices.Contains(names, name) {
			f.bootstrapConfirmedBy[name] = true
		}
	}
}
