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
	var f file
	if err == nil {
		f, err = parse(text)
	}
	if err != nil {
		v.count.ReloadsFailed.Add(1)
		v.log.Error("reload_failed", "error", err)
		return
	}
	v.count.Reloads.Add(1)
	if v.keep != nil && o.State != nil {
		v.keep.change(*o.State)
	}
	v.fleet.change(o.Membership)
	v.moving.Lock()
	from, kept := v.config.Discovery, v.config.differs(f)
	if v.config.Discovery = f.Discovery; from != f.Discovery {
		if v.movedTo = f.Discovery; v.leave != nil {
			v.leave()
		}
		v.askList()
	}
	v.moving.Unlock()
	v.log.Info("reloaded", "discovery", f.Discovery, "before", from, "kept", strings.Join(kept, ","))
	v.level.Set(o.Log.Level)
}

// differs names the values that another file has otherwise and that stay as they were up to a restart.
func (f *file) differs(other file) (names []string) {
	for name, value := range other.values {
		switch name {
		case "discovery", "known", "seed": // the list is discovery's to tell, and the seed is new with each start
		default:
			if !bytes.Equal(value, f.values[name]) {
				names = append(names, name)
			}
		}
	}
	slices.Sort(names)
	return names
}

// move makes discovery's calls go to where it has moved, and leave end the call that is to come.
func (v *Service) move(leave func()) (moved bool) {
	v.moving.Lock()
	defer v.moving.Unlock()
	if v.leave = leave; v.movedTo == "" {
		return false
	}
	v.discovery.Close()
	v.discovery.Address, v.movedTo = v.movedTo, ""
	return true
}

// moves says whether the call that is out has become moot.
func (v *Service) moves() bool {
	v.moving.Lock()
	defer v.moving.Unlock()
	return v.movedTo != ""
}
