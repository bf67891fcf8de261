package driver

import (
	"bytes"
	"slices"
	"strings"

	"weirwind/internal/operator"
)

// Reload takes a configuration that has replaced the one in use, or the error of reading it. Of its values a running
// driver changes only the address of discovery; an invalid file changes nothing. Of the operators' file it takes the
// log's level, how often and how much state is saved, and the mesh's seeds and period.
func (s *Service) Reload(text []byte, err error, operators operator.File) {
	var c configuration
	if err == nil {
		c, err = parseConfiguration(text)
	}
	if err != nil {
		s.counters.ReloadsFailed.Add(1)
		s.log.Error("reload_failed", "error", err)
		return
	}
	s.counters.Reloads.Add(1)
	if s.stateSaver != nil && operators.State != nil {
		s.stateSaver.reconfigure(*operators.State)
	}
	s.fleet.reconfigure(operators.Membership)
	s.discoveryMu.Lock()
	before, kept := s.config.Discovery, s.config.changedValues(c)
	if s.config.Discovery = c.Discovery; before != c.Discovery {
		s.moveDiscovery(c.Discovery)
	}
	s.discoveryMu.Unlock()
	s.log.Info("reloaded", "discovery", c.Discovery, "before", before, "kept", strings.Join(kept, ","))
	s.level.Set(operators.Log.Level)
}

// changedValues names the values that another file changes and that stay as they are until a restart.
func (c *configuration) changedValues(other configuration) (changed []string) {
	for name, value := range other.values {
		switch name {
		case "discovery", "known", "seed": // discovery announces the list, and each start has another seed
		default:
			if !bytes.Equal(value, c.values[name]) {
				changed = append(changed, name)
			}
		}
	}
	slices.Sort(changed)
	return changed
}
