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

// Assignment is the platform's configuration of a driver. Errors of its decoding, which operators see, name the type
// and its fields.
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
	PeersAll   string          `json:"peers_all"` // address that reaches all of Peers
	Membership json.RawMessage `json:"known"`     // in discovery's form
	Settings   json.RawMessage `json:"settings"`  // internal/opening reads it
}

// configuration is a valid Assignment, with its parts decoded and its values by name as they stand in the file.
type configuration struct {
	Assignment
	settings   opening.Settings
	membership discovery.Response
	values     map[string]json.RawMessage
}

// parseConfiguration reads a configuration, at the start and again on SIGHUP, and rejects an invalid one.
func parseConfiguration(text []byte) (c configuration, err error) {
	if err = json.Unmarshal(text, &c.Assignment); err == nil {
		err = json.Unmarshal(text, &c.values)
	}
	if err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("configuration: seed %q is no hexadecimal number", c.Seed)
	}
	if c.settings, err = opening.Parse(c.Settings, seed); err != nil {
		return c, fmt.Errorf("configuration: %w", err)
	}
	if c.settings.ConnectTimeout <= 0 || c.settings.ConnIdleTimeout <= 0 {
		return c, errors.New("configuration: settings lack connect_timeout or conn_idle")
	}
	if c.membership, err = discovery.Parse(c.Membership); err != nil {
		return c, fmt.Errorf("configuration: known %w", err)
	}
	if c.Listen == "" {
		return c, errors.New("configuration: lacks listen")
	}
	if _, _, err = net.SplitHostPort(c.Discovery); err != nil {
		return c, fmt.Errorf("configuration: discovery: %w", err)
	}
	if c.Limits.Sockets < 2*reservedSockets || c.Limits.MemoryMB < minMemoryMB {
		return c, fmt.Errorf("configuration: limits of %d sockets and %g MB are too low", c.Limits.Sockets,
			c.Limits.MemoryMB)
	}
	return c, nil
}

// Check says what is wrong with a configuration.
func Check(text []byte) error {
	_, err := parseConfiguration(text)
	return err
}

// applyOverrides lays the operators' view of the deployment over the platform's settings. They may forbid messages
// between drivers that the platform allows, never allow ones that it forbids.
func applyOverrides(o *logic.Opening, fleet *operator.Fleet) {
	if fleet == nil {
		return
	}
	if fleet.Peers != nil {
		o.MayMessage = o.MayMessage && *fleet.Peers
	}
	if fleet.Drivers > 0 {
		o.Drivers = fleet.Drivers
	}
	if fleet.OnlyDrainingBinds != nil {
		o.OnlyDrainBinds = *fleet.OnlyDrainingBinds
	}
}
