package driver

import (
	"fmt"
	"time"

	"weirwind/internal/operator"
	"weirwind/internal/registry"
	"weirwind/internal/roster"
)

// rosterInterval is the time between ticks of the roster, in which it may fail over to another source.
const rosterInterval = 250 * time.Millisecond

// RegistryOptions converts the registry block of the operators' file to options of the registry client.
func RegistryOptions(block *operator.Registry) registry.Options {
	return registry.Options{
		Dialect:         block.Dialect,
		Endpoints:       block.Endpoints,
		Prefix:          block.Prefix,
		Service:         block.Service,
		CredentialsFile: block.CredentialsFile,
		CAFile:          block.CAFile,
		WatchTimeout:    block.WatchTimeout,
	}
}

// openRegistry creates the watcher of members in the registry, which is used in addition to discovery.
func (s *Service) openRegistry(drivers int, seed uint64) error {
	client, err := registry.New(RegistryOptions(s.registryConfig))
	if err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	s.registryWatcher = &registry.Watcher{
		Client: client,
		Now:    s.decider.clock.now,
		Scheduler: roster.NewScheduler(
			roster.SchedulerOptions{Endpoints: len(s.registryConfig.Endpoints), Drivers: drivers, Seed: seed},
		),
		Position:     s.registryRevision,
		Apply:        s.applyRegistryUpdate,
		OnDisconnect: s.registryDisconnected,
		OnActivity:   s.registryActive,
	}
	return nil
}

// registryRevision returns the known revision of the registry's members, and whether there is one.
func (s *Service) registryRevision() (revision int64, known bool) {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	_, revision, known = s.roster.Revision(roster.SourceRegistry)
	return revision, known
}

// applyRegistryUpdate applies members from the registry. It returns the verdict, and after how many milliseconds an
// unconfirmed list may be confirmed.
func (s *Service) applyRegistryUpdate(update roster.Update) (roster.Verdict, float64) {
	s.counters.Registries.Add(1)
	verdict := s.updateMembership(update)
	if verdict == roster.VerdictGap || verdict == roster.VerdictUnconfirmed {
		s.log.Warn("registry_"+verdict.String(), "revision", update.Revision)
	}
	return verdict, milliseconds(s.registryConfig.ConfirmAfter)
}

func (s *Service) registryDisconnected(err error) {
	s.counters.RegistriesFailed.Add(1)
	s.log.Warn("registry_failed", "error", err)
	s.sourceDisconnected(roster.SourceRegistry)
}

func (s *Service) registryActive() {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	s.roster.SetConnected(s.decider.clock.now(), roster.SourceRegistry)
}
