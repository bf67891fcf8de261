package driver

import (
	"cmp"
	"errors"
	"math"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"weirwind/internal/discovery"
	"weirwind/internal/durable"
	"weirwind/internal/learned"
	"weirwind/internal/opening"
	"weirwind/internal/operator"
	"weirwind/logic"
)

const diskOpenTimeout = 2 * time.Second // after this a driver starts without its saved state

// restoreState restores the state that an earlier run saved: it publishes the saved or the configured membership,
// whichever internal/learned chooses, and passes the rest to the module.
func (s *Service) restoreState(block operator.State, settings opening.Settings, initial discovery.Response) {
	saver := &stateSaver{service: s, files: durable.OS{}, wake: make(chan struct{}, 1), config: block}
	beganAt := time.Now()
	opened := saver.openStoreWithTimeout()
	now, config := s.decider.timestamp(), learnedConfig(s.config.Name, settings, block)
	configured := learned.Membership{Revision: initial.Revision}
	for _, entry := range initial.Members {
		configured.Entries = append(configured.Entries, toLearned(entry))
	}
	restored := learned.Restore(opened.state, config, now, configured)
	if restored.FromSaved {
		initial = discovery.Response{Revision: restored.Membership.Revision, Complete: true}
		for _, entry := range restored.Membership.Entries {
			initial.Members = append(initial.Members, fromLearned(entry))
		}
	}
	saver.table = learned.NewTable(config, opened.state, now)
	saver.table.StartRun(now)
	s.stateSaver = saver
	s.initMembership(initial)
	s.decider.step(logic.Event{Kind: logic.EvRecall, Memory: &restored.Memory})
	saver.store, saver.storeOutdated = opened.store, true
	if opened.err != nil {
		saver.saveFailed(now, opened.err)
	}
	s.log.Info("state_recalled", "verdict", string(restored.Verdict), "age_ms", int64(restored.Age),
		"from_kept", restored.FromSaved, "revision", initial.Revision,
		"members", len(restored.Memory.Members), "groups", len(restored.Memory.Groups),
		"dropped", strings.Join(restored.Discarded, "; "), "took_us", time.Since(beganAt).Microseconds())
}

// openStoreWithTimeout opens the store, or gives up after diskOpenTimeout; a store that is opened later is closed.
func (s *stateSaver) openStoreWithTimeout() (opened openedStore) {
	result := make(chan openedStore, 1)
	go func() { result <- s.openStore() }()
	select {
	case opened = <-result:
	case <-time.After(diskOpenTimeout):
		opened.err = errors.New("the disk does not respond")
		go func() {
			if late := <-result; late.store != nil {
				_ = late.store.Close() // unused
			}
		}()
	}
	return opened
}

// learnedConfig returns the settings that decisions about saved state depend on.
func learnedConfig(name string, settings opening.Settings, block operator.State) learned.Config {
	config := learned.Config{
		Name:                  name,
		OpTypes:               make([]learned.OpType, len(settings.OpTypes)),
		SaveInterval:          milliseconds(block.SaveInterval),
		MinSwitchover:         cmp.Or(milliseconds(block.MinSwitchTime), settings.DrainGrace),
		WarmUp:                settings.Opening.ColdFor,
		StalenessBound:        math.Inf(1),
		SessionsTrackPosition: settings.Opening.SessionCarried,
	}
	for name, i := range settings.OpTypes {
		opType := &settings.Opening.OpTypes[i]
		config.OpTypes[i] = learned.OpType{Name: name, LatencyTarget: opType.LatencyTarget}
		if opType.Need == logic.Bounded {
			config.StalenessBound = min(config.StalenessBound, opType.MaxAge)
		}
	}
	return config
}

// bootID returns the ID of the machine's current boot, or "" if it is not available.
var bootID = sync.OnceValue(func() string {
	id, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(id))
})

// timestamp reads two clocks: the driver's own, which is never stepped while it runs, and the machine's uptime, which
// continues across restarts of the driver. If that is not available, the driver's uptime is used.
func (d *decider) timestamp() learned.Timestamp {
	timestamp := learned.Timestamp{Wall: d.clock.now()}
	if uptime, err := os.ReadFile("/proc/uptime"); err == nil {
		seconds, _, _ := strings.Cut(string(uptime), " ")
		if seconds, err := strconv.ParseFloat(seconds, 64); err == nil {
			timestamp.Uptime, timestamp.BootID = seconds*1000, bootID()
		}
	}
	if timestamp.BootID == "" {
		timestamp.Uptime = float64(time.Since(d.clock.start).Milliseconds())
	}
	return timestamp
}
