package driver

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/control"
	"weirwind/internal/fleet/membership"
	"weirwind/internal/operator"
	"weirwind/internal/switchover"
	"weirwind/logic"
)

const (
	switchoverInterval  = 20 * time.Millisecond // between observations of the primaries
	maxSwitchoverGroups = 64
)

// switchovers passes notifications of switchovers to internal/switchover, carries out its decisions, and has peers
// notified without making a hook wait for them. It also serves the control sockets.
type switchovers struct {
	service   *Service
	listeners []net.Listener
	token     string // shared secret of peers and remote callers

	mu      sync.Mutex // guards what follows, and the order in which its outcomes are applied
	tracker *switchover.Tracker
}

// openControl opens the control sockets of the operators' file. origin distinguishes this driver's epochs from others'.
func (s *Service) openControl(block operator.Control, origin int) error {
	handler := &switchovers{service: s, tracker: switchover.New(switchover.Config{
		DefaultLease:      milliseconds(block.HoldLease),
		MaxHold:           milliseconds(block.MaxHold),
		ReleaseTimeout:    milliseconds(block.ReleaseTimeout),
		RoleQueryInterval: milliseconds(peerPollInterval),
		Retention:         4 * milliseconds(block.MaxHold),
		MaxGroups:         maxSwitchoverGroups,
		Origin:            uint64(origin),
	})}
	if block.TokenFile != "" {
		var err error
		if handler.token, err = readToken(block.TokenFile); err != nil {
			return fmt.Errorf("control: token: %w", err)
		}
	}
	if conn, err := net.Dial("unix", block.Socket); err == nil {
		conn.Close()
		return fmt.Errorf("control: another driver serves %s", block.Socket)
	}
	_ = os.Remove(block.Socket) // left by a driver that was killed: no process listens on it
	for _, socket := range []struct{ network, address string }{{"unix", block.Socket}, {"tcp", block.Listen}} {
		if socket.address == "" {
			continue
		}
		listener, err := net.Listen(socket.network, socket.address)
		if err == nil && socket.network == "unix" {
			err = os.Chmod(block.Socket, 0o600)
		}
		if err != nil {
			handler.close()
			return fmt.Errorf("control: %w", err)
		}
		handler.listeners = append(handler.listeners, listener)
	}
	s.fleet.setPeers(block.Peers, handler.token)
	s.switchovers = handler
	return nil
}

// readToken reads the shared secret of the drivers from a file.
func readToken(file string) (string, error) {
	text, err := os.ReadFile(file)
	token := strings.TrimSpace(string(text))
	if err == nil && token == "" {
		err = fmt.Errorf("%s is empty", file)
	}
	return token, err
}

func (s *switchovers) close() {
	for _, ln := range s.listeners {
		ln.Close()
	}
}

// run serves the control sockets and observes primaries until the context ends.
func (s *switchovers) run(ctx context.Context) error {
	defer s.close()
	var group errgroup.Group
	for _, ln := range s.listeners {
		token := s.token
		if ln.Addr().Network() == "unix" {
			token = "" // its file mode restricts who may connect
		}
		group.Go(func() error {
			if err := control.Serve(ctx, ln, s, token); err != nil {
				s.service.log.Error("control_failed", "error", err)
			}
			return nil
		})
	}
	group.Go(func() error { runPeriodically(ctx, switchoverInterval, s.observePrimaries); return nil })
	return group.Wait()
}

// HandleHook handles a hook of the topology manager and returns it with its epoch. Peers are notified asynchronously.
func (s *switchovers) HandleHook(notification switchover.Notification) (switchover.Notification, error) {
	if !s.service.decider.knowsGroup(notification.Group) {
		return notification, fmt.Errorf("group %d is not known here", notification.Group)
	}
	primary := s.service.decider.primaries()[notification.Group]
	if err := s.checkPartition(notification); err != nil {
		return notification, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	notification, outcome, err := s.tracker.HandleHook(s.service.decider.clock.now(), notification, primary)
	if err == nil {
		s.apply(outcome)
	}
	return notification, err
}

// checkPartition returns an error if the hook is not allowed in this driver's partition.
func (s *switchovers) checkPartition(notification switchover.Notification) error {
	if s.service.fleet.mesh == nil {
		return nil
	}
	action := membership.EndWritePause
	if notification.Stage <= switchover.StageHeld {
		action = membership.BeginWritePause
		for _, change := range s.Status() {
			sameChange := change.Group == notification.Group && (notification.Epoch == 0 || notification.Epoch == change.Epoch)
			if sameChange && change.Stage == switchover.StageHeld && !change.Finished {
				action = membership.RenewWritePause
			}
		}
	}
	status, detail := s.service.fleet.mesh.PartitionStatus()
	allowed, reason := membership.Allowed(status, action)
	if allowed {
		return nil
	}
	s.service.log.Warn("switch", "reason", reason, "group", notification.Group, "standing", status.String(), "why", detail)
	return fmt.Errorf("%w (it is %s %s)", control.ErrNotInMajority, status, detail)
}

// Membership returns the gossip membership of drivers, or nil if it is not configured.
func (s *switchovers) Membership() control.Membership {
	if s.service.fleet.mesh == nil {
		return nil
	}
	return s.service.fleet.mesh
}

// Zones returns this driver's part in decisions about zones, or nil if they are not enabled.
func (s *switchovers) Zones() control.Zones {
	if s.service.zones == nil {
		return nil
	}
	return s.service.zones
}

// HandlePeer handles a notification from a peer.
func (s *switchovers) HandlePeer(notification switchover.Notification) error {
	_, err := s.handleNotification(notification)
	return err
}

// handleNotification handles a notification from a peer, and reports whether it was new.
func (s *switchovers) handleNotification(notification switchover.Notification) (isNew bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome, err := s.tracker.HandleNotification(s.service.decider.clock.now(), notification)
	s.apply(outcome)
	return outcome.LogText != "", err
}

// Status returns the status of all known switchovers.
func (s *switchovers) Status() []switchover.ChangeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Status(s.service.decider.clock.now())
}

// observeRole passes on the role that a member reported at a health check.
func (s *switchovers) observeRole(member string, role logic.Role) {
	if role == logic.RoleUnknown {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.tracker.ObserveRole(s.service.decider.clock.now(), member, role == logic.Primary))
}

// observePrimaries passes the current primaries, while a switchover is active, and the time to the tracker.
func (s *switchovers) observePrimaries() {
	s.mu.Lock()
	active := s.tracker.Active()
	s.mu.Unlock()
	var primaries map[int64]string
	if active {
		primaries = s.service.decider.primaries()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.service.decider.clock.now()
	for group, primary := range primaries {
		s.apply(s.tracker.ObservePrimary(now, group, primary))
	}
	s.apply(s.tracker.Tick(now))
}

// apply carries out the decisions of the tracker. The caller holds the lock.
func (s *switchovers) apply(outcome switchover.Outcome) {
	for _, mark := range outcome.Marks {
		s.service.decider.setDraining(mark.Member, drainSwitchover, mark.Draining)
	}
	for _, member := range outcome.QueryRoles {
		s.service.checkHealth(member)
	}
	if outcome.LogText != "" {
		s.service.log.Info("switch", "text", outcome.LogText)
		s.service.fleet.notifyPeers()
	}
}
