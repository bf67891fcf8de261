package driver

import (
	"weirwind/internal/discovery"
	"weirwind/internal/learned"
	"weirwind/internal/operator"
	"weirwind/internal/roster"
)

// A member has one form in each of discovery, roster and learned. This file translates between them.

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

func toRoster(e discovery.Entry) roster.Entry {
	return roster.Entry{
		ID:        e.ID,
		Address:   e.Address,
		Zone:      e.Zone,
		Group:     e.Group,
		Phase:     rosterPhases[e.Phase],
		Access:    e.Access,
		StartedAt: e.StartedAt,
	}
}

func fromRoster(e roster.Entry) discovery.Entry {
	return discovery.Entry{
		ID:        e.ID,
		Address:   e.Address,
		Zone:      e.Zone,
		Group:     e.Group,
		Phase:     discoveryPhases[e.Phase],
		Access:    e.Access,
		StartedAt: e.StartedAt,
	}
}

func toLearned(e discovery.Entry) learned.Entry {
	return learned.Entry{
		ID:        e.ID,
		Address:   e.Address,
		Zone:      e.Zone,
		Group:     e.Group,
		Phase:     e.Phase,
		Access:    e.Access,
		StartedAt: e.StartedAt,
	}
}

func fromLearned(e learned.Entry) discovery.Entry {
	return discovery.Entry{
		ID:        e.ID,
		Address:   e.Address,
		Zone:      e.Zone,
		Group:     e.Group,
		Phase:     e.Phase,
		Access:    e.Access,
		StartedAt: e.StartedAt,
	}
}

func rosterOptions(g *operator.Registry) roster.Options {
	if g == nil {
		return roster.Options{Preferred: roster.SourceDiscovery}
	}
	return roster.Options{
		Preferred:     roster.SourceRegistry,
		FailoverAfter: milliseconds(g.FailoverAfter),
		ConfirmAfter:  milliseconds(g.ConfirmAfter),
	}
}
