package driver

// This file owns the registry beside the platform's discovery: the watcher that tells the roster, and the passing of
// time before it. It must never choose between sources, and never keep an op waiting for a registry.

import (
	"fmt"
	"time"

	"weirwind/internal/operator"
	"weirwind/internal/registry"
	"weirwind/internal/roster"
)

const rosterInterval = 250 * time.Millisecond // between looks at who leads

// RegistryOptions are an operators' block as its client takes it.
func RegistryOptions(g *operator.Registry) registry.Options {
	return registry.Options{Dialect: g.Dialect, Endpoints: g.Endpoints, Prefix: g.Prefix, Service: g.Service,
		CredentialsFile: g.CredentialsFile, CAFile: g.CAFile, WatchTimeout: g.WatchTimeout}
}

// openRegistry makes the watcher of members.
func (v *Service) openRegistry(drivers int, seed uint64) error {
	c, err := registry.New(RegistryOptions(v.registryConfig))
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	v.registryWatcher = &registry.Watcher{
		Client: c,
		Now:    v.decider.clock.now,
		Scheduler: roster.NewScheduler(
			roster.SchedulerOptions{Endpoints: len(v.registryConfig.Endpoints), Drivers: drivers, Seed: seed},
		),
		Position: func() (int64, bool) {
			v.rosterMu.Lock()
			defer v.rosterMu.Unlock()
			_, revision, told := v.roster.Revision(roster.SourceRegistry)
			return revision, told
		},
		Apply: func(u roster.Update) (roster.Verdict, float64) {
			v.counters.Registries.Add(1)
			verdict := v.updateMembership(u)
			if verdict == roster.VerdictGap || verdict == roster.VerdictUnconfirmed {
				v.log.Warn("registry_"+verdict.String(), "revision", u.Revision)
			}
			return verdict, milliseconds(v.registryConfig.ConfirmAfter)
		},
		OnDisconnect: func(err error) {
			v.counters.RegistriesFailed.Add(1)
			v.log.Warn("registry_failed", "error", err)
			v.sourceDisconnected(roster.SourceRegistry)
		},
		OnActivity: func() {
			v.rosterMu.Lock()
			defer v.rosterMu.Unlock()
			v.roster.SetConnected(v.decider.clock.now(), roster.SourceRegistry)
		},
	}
	return nil
}
