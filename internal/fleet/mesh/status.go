package mesh

// This file implements the status shown to operators, and its comparison across all drivers.

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/fleet/membership"
)

// refresh ticks the view, so that subsequent reads reflect the current time.
func (m *Mesh) refresh() {
	m.step(func(view *membership.Fleet) membership.Output { return view.Tick(m.options.Now()) })
}

// Status returns the current view.
func (m *Mesh) Status() membership.Status {
	m.refresh()
	m.mu.Lock()
	defer m.mu.Unlock()
	status := m.view.Status()
	status.RejectedFrames, status.BytesSent = m.rejectedCount.Load(), m.bytesSent.Load()
	return status
}

// PartitionStatus returns this driver's current partition status and its reason.
func (m *Mesh) PartitionStatus() (status membership.PartitionStatus, reason string) {
	m.refresh()
	m.mu.Lock()
	defer m.mu.Unlock()
	status, reason, _ = m.view.PartitionStatus()
	return status, reason
}

// DriverView is a driver's view, or the error of requesting it.
type DriverView struct {
	Name   string             `json:"name"`
	Error  string             `json:"error,omitempty"`
	Status *membership.Status `json:"status,omitempty"`
}

// Compare requests the views of all known peers that have not left. The first result is this driver's own view.
func (m *Mesh) Compare(ctx context.Context) []DriverView {
	own := m.Status()
	views, addresses := []DriverView{{Name: own.Self, Status: &own}}, map[string]string{}
	for _, driver := range own.Drivers {
		addresses[driver.Name] = driver.Address
		if driver.State != membership.Left {
			views = append(views, DriverView{Name: driver.Name})
		}
	}
	var requests errgroup.Group
	requests.SetLimit(maxOutgoingCalls)
	for i := range views[1:] {
		view := &views[i+1]
		requests.Go(func() error {
			status, err := m.statusOf(ctx, addresses[view.Name])
			if view.Status = status; err != nil {
				view.Error = err.Error()
			}
			return nil
		})
	}
	_ = requests.Wait() // its functions return no error
	return views
}

// statusOf requests one peer's view.
func (m *Mesh) statusOf(ctx context.Context, address string) (*membership.Status, error) {
	answer, err := m.call(ctx, address, &frame{Call: callStatus})
	if err != nil {
		return nil, err
	}
	status := &membership.Status{}
	if err := json.Unmarshal(answer.Status, status); err != nil {
		return nil, err
	}
	return status, nil
}

// claim is what a view states about one driver, or about the roster.
type claim struct{ subject, claim string }

// Differences describes where views differ, on drivers' states and on the roster, in sorted lines of text.
func Differences(views []DriverView) (lines []string) {
	claimedBy := map[claim][]string{}
	for _, view := range views {
		if view.Status == nil {
			lines = append(lines, fmt.Sprintf("%s gives no view: %s", view.Name, view.Error))
			continue
		}
		for _, o := range claims(view.Status) {
			claimedBy[o] = append(claimedBy[o], view.Name)
		}
	}
	count := map[string]int{}
	for o := range claimedBy {
		count[o.subject]++
	}
	for o, names := range claimedBy {
		if count[o.subject] > 1 {
			slices.Sort(names)
			lines = append(lines, fmt.Sprintf("%s: %s, say %v", o.subject, o.claim, names))
		}
	}
	slices.Sort(lines)
	return lines
}

func claims(status *membership.Status) (all []claim) {
	for _, driver := range status.Drivers {
		all = append(all, claim{driver.Name, driver.State.String()})
	}
	roster := "none"
	if r := status.Roster; r != nil {
		roster = fmt.Sprintf("version %d of %d drivers", r.Version, len(r.Names))
	}
	return append(all, claim{"the roster", roster})
}
