package driver

import (
	"bytes"
	"slices"
	"strings"

	"weirwind/internal/operator"
)

// Reload applies a changed configuration; err is the error of reading it. A running driver applies only the address of
// discovery and logs the other changed values; an invalid configuration changes nothing. From the operators' file it
// applies the log's level, the interval and size limit of saved state, and the mesh's seeds and protocol period.
func (s *Service) Reload(text []byte, err error, operators operator.File) {
	var config configuration
	if err == nil {
		config, err = parseConfiguration(text)
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
	oldAddress, ignored := s.config.Discovery, s.config.changedValues(config)
	if s.config.Discovery = config.Discovery; oldAddress != config.Discovery {
		s.setDiscoveryAddress(config.Discovery)
	}
	s.discoveryMu.Unlock()
	s.log.Info("reloaded", "discovery", config.Discovery, "before", oldAddress, "kept", strings.Join(ignored, ","))
	s.level.Set(operators.Log.Level)
}

// changedValues returns the names of values that differ in another configuration and need a restart to be applied.
func (c *configuration) changedValues(other configuration) (changed []string) {
	for name, value := range other.values {
		switch name {
		case "discovery", "known", "seed": // applied, superseded by discovery, and different at each start
		default:
			if !bytes.Equal(value, c.values[name]) {
				changed = append(changed, name)
			}
		}
	}
	slices.Sort(changed)
	return changed
}
