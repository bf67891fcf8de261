package driver

import (
	"weirwind/internal/discovery"
	"weirwind/internal/learned"
	"weirwind/internal/operator"
	"weirwind/internal/roster"
)

// Packages discovery, roster and learned each have their own type for a member. This file converts between them.

var (
	rosterPhases = map[string]roster.Phase{
		discovery.PhaseUp:       roster.PhaseUp,
		discovery.PhaseDraining: roster.PhaseDraining,
		discovery.PhaseRemoved:  roster.PhaseRemoved,
	}
	discoveryPhases = [...]string{
		roster.PhaseUp:       discovery.PhaseUp,
		roster.PhaseDraining: discovery.PhaseDraining,
		roster.PhaseRemoved:  discovery.PhaseRemoved,
	}
)

func discoveryUpdate(r discovery.Response) roster.Update {
	u := roster.Update{Source: roster.SourceDiscovery, Revision: r.Revision, Snapshot: r.Complete, Linearizable: true}
	for _, e := range r.Members {
		u.Entries = append(u.Entries, toRoster(e))
	}
	return u
}

func toRoster(entry discovery.Entry) roster.Entry {
	return roster.Entry{
		ID:        entry.ID,
		Address:   entry.Address,
		Zone:      entry.Zone,
		Group:     entry.Group,
		Phase:     rosterPhases[entry.Phase],
		Access:    entry.Access,
		StartedAt: entry.StartedAt,
	}
}

func fromRoster(entry roster.Entry) discovery.Entry {
	return discovery.Entry{
		ID:        entry.ID,
		Address:   entry.Address,
		Zone:      entry.Zone,
		Group:     entry.Group,
		Phase:     discoveryPhases[entry.Phase],
		Access:    entry.Access,
		StartedAt: entry.StartedAt,
	}
}

func toLearned(entry discovery.Entry) learned.Entry {
	return learned.Entry{
		ID:        entry.ID,
		Address:   entry.Address,
		Zone:      entry.Zone,
		Group:     entry.Group,
		Phase:     entry.Phase,
		Access:    entry.Access,
		StartedAt: entry.StartedAt,
	}
}

func fromLearned(entry learned.Entry) discovery.Entry {
	return discovery.Entry{
		ID:        entry.ID,
		Address:   entry.Address,
		Zone:      entry.Zone,
		Group:     entry.Group,
		Phase:     entry.Phase,
		Access:    entry.Access,
		StartedAt: entry.StartedAt,
	}
}

func rosterOptions(block *operator.Registry) roster.Options {
	if block == nil {
		return roster.Options{Preferred: roster.SourceDiscovery}
	}
	return roster.Options{
		Preferred:     roster.SourceRegistry,
		FailoverAfter: milliseconds(block.FailoverAfter),
		ConfirmAfter:  milliseconds(block.ConfirmAfter),
	}
}
