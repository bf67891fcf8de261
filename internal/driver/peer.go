package driver

import (
	"context"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/switchover"
)

// peerPollInterval is the time between polls of a peer's switchovers.
const peerPollInterval = time.Second

// peer is another driver from the operators' fixed list, with which switchovers are exchanged by HTTP.
type peer struct {
	*control.Client
	changed     chan struct{} // signaled when the state of a switchover has changed here
	unreachable bool          // the last call failed
}

// run exchanges switchovers with the peer at the start and every second, and notifies it of changes at once. A peer
// that can't be reached learns of them at the next successful call in either direction.
func (p *peer) run(ctx context.Context, switchovers *switchovers) {
	known := map[int64]switchover.Notification{} // the state known to the peer, by group; see notificationKey
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

// exchange fetches the peer's switchovers, and notifies it until it knows all of this driver's.
func (p *peer) exchange(ctx context.Context, switchovers *switchovers, known map[int64]switchover.Notification) error {
	statuses, err := p.Client.Status(ctx)
	for _, status := range statuses {
		if err := switchovers.HandlePeer(status.Notification); err != nil {
			switchovers.service.log.Warn("switch", "fellow", p.Address, "error", err)
		}
		known[status.Group] = notificationKey(status.Notification)
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

// notifyOfNew sends the switchovers whose state the peer doesn't know yet.
func (p *peer) notifyOfNew(ctx context.Context, switchovers *switchovers,
	known map[int64]switchover.Notification) (err error) {
	var notifications []switchover.Notification
	for _, status := range switchovers.Status() {
		if known[status.Group] != notificationKey(status.Notification) {
			notifications = append(notifications, status.Notification)
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

// notificationKey returns the fields that identify a state of a switchover, and omits others, like the remaining lease.
func notificationKey(notification switchover.Notification) switchover.Notification {
	return switchover.Notification{
		Group:    notification.Group,
		Epoch:    notification.Epoch,
		Stage:    notification.Stage,
		Renewals: notification.Renewals,
	}
}
