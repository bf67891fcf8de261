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

// refresh lets the view decide by the present time, so that what is read next is of now.
func (m *Mesh) refresh() {
	m.step(func(view *membership.Fleet) membership.Output { return view.Tick(m.options.Now()) })
}

// Status is the view as it is now.
func (m *Mesh) Status() membership.Status {
	m.refresh()
	m.mu.Lock()
	defer m.mu.Unlock()
	status := m.view.Status()
	status.RejectedFrames, status.BytesSent = m.rejectedCount.Load(), m.bytesSent.Load()
	return status
}

// PartitionStatus is the side of a partition that this driver is on now, and why.
func (m *Mesh) PartitionStatus() (status membership.PartitionStatus, reason string) {
	m.refresh()
	m.mu.Lock()
	defer m.mu.Unlock()
	status, reason, _ = m.view.PartitionStatus()
	return status, reason
}

// DriverView is what a driver answered when it was asked for its view, or why there is none.
type DriverView struct {
	Name   string             `json:"name"`
	Error  string             `json:"error,omitempty"`
	Status *membership.Status `json:"status,omitempty"`
}

// Compare asks all known peers that have not left for their views. The first one is this driver's.
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

// statusOf asks one peer for its view.
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

// opinion is what a view says of one driver, or of the roster.
type opinion struct{ subject, says string }

// Differences says in words, sorted, where views differ: of drivers' states, and of rosters.
func Differences(views []DriverView) (lines []string) {
	heldBy := map[opinion][]string{}
	for _, view := range views {
		if view.Status == nil {
			lines = append(lines, fmt.Sprintf("%s gives no view: %s", view.Name, view.Error))
			continue
		}
		for _, o := range opinions(view.Status) {
			heldBy[o] = append(heldBy[o], view.Name)
		}
	}
	count := map[string]int{}
	for o := range heldBy {
		count[o.subject]++
	}
	for o, names := range heldBy {
		if count[o.subject] > 1 {
			slices.Sort(names)
			lines = append(lines, fmt.Sprintf("%s: %s, say %v", o.subject, o.says, names))
		}
	}
	slices.Sort(lines)
	return lines
}

func opinions(status *membership.Status) (all []opinion) {
	for _, driver := range status.Drivers {
		all = append(all, opinion{driver.Name, driver.State.String()})
	}
	roster := "none"
	if r := status.Roster; r != nil {
		roster = fmt.Sprintf("version %d of %d drivers", r.Version, len(r.Names))
	}
	return append(all, opinion{"the roster", roster})
}
