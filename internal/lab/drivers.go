package lab

// This file owns drivers in front of a cluster: their configuration, which has only what the platform's configuration
// has, and running them in this process.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"weirwind/internal/driver"
	"weirwind/internal/operator"
)

// DefaultMix contains the op types of the drivers' configuration: reads with bounded staleness, reads of any staleness,
// and non-retryable writes.
var DefaultMix = []OpKind{{Name: "recent", Share: 5, Timeout: 1e9, Target: 250e6, Value: 3},
	{Name: "any", Share: 3, Timeout: 1.2e9, Target: 300e6, Value: 1},
	{Name: "write", Share: 2, Write: true, Timeout: 4e9, Target: 500e6, Value: 3}}

// Configuration returns a driver's configuration in the platform's format, with times in microseconds.
func (c *Cluster) Configuration(name, listen string, drivers, index int) []byte {
	text, err := json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": c.Discovery(),
		"seed":   fmt.Sprintf("%016x", 0x9E3779B97F4A7C15*uint64(index+1)),
		"limits": map[string]any{"cores": 2, "memory_mb": 192, "sockets": 1024}, "known": c.MemberList(),
		"settings": driverSettings(drivers, index)}, "", "  ")
	if err != nil {
		panic(err) // the configuration has no value that can't be encoded
	}
	return text
}

// driverSettings returns the part of a configuration that controls the driver's decisions.
func driverSettings(drivers, index int) map[string]any {
	return map[string]any{"tick": 5000, "siblings": drivers, "index": index, "zone": "a",
		"registry_mode": "on_request", "family_info": map[string]any{"checks": "silent",
			"needs_by_class": []string{"lag_bound", "eventual", "mutate"}, "oldest_data": []int{200000, 0, 0},
			"shows_role": "silent", "stamps": true, "write_marks": "brought"},
		"report": map[string]any{"fields": []string{"x0", "x1"}, "source": "pull"},
		"policy_limits": map[string]any{"send_cap": 6, "cancel": true, "may_probe": true, "parallel_tries": true,
			"retry_after": true, "max_retry_after": 1000000, "connect_timeout": 250000, "conn_idle": 15000000},
		"rules": map[string]any{"cold": 10000000, "cold_from": 0.3, "tip_multiple": 2.5, "fall": 1500000,
			"stop_sending_within": 500000}, "profiles": []any{
			map[string]any{"name": "recent", "aim": 250000, "deadline": 1000000, "effect": "repeatable", "points": 3},
			map[string]any{"name": "any", "aim": 300000, "deadline": 1200000, "effect": "repeatable", "points": 1},
			map[string]any{"name": "write", "aim": 500000, "deadline": 4000000, "effect": "once", "points": 3}}}
}

// Drivers runs n drivers in this process until the context ends. Their logs go to logTo, and operators returns the
// operators' configuration of each driver; nil stands for the default one. It returns the drivers' addresses, and a
// function that waits for their end.
func (c *Cluster) Drivers(
	ctx context.Context,
	n int,
	logTo io.Writer,
	operators func(i int) operator.File,
) (addresses []string, wait func() error, err error) {
	if operators == nil {
		operators = func(int) operator.File { return operator.Default() }
	}
	ended := make(chan error, n)
	for i := range n {
		address := c.newAddress()
		service, err := driver.New(c.Configuration(fmt.Sprintf("n%d", i), address, n, i), operators(i))
		if err != nil {
			return nil, nil, err
		}
		addresses = append(addresses, address)
		go func() { ended <- service.Run(ctx, logTo) }()
	}
	return addresses, func() (err error) {
		for range n {
			if e := <-ended; e != nil {
				err = e
			}
		}
		return err
	}, nil
}
