package driver

// This file owns the platform's configuration of a driver: its form, and what makes no sense.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"weirwind/internal/discovery"
	"weirwind/internal/opening"
	"weirwind/internal/operator"
	"weirwind/logic"
)

// Assignment is what a driver is told at its start.
type Assignment struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	PeerListen string `json:"peer_listen"`
	Peers      []string
	PeersAll   string          `json:"peers_all"`
	Membership json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// file is a configuration that makes sense, and its values by name as they stand in it.
type configuration struct {
	Assignment
	settings   opening.Settings
	membership discovery.Response
	values     map[string]json.RawMessage
}

// parse reads a configuration, at the start and again on SIGHUP, and refuses one that makes no sense.
func parseConfiguration(text []byte) (f configuration, err error) {
	if err = json.Unmarshal(text, &f.Assignment); err == nil {
		err = json.Unmarshal(text, &f.values)
	}
	if err != nil {
		return f, fmt.Errorf("configuration: %w", err)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return f, fmt.Errorf("configuration: seed %q is no hexadecimal number", f.Seed)
	}
	if f.settings, err = opening.Parse(f.Settings, seed); err != nil {
		return f, fmt.Errorf("configuration: %w", err)
	}
	if f.settings.ConnectTimeout <= 0 || f.settings.ConnIdleTimeout <= 0 {
		return f, errors.New("configuration: settings lack connect_timeout or conn_idle")
	}
	if f.membership, err = discovery.Parse(f.Membership); err != nil {
		return f, fmt.Errorf("configuration: known %w", err)
	}
	if f.Listen == "" {
		return f, errors.New("configuration: lacks listen")
	}
	if _, _, err = net.SplitHostPort(f.Discovery); err != nil {
		return f, fmt.Errorf("configuration: discovery: %w", err)
	}
	if f.Limits.Sockets < 2*reservedSockets || f.Limits.MemoryMB < 16 {
		return f, fmt.Errorf("configuration: limits of %d sockets and %g MB are too low", f.Limits.Sockets,
			f.Limits.MemoryMB)
	}
	return f, nil
}

// Check says what is wrong with a configuration.
func Check(text []byte) error {
	_, err := parseConfiguration(text)
	return err
}

// shape lays the operators' word on the deployment's shape over the platform's settings. Drivers may be told to
// keep silent where the platform would let them talk, never the other way round.
func applyOverrides(o *logic.Opening, f *operator.Fleet) {
	if f == nil {
		return
	}
	if f.Peers != nil {
		o.MayMessage = o.MayMessage && *f.Peers
	}
	if f.Drivers > 0 {
		o.Drivers = f.Drivers
	}
	if f.OnlyDrainingBinds != nil {
		o.OnlyDrainBinds = *f.OnlyDrainingBinds
	}
}
