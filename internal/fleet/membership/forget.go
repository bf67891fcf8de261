package membership

// This file owns what operators say of drivers that are gone for good.

import (
	"errors"
	"slices"
)

// Errors of what operators ask for.
var (
	ErrUnknownDriver = errors.New("no driver of this name is known")
	ErrAlive         = errors.New("this driver lives: stop it, or let it leave")
	ErrNoMajority    = errors.New(
		"this driver is not with the larger part of the fleet: ask another one, " +
			"or say that the forgotten one is certain not to run")
)

// Forget takes a failed driver for gone for good, so that majorities are no longer counted with it. With the larger
// part the rest agrees on that; otherwise operators must be certain that it does not run, as nobody else can be asked.
func (f *Fleet) Forget(now float64, name string, certain bool) (Output, error) {
	f.now = max(f.now, now)
	m := f.peersByName[name]
	switch {
	case m == nil && !f.onRoster(name) || name == f.self.Name:
		return Output{}, ErrUnknownDriver
	case m != nil && !m.State.ended():
		return Output{}, ErrAlive
	}
	agreed := f.partition == Complete || f.partition == Majority
	if !agreed && !certain {
		return Output{}, ErrNoMajority
	}
	if m != nil && m.State == Failed {
		r := m.Record
		r.State, r.ReportedBy = Left, f.self.Name
		f.applyRecord(r)
	}
	if f.onRoster(name) && !agreed || f.onRoster(name) && m == nil {
		names := slices.DeleteFunc(slices.Clone(f.roster.Names), func(n string) bool { return n == name })
		if len(names) == 0 {
			return f.takeOutput(), ErrUnknownDriver
		}
		f.adoptRoster(Roster{Version: f.roster.Version + forcedVersionStep, Lineage: f.roster.Lineage, Names: names,
			hash: namesHash(names)})
	}
	f.emit("forgets", name, "as operators say")
	f.updatePartition()
	return f.takeOutput(), nil
}
