package mesh

// This file owns what operators are shown, here and compared over all drivers.

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/fleet/membership"
)

// Status is the view as it is now.
func (m *Mesh) Status() membership.Status {
	m.mu.Lock()
	m.apply(m.view.Tick(m.options.Now()))
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.view.Status()
	s.Refused, s.Sent = m.rejectedCount.Load(), m.bytesSent.Load()
	return s
}

// Standing is this driver's as it is now.
func (m *Mesh) PartitionStatus() (membership.PartitionStatus, string) {
	m.mu.Lock()
	m.apply(m.view.Tick(m.options.Now()))
	m.mu.Lock()
	defer m.mu.Unlock()
	s, why, _ := m.view.PartitionStatus()
	return s, why
}

// DriverView is what a driver answered when it was asked for its view, or why there is none.
type DriverView struct {
	Name   string             `json:"name"`
	Error  string             `json:"error,omitempty"`
	Status *membership.Status `json:"status,omitempty"`
}

// Compare asks all peers that are known for their views. The first one is this driver's.
func (m *Mesh) Compare(ctx context.Context) []DriverView {
	own := m.Status()
	all := []DriverView{{Name: own.Self, Status: &own}}
	for _, d := range own.Drivers {
		if d.State != membership.Left {
			all = append(all, DriverView{Name: d.Name})
		}
	}
	var asked errgroup.Group
	asked.SetLimit(maxOutgoingCalls)
	addresses := map[string]string{}
	for _, d := range own.Drivers {
		addresses[d.Name] = d.Address
	}
	for i := range all[1:] {
		c := &all[i+1]
		asked.Go(func() error {
			back, err := m.call(ctx, addresses[c.Name], &frame{Call: callStatus})
			if err == nil {
				c.Status = &membership.Status{}
				err = json.Unmarshal(back.Status, c.Status)
			}
			if err != nil {
				c.Status, c.Error = nil, err.Error()
			}
			return nil
		})
	}
	_ = asked.Wait() // its functions return no error
	return all
}

// Differences says in words where views differ: of states, and of rosters.
func Differences(all []DriverView) (lines []string) {
	type saying struct{ of, says string }
	said := map[saying][]string{}
	for _, c := range all {
		if c.Status == nil {
			lines = append(lines, fmt.Sprintf("%s gives no view: %s", c.Name, c.Error))
			continue
		}
		for _, d := range c.Status.Drivers {
			said[saying{d.Name, d.State.String()}] = append(said[saying{d.Name, d.State.String()}], c.Name)
		}
		roster := "none"
		if r := c.Status.Roster; r != nil {
			roster = fmt.Sprintf("version %d of %d drivers", r.Version, len(r.Names))
		}
		said[saying{"the roster", roster}] = append(said[saying{"the roster", roster}], c.Name)
	}
	ways := map[string]int{}
	for s := range said {
		ways[s.of]++
	}
	for s, by := range said {
		if ways[s.of] > 1 {
			slices.Sort(by)
			lines = append(lines, fmt.Sprintf("%s: %s, say %v", s.of, s.says, by))
		}
	}
	slices.Sort(lines)
	return lines
}
