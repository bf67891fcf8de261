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

const diskOpenTimeout = 2 * time.Second // after which a driver starts without its saved state

// restoreState restores what an earlier run saved: the membership that holds is published, and the module recalls the
// rest.
func (s *Service) restoreState(block operator.State, settings opening.Settings, known discovery.Response) {
	k := &stateSaver{service: s, files: durable.OS{}, wake: make(chan struct{}, 1), config: block}
	began := time.Now()
	opened := k.openStoreInTime()
	now, config := s.decider.timestamp(), learnedConfig(s.config.Name, settings, block)
	given := learned.Membership{Revision: known.Revision}
	for _, e := range known.Members {
		given.Entries = append(given.Entries, toLearned(e))
	}
	restored := learned.Restore(opened.state, config, now, given)
	if restored.FromSaved {
		known = discovery.Response{Revision: restored.Membership.Revision, Complete: true}
		for _, e := range restored.Membership.Entries {
			known.Members = append(known.Members, fromLearned(e))
		}
	}
	k.table = learned.NewTable(config, opened.state, now)
	k.table.StartRun(now)
	s.stateSaver = k
	s.initMembership(known)
	s.decider.step(logic.Event{Kind: logic.EvRecall, Memory: &restored.Memory})
	k.store, k.storeBehind = opened.store, true
	if opened.err != nil {
		k.saveFailed(now, opened.err)
	}
	s.log.Info("state_recalled", "verdict", string(restored.Verdict), "age_ms", int64(restored.Age),
		"from_kept", restored.FromSaved, "revision", known.Revision,
		"members", len(restored.Memory.Members), "groups", len(restored.Memory.Groups),
		"dropped", strings.Join(restored.Discarded, "; "), "took_us", time.Since(began).Microseconds())
}

// openStoreInTime opens the folder, or gives up on a disk that doesn't answer: a store that comes later is closed.
func (k *stateSaver) openStoreInTime() (opened openedStore) {
	result := make(chan openedStore, 1)
	go func() { result <- k.openStore() }()
	select {
	case opened = <-result:
	case <-time.After(diskOpenTimeout):
		opened.err = errors.New("the disk does not answer")
		go func() {
			if late := <-result; late.store != nil {
				_ = late.store.Close() // unused
			}
		}()
	}
	return opened
}

// learnedConfig gathers what decisions on saved state depend on.
func learnedConfig(name string, settings opening.Settings, block operator.State) learned.Config {
	c := learned.Config{
		Name:                  name,
		OpTypes:               make([]learned.OpType, len(settings.OpTypes)),
		SaveInterval:          milliseconds(block.SaveInterval),
		MinSwitchover:         cmp.Or(milliseconds(block.MinSwitchTime), settings.DrainGrace),
		WarmUp:                settings.Opening.ColdFor,
		StalenessBound:        math.Inf(1),
		SessionsTrackPosition: settings.Opening.SessionCarried,
	}
	for name, i := range settings.OpTypes {
		t := &settings.Opening.OpTypes[i]
		c.OpTypes[i] = learned.OpType{Name: name, LatencyTarget: t.LatencyTarget}
		if t.Need == logic.Bounded {
			c.StalenessBound = min(c.StalenessBound, t.MaxAge)
		}
	}
	return c
}

// bootID names the machine's boot; empty where it doesn't tell.
var bootID = sync.OnceValue(func() string {
	id, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(id))
})

// timestamp reads both clocks: the driver's own, which is not stepped while it runs, and the machine's uptime, which
// outlives the driver. Where the machine doesn't tell, the uptime is the driver's.
func (d *decider) timestamp() learned.Timestamp {
	t := learned.Timestamp{Wall: d.clock.now()}
	if uptime, err := os.ReadFile("/proc/uptime"); err == nil {
		first, _, _ := strings.Cut(string(uptime), " ")
		if seconds, err := strconv.ParseFloat(first, 64); err == nil {
			t.Uptime, t.BootID = seconds*1000, bootID()
		}
	}
	if t.BootID == "" {
		t.Uptime = float64(time.Since(d.clock.start).Milliseconds())
	}
	return t
}
