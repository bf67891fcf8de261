package lab

// This file owns drivers with control sockets for hooks, and planned switchovers as a topology manager performs them:
// hold writes, demote the primary, wait for the next one, release writes.

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

// HookedDrivers are drivers with control sockets for hooks. All of them are peers of each other, except isolated ones.
type HookedDrivers struct {
	Addresses []string
	Clients   []*control.Client
	Wait      func() error
}

// StartHookedDrivers runs n drivers with their sockets in a folder. A driver for which isolated returns true has no
// peers and is not a peer of others.
func (c *Cluster) StartHookedDrivers(
	ctx context.Context,
	n int,
	folder string,
	logTo io.Writer,
	isolated func(i int) bool,
) (*HookedDrivers, error) {
	token := filepath.Join(folder, "token")
	if err := os.WriteFile(token, []byte("a secret of drivers\n"), 0o600); err != nil {
		return nil, err
	}
	peerAddresses := make([]string, n)
	for i := range peerAddresses {
		peerAddresses[i] = c.newAddress()
	}
	var err error
	drivers := &HookedDrivers{}
	drivers.Addresses, drivers.Wait, err = c.Drivers(ctx, n, logTo, func(i int) operator.File {
		f := operator.Default()
		f.Control = hookControl(folder, token, i)
		if isolated != nil && isolated(i) {
			return f
		}
		f.Control.Listen = peerAddresses[i]
		for k, p := range peerAddresses {
			if k != i && (isolated == nil || !isolated(k)) {
				f.Control.Peers = append(f.Control.Peers, p)
			}
		}
		return f
	})
	if err != nil {
		return nil, err
	}
	for i := range n {
		drivers.Clients = append(drivers.Clients, control.NewClient(socketPath(folder, i), ""))
	}
	return drivers, nil
}

func socketPath(folder string, i int) string {
	return filepath.Join(folder, fmt.Sprintf("n%d.sock", i))
}

// hookControl returns the configuration of a driver's control socket.
func hookControl(folder, token string, i int) *operator.Control {
	return &operator.Control{
		Socket:         socketPath(folder, i),
		TokenFile:      token,
		HoldLease:      5 * time.Second,
		MaxHold:        time.Minute,
		ReleaseTimeout: 3 * time.Second,
	}
}

// Switchover changes a group's primary as a topology manager with hooks does, which notifies only one driver. It
// returns the time for which the group had no primary.
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
