package operator

// This file converts the file of a deployment whose drivers communicate to that of one whose drivers don't: which
// settings are kept or dropped, and why.

import "fmt"

// Migrate converts a file for a deployment whose drivers share nothing (no messages, no peers, no registration). It
// returns the new file, and a line for each dropped setting with the reason. Settings of a single driver (log, state,
// ledger, the registry of members) are kept. The old file is not modified, and migrating the result again changes and
// drops nothing.
func Migrate(old File) (File, []string) {
	m := migration{file: old}
	m.fleet()
	m.peers()
	m.control()
	m.membership()
	m.registry()
	return m.file, m.dropped
}

// migration is a file that is being migrated. Its methods replace a block that they change by a copy.
type migration struct {
	file    File
	dropped []string
}

func (m *migration) drop(format string, args ...any) {
	m.dropped = append(m.dropped, fmt.Sprintf(format, args...))
}

func (m *migration) fleet() {
	fleet, disabled := Fleet{}, false
	if m.file.Fleet != nil {
		fleet = *m.file.Fleet
	}
	fleet.Peers = &disabled
	m.file.Fleet = &fleet
}

func (m *migration) peers() {
	if n := m.file.Peers.MessagesPerSecond; n > 0 {
		m.drop("peers.messages_per_second = %d: drivers send each other nothing", n)
	}
	m.file.Peers = Peers{}
}

func (m *migration) control() {
	if m.file.Control == nil {
		return
	}
	control := *m.file.Control
	if control.Listen != "" {
		m.drop("control.listen = %q: no fellow driver speaks to this one", control.Listen)
	}
	if len(control.Peers) > 0 {
		m.drop("control.fellows (%d): a hook's word reaches only the driver that it calls; call each driver's socket",
			len(control.Peers))
	}
	if control.TokenFile != "" {
		m.drop("control.token_file = %q: wanted only between drivers", control.TokenFile)
	}
	control.Listen, control.Peers, control.TokenFile = "", nil, ""
	m.file.Control = &control
}

func (m *migration) membership() {
	if m.file.Membership == nil {
		return
	}
	m.drop("membership.listen = %q: drivers that share nothing do not know of each other; "+
		"give fleet.drivers if the platform does not tell how many there are", m.file.Membership.Listen)
	m.file.Membership = nil
}

func (m *migration) registry() {
	if m.file.Registry == nil || m.file.Registry.DriversPrefix == "" {
		return
	}
	registry := *m.file.Registry
	m.drop("registry.drivers_prefix = %q: drivers do not announce themselves; "+
		"give fleet.drivers if the platform does not tell how many there are", registry.DriversPrefix)
	registry.DriversPrefix = ""
	m.file.Registry = &registry
}
