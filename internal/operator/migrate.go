package operator

// This file owns the move of an operators' file from the shape in which drivers talk to each other to the shape in
// which they share nothing: what is carried over, what is dropped, and why. It reads and writes nothing itself.

import "fmt"

// Migrate gives the counterpart of an operators' file for a deployment whose drivers share nothing (no word
// between them, no fellows, no announcements), and one line for each setting that could not be carried over, with
// the reason. What each driver keeps for itself (log, state, ledger, the registry of members) is carried as it is.
// The file given is not changed. Migrating a file twice gives the same file and nothing dropped.
func Migrate(old File) (File, []string) {
	f, dropped := old, []string(nil)
	fleet, no := Fleet{}, false
	if old.Fleet != nil {
		fleet = *old.Fleet
	}
	fleet.Peers, f.Fleet = &no, &fleet
	if old.Peers.MessagesPerSecond > 0 {
		dropped = append(dropped, fmt.Sprintf("peers.messages_per_second = %d: drivers send each other nothing",
			old.Peers.MessagesPerSecond))
	}
	f.Peers = Peers{}
	if c := old.Control; c != nil {
		control := *c
		if c.Listen != "" {
			dropped = append(dropped, fmt.Sprintf("control.listen = %q: no fellow driver speaks to this one", c.Listen))
		}
		if len(c.Peers) > 0 {
			dropped = append(dropped, fmt.Sprintf("control.fellows (%d): a hook's word reaches only the driver that it "+
				"calls; call each driver's socket", len(c.Peers)))
		}
		if c.TokenFile != "" {
			dropped = append(dropped, fmt.Sprintf("control.token_file = %q: wanted only between drivers", c.TokenFile))
		}
		control.Listen, control.Peers, control.TokenFile = "", nil, ""
		f.Control = &control
	}
	if m := old.Membership; m != nil {
		dropped = append(dropped,
			fmt.Sprintf("membership.listen = %q: drivers that share nothing do not know of each other; "+
				"give fleet.drivers if the platform does not tell how many there are", m.Listen))
		f.Membership = nil
	}
	if g := old.Registry; g != nil && g.DriversPrefix != "" {
		registry := *g
		dropped = append(dropped, fmt.Sprintf("registry.drivers_prefix = %q: drivers do not announce themselves; "+
			"give fleet.drivers if the platform does not tell how many there are", g.DriversPrefix))
		registry.DriversPrefix = ""
		f.Registry = &registry
	}
	return f, dropped
}
