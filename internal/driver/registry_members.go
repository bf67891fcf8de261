package driver

import (
	"fmt"
	"time"

	"weirwind/internal/operator"
	"weirwind/internal/registry"
	"weirwind/internal/roster"
)

// rosterInterval is how often time passes for the roster, which then may take another source for its leader.
const rosterInterval = 250 * time.Millisecond

// RegistryOptions are an operators' registry block as its client takes it.
func RegistryOptions(g *operator.Registry) registry.Options {
	return registry.Options{
		Dialect:         g.Dialect,
		Endpoints:       g.Endpoints,
		Prefix:          g.Prefix,
		Service:         g.Service,
		CredentialsFile: g.CredentialsFile,
		CAFile:          g.CAFile,
		WatchTimeout:    g.WatchTimeout,
	}
}

// openRegistry makes the watcher of members in the registry beside discovery.
func (v *Service) openRegistry(drivers int, seed uint64) error {
	client, err := registry.New(RegistryOptions(v.registryConfig))
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	v.registryWatcher = &registry.Watcher{
		Client: client,
		Now:    v.decider.clock.now,
		Scheduler: roster.NewScheduler(
			roster.SchedulerOptions{Endpoints: len(v.registryConfig.Endpoints), Drivers: drivers, Seed: seed},
		),
		Position:     v.registryRevision,
		Apply:        v.applyRegistryUpdate,
		OnDisconnect: v.registryDisconnected,
		OnActivity:   v.registryActive,
	}
	return nil
}

// registryRevision is up to which revision the registry's members are held, if any are.
func (v *Service) registryRevision() (revision int64, known bool) {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	_, revision, known = v.roster.Revision(roster.SourceRegistry)
	return revision, known
}

// applyRegistryUpdate takes members from the registry. It returns the verdict, and after how many milliseconds an
// unconfirmed list may be confirmed.
func (v *Service) applyRegistryUpdate(u roster.Update) (roster.Verdict, float64) {
	v.counters.Registries.Add(1)
	verdict := v.updateMembership(u)
	if verdict == roster.VerdictGap || verdict == roster.VerdictUnconfirmed {
		v.log.Warn("registry_"+verdict.String(), "revision", u.Revision)
	}
	return verdict, milliseconds(v.registryConfig.ConfirmAfter)
}

func (v *Service) registryDisconnected(err error) {
	v.counters.RegistriesFailed.Add(1)
	v.log.Warn("registry_failed", "error", err)
	v.sourceDisconnected(roster.SourceRegistry)
}

func (v *Service) registryActive() {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	v.roster.SetConnected(v.decider.clock.now(), roster.SourceRegistry)
}
