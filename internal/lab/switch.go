package lab

// This file owns drivers that hooks may notify, and planned changes as a topology manager makes them: hold, take the
// role away, wait for the next primary, release.

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

// HookedDrivers are drivers with control sockets, which are peers of each other but for those left out.
type HookedDrivers struct {
	Addresses []string
	Clients   []*control.Client
	Wait      func() error
}

// StartHookedDrivers runs n drivers; one for which alone is true has no peers and is nobody's. The folder is for
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
	for i := range ports {
		ports[i] = c.newAddress()
	}
	var err error
	h := &HookedDrivers{}
	h.Addresses, h.Wait, err = c.Drivers(ctx, n, logTo, func(i int) operator.File {
		f := operator.Default()
		f.Control = hookControl(folder, token, i)
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
		h.Clients = append(h.Clients, control.NewClient(socketPath(folder, i), ""))
	}
	return h, nil
}

func socketPath(folder string, i int) string {
	return filepath.Join(folder, fmt.Sprintf("n%d.sock", i))
}

// hookControl is the control socket of a driver.
func hookControl(folder, token string, i int) *operator.Control {
	return &operator.Control{
		Socket:         socketPath(folder, i),
		TokenFile:      token,
		HoldLease:      5 * time.Second,
		MaxHold:        time.Minute,
		ReleaseTimeout: 3 * time.Second,
	}
}

// Switchover changes a group's primary as a topology manager with hooks does, which notifies one driver alone. It gives
// the time for which the group had no primary.
func (c *Cluster) Switchover(ctx context.Context, hook *control.Client, group int64) (gap time.Duration, err error) {
	old := c.Primary(group)
	held := switchover.Notification{Group: group, Stage: switchover.StageHeld, From: old}
	if _, err = hook.NotifyHook(ctx, held); err != nil {
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
	released := switchover.Notification{Group: group, Stage: switchover.StageReleased, To: c.Primary(group)}
	_, err = hook.NotifyHook(ctx, released)
	return gap, err
}
