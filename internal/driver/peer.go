package driver

import (
	"context"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/switchover"
)

// peerPollInterval is the time between calls for what a peer of the fixed list knows.
const peerPollInterval = time.Second

// peer is another driver of the operators' fixed list, with which switchovers are exchanged by HTTP.
type peer struct {
	*control.Client
	changed     chan struct{} // signaled when something is new here
	unreachable bool          // the last call failed
}

// run exchanges with the peer at the start and every second, and notifies it at once of what is new here. One that
// can't be reached learns of it by the next call, its own or this driver's.
func (p *peer) run(ctx context.Context, switchovers *switchovers) {
	known := map[int64]switchover.Notification{} // what the peer knows of each group, by notificationKey
	for {
		err := p.exchange(ctx, switchovers, known)
		if unreachable := err != nil; unreachable != p.unreachable && ctx.Err() == nil {
			p.unreachable = unreachable
			switchovers.service.log.Warn("fellow", "address", p.Address, "away", unreachable, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(peerPollInterval):
		case <-p.changed:
		}
	}
}

// exchange gets what the peer knows, and notifies it until nothing is new here.
func (p *peer) exchange(ctx context.Context, switchovers *switchovers, known map[int64]switchover.Notification) error {
	all, err := p.Client.Status(ctx)
	for _, c := range all {
		if err := switchovers.HandlePeer(c.Notification); err != nil {
			switchovers.service.log.Warn("switch", "fellow", p.Address, "error", err)
		}
		known[c.Group] = notificationKey(c.Notification)
	}
	for err == nil {
		err = p.notifyOfNew(ctx, switchovers, known)
		select {
		case <-p.changed:
		default:
			return err
		}
	}
	return err
}

// notifyOfNew sends what the peer doesn't know yet.
func (p *peer) notifyOfNew(ctx context.Context, switchovers *switchovers,
	known map[int64]switchover.Notification) (err error) {
	var notifications []switchover.Notification
	for _, c := range switchovers.Status() {
		if known[c.Group] != notificationKey(c.Notification) {
			notifications = append(notifications, c.Notification)
		}
	}
	if len(notifications) > 0 {
		err = p.NotifyPeer(ctx, notifications)
	}
	for _, n := range notifications {
		known[n.Group] = notificationKey(n)
	}
	return err
}

// notificationKey is what tells one state of a change from another; a lease's rest, say, does not.
func notificationKey(notification switchover.Notification) switchover.Notification {
	return switchover.Notification{
		Group:    notification.Group,
		Epoch:    notification.Epoch,
		Stage:    notification.Stage,
		Renewals: notification.Renewals,
	}
}
