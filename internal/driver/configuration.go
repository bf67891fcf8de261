package driver

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

const minMemoryMB = 16

// Assignment is the platform's configuration of a driver. Decoding errors, which operators see, contain the names of
// the type and its fields.
type Assignment struct {
	Name, Listen, Discovery string
	Seed                    string // hexadecimal
	Limits                  struct {
		Cores    float64
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int
	}
	PeerListen string `json:"peer_listen"`
	Peers      []string
	PeersAll   string          `json:"peers_all"` // broadcast address that reaches all of Peers
	Membership json.RawMessage `json:"known"`     // in the format of discovery
	Settings   json.RawMessage `json:"settings"`  // parsed by internal/opening
}

// configuration is a valid Assignment with its parts decoded, and its raw values by name.
type configuration struct {
	Assignment
	settings   opening.Settings
	membership discovery.Response
	values     map[string]json.RawMessage
}

// parseConfiguration parses a configuration, at the start and again on SIGHUP, and returns an error if it is invalid.
func parseConfiguration(text []byte) (config configuration, err error) {
	if err = json.Unmarshal(text, &config.Assignment); err == nil {
		err = json.Unmarshal(text, &config.values)
	}
	if err != nil {
		return config, fmt.Errorf("configuration: %w", err)
	}
	seed, err := strconv.ParseUint(config.Seed, 16, 64)
	if err != nil {
		return config, fmt.Errorf("configuration: seed %q is no hexadecimal number", config.Seed)
	}
	if config.settings, err = opening.Parse(config.Settings, seed); err != nil {
		return config, fmt.Errorf("configuration: %w", err)
	}
	if config.settings.ConnectTimeout <= 0 || config.settings.ConnIdleTimeout <= 0 {
		return config, errors.New("configuration: settings lack connect_timeout or conn_idle")
	}
	if config.membership, err = discovery.Parse(config.Membership); err != nil {
		return config, fmt.Errorf("configuration: known %w", err)
	}
	if config.Listen == "" {
		return config, errors.New("configuration: lacks listen")
	}
	if _, _, err = net.SplitHostPort(config.Discovery); err != nil {
		return config, fmt.Errorf("configuration: discovery: %w", err)
	}
	if config.Limits.Sockets < 2*reservedSockets || config.Limits.MemoryMB < minMemoryMB {
		return config, fmt.Errorf("configuration: limits of %d sockets and %g MB are too low", config.Limits.Sockets,
			config.Limits.MemoryMB)
	}
	return config, nil
}

// Check returns an error if a configuration is invalid.
func Check(text []byte) error {
	_, err := parseConfiguration(text)
	return err
}

// applyOverrides applies the operators' overrides to the platform's settings. Operators may forbid messages between
// drivers that the platform allows, but not allow messages that it forbids.
func applyOverrides(opening *logic.Opening, fleet *operator.Fleet) {
	if fleet == nil {
		return
	}
	if fleet.Peers != nil {
		opening.MayMessage = opening.MayMessage && *fleet.Peers
	}
	if fleet.Drivers > 0 {
		opening.Drivers = fleet.Drivers
	}
	if fleet.OnlyDrainingBinds != nil {
		opening.OnlyDrainBinds = *fleet.OnlyDrainingBinds
	}
}
