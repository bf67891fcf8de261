package membership

import (
	"errors"
	"slices"
)

// Errors of Forget. Their texts are shown to operators.
var (
	ErrUnknownDriver = errors.New("no driver of this name is known")
	ErrAlive         = errors.New("this driver lives: stop it, or let it leave")
	ErrNoMajority    = errors.New(
		"this driver is not with the larger part of the fleet: ask another one, " +
			"or say that the forgotten one is certain not to run")
)

// Forget removes a failed driver from the roster, so that it no longer counts towards majorities. With a majority the
// remaining drivers agree on the removal. Without one the operator must state that the driver certainly does not run,
// because no majority can be asked, and the roster is changed by force.
func (f *Fleet) Forget(now float64, name string, certain bool) (Output, error) {
	f.now = max(f.now, now)
	p := f.peersByName[name]
	switch {
	case p == nil && !f.onRoster(name) || name == f.self.Name:
		return Output{}, ErrUnknownDriver
	case p != nil && !p.State.ended():
		return Output{}, ErrAlive
	}
	withMajority := f.partition == Complete || f.partition == Majority
	if !withMajority && !certain {
		return Output{}, ErrNoMajority
	}
	if p != nil && p.State == Failed {
		r := p.Record
		r.State, r.ReportedBy = Left, f.self.Name
		f.applyRecord(r)
	}
	if f.onRoster(name) && (!withMajority || p == nil) {
		rest := slices.DeleteFunc(slices.Clone(f.roster.Names), func(n string) bool { return n == name })
		if len(rest) == 0 {
			return f.takeOutput(), ErrUnknownDriver
		}
		f.adoptRoster(newRoster(f.roster.Version+forcedVersionStep, f.roster.Lineage, rest))
	}
	f.emit("forgets", name, "as operators say")
	f.updatePartition()
	return f.takeOutput(), nil
}
