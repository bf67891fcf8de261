package membership

// This file owns the first roster: as many drivers as there are to be see the same fleet, and each says so.

import (
	"slices"

	"weirwind/internal/fleet/paxos"
)

// bootstrap agrees on a first roster: the driver whose name comes first asks all that it sees whether they see the
// same.
func (f *Fleet) bootstrap() {
	if f.now-f.changed < bootstrapPeriods*f.rules.Period || len(f.list)+1 < f.rules.ExpectedDrivers || f.unproved {
		f.bootstrapBy = nil
		return
	}
	names := f.names(true) // each of them is to say that it sees the same: among many there is always one that is doubted
	if len(names) < f.rules.ExpectedDrivers || names[0] != f.self.Name || len(f.seeds) > 0 && len(names) == 1 {
		f.bootstrapBy = nil
		return
	}
	sum := sumOf(names)
	if f.bootstrapBy == nil || f.bootstrapSum != sum {
		f.bootstrapBy, f.bootstrapSum, f.bootstrapAt = map[string]bool{f.self.Name: true}, sum, 0
	}
	if len(f.bootstrapBy) == len(names) {
		f.bootstrapBy = nil
		c := Change{Version: 1, Lineage: f.self.Run, Hash: sum}
		f.adoptRoster(Roster{Version: 1, Lineage: c.Lineage, Names: names, sum: sum})
		f.decided, f.decidedLeft = &c, 4*f.times()
		return
	}
	if f.now >= f.bootstrapAt {
		f.bootstrapAt = f.now + 2*f.rules.Period
		for _, m := range f.list {
			if !m.State.ended() && !f.bootstrapBy[m.Name] {
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
		if sumOf(names) == v.Hash && name == names[0] && (f.joinUntil <= f.now || f.joinedSum == v.Hash) &&
			f.contested == 0 && f.now >= f.doubt {
			f.joinedSum, f.joinUntil = v.Hash, f.now+6*f.rules.Period
			f.answer(name, address, Vote{Kind: Bootstrapped, Version: 1, Hash: v.Hash, Ballot: v.Ballot})
		}
	case Bootstrapped:
		if f.bootstrapBy != nil && f.bootstrapSum == v.Hash && slices.Contains(names, name) {
			f.bootstrapBy[name] = true
		}
	}
}
