package driver

// This file owns what a reload of the configuration changes in a driver that runs, and the move to another discovery.

import (
	"bytes"
	"slices"
	"strings"

	"weirwind/internal/operator"
)

// Reload takes up a configuration that has replaced the one in use. Of its values only the address of discovery
// is one that a running driver changes; a file that makes no sense changes nothing. The operators' file goes with
// it: the log's level, and how often and how much state is saved.
func (v *Service) Reload(text []byte, err error, o operator.File) {
	var f configuration
	if err == nil {
		f, err = parseConfiguration(text)
	}
	if err != nil {
		v.counters.ReloadsFailed.Add(1)
		v.log.Error("reload_failed", "error", err)
		return
	}
	v.counters.Reloads.Add(1)
	if v.stateSaver != nil && o.State != nil {
		v.stateSaver.reconfigure(*o.State)
	}
	v.fleet.reconfigure(o.Membership)
	v.discoveryMu.Lock()
	from, kept := v.config.Discovery, v.config.changedValues(f)
	if v.config.Discovery = f.Discovery; from != f.Discovery {
		if v.newDiscovery = f.Discovery; v.cancelDiscoveryCall != nil {
			v.cancelDiscoveryCall()
		}
		v.requestList()
	}
	v.discoveryMu.Unlock()
	v.log.Info("reloaded", "discovery", f.Discovery, "before", from, "kept", strings.Join(kept, ","))
	v.level.Set(o.Log.Level)
}

// differs names the values that another file has otherwise and that stay as they were up to a restart.
func (f *configuration) changedValues(other configuration) (changed []string) {
	for name, value := range other.values {
		switch name {
		case "discovery", "known", "seed": // the list is discovery's to tell, and the seed is new with each start
		default:
			if !bytes.Equal(value, f.values[name]) {
				changed = append(changed, name)
			}
		}
	}
	slices.Sort(changed)
	return changed
}

// move makes discovery's calls go to where it has moved, and leave end the call that is to come.
func (v *Service) takeMove(leave func()) (moved bool) {
	v.discoveryMu.Lock()
	defer v.discoveryMu.Unlock()
	if v.cancelDiscoveryCall = leave; v.newDiscovery == "" {
		return false
	}
	v.discovery.Close()
	v.discovery.Address, v.newDiscovery = v.newDiscovery, ""
	return true
}

// moves says whether the call that is out has become moot.
func (v *Service) movePending() bool {
	v.discoveryMu.Lock()
	defer v.discoveryMu.Unlock()
	return v.newDiscovery != ""
}
