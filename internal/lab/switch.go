package lab

// This file owns drivers that hooks may speak to, and planned changes as a topology manager plays them: hold, take the
// role away, wait for the next primary, release. It must never tell a driver more than a hook would.

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/operator"
	"weirwind/internal/switchover"
)

// Hooked are drivers with control sockets, all fellows of each other but for those left out.
type HookedDrivers struct {
	Addresses []string
	Clients   []*control.Client
	Wait      func() error
}

// StartHooked runs n drivers; a driver i for which alone says so has no fellows and is nobody's. The folder is for
// sockets.
func (c *Cluster) StartHookedDrivers(
	ctx context.Context,
	n int,
	folder string,
	logTo io.Writer,
	alone func(i int) bool,
) (*HookedDrivers, error) {
	token := filepath.Join(folder, "token")
	if err := os.WriteFile(token, []byte("a secret of drivers\n"), 0o600); err != nil {
		return nil, err
	}
	ports := make([]string, n)
	var err error
	for i := range ports {
		if ports[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	h := &HookedDrivers{}
	h.Addresses, h.Wait, err = c.Drivers(ctx, n, logTo, func(i int) operator.File {
		f := operator.Default()
		f.Control = &operator.Control{
			Socket:         filepath.Join(folder, fmt.Sprintf("n%d.sock", i)),
			TokenFile:      token,
			HoldLease:      5 * time.Second,
			MaxHold:        time.Minute,
			ReleaseTimeout: 3 * time.Second,
		}
		if alone != nil && alone(i) {
			return f
		}
		f.Control.Listen = ports[i]
		for k, p := range ports {
			if k != i && (alone == nil || !alone(k)) {
				f.Control.Peers = append(f.Control.Peers, p)
			}
		}
		return f
	})
	if err != nil {
		return nil, err
	}
	for i := range n {
		h.Clients = append(h.Clients, control.NewClient(filepath.Join(folder, fmt.Sprintf("n%d.sock", i)), ""))
	}
	return h, nil
}

// Planned changes a group's primary as a topology manager with hooks does: it speaks to one driver alone. It gives the
// time for which the group had no primary.
func (c *Cluster) Switchover(ctx context.Context, hook *control.Client, group int64) (gap time.Duration, err error) {
	old := c.Primary(group)
	if _, err = hook.NotifyHook(ctx, switchover.Notification{Group: group, Stage: switchover.StageHeld, From: old}); err != nil {
		return 0, err
	}
	began := time.Now()
	c.Inject("demote", old)
	for c.Primary(group) == "" || c.Primary(group) == old {
		if time.Since(began) > 20*time.Second || ctx.Err() != nil {
			return 0, fmt.Errorf("group %d got no new primary", group)
		}
		time.Sleep(2 * time.Millisecond)
	}
	gap = time.Since(began)
	_, err = hook.NotifyHook(ctx, switchover.Notification{Group: group, Stage: switchover.StageReleased, To: c.Primary(group)})
	return gap, err
}
