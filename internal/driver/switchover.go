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
	switchoverInterval  = 20 * time.Millisecond // between looks at who is primary
	maxSwitchoverGroups = 64
)

// switchovers gives notifications of switchovers to internal/switchover, carries out what that decides, and has peers
// notified, for which no hook waits. It also serves the control sockets.
type switchovers struct {
	service   *Service
	listeners []net.Listener
	token     string // that peers and remote callers show

	mu      sync.Mutex // guards what follows, and the order in which its outcomes are applied
	tracker *switchover.Tracker
}

// openControl opens the control sockets that the operators' file names. origin tells this driver's epochs from others'.
func (s *Service) openControl(block operator.Control, origin int) error {
	switches := &switchovers{service: s, tracker: switchover.New(switchover.Config{
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
		if switches.token, err = readToken(block.TokenFile); err != nil {
			return fmt.Errorf("control: token: %w", err)
		}
	}
	if c, err := net.Dial("unix", block.Socket); err == nil {
		c.Close()
		return fmt.Errorf("control: another driver serves %s", block.Socket)
	}
	_ = os.Remove(block.Socket) // of a driver that was killed: nobody answers there
	for _, at := range []struct{ network, address string }{{"unix", block.Socket}, {"tcp", block.Listen}} {
		if at.address == "" {
			continue
		}
		ln, err := net.Listen(at.network, at.address)
		if err == nil && at.network == "unix" {
			err = os.Chmod(block.Socket, 0o600)
		}
		if err != nil {
			switches.close()
			return fmt.Errorf("control: %w", err)
		}
		switches.listeners = append(switches.listeners, ln)
	}
	s.fleet.setPeers(block.Peers, switches.token)
	s.switchovers = switches
	return nil
}

// readToken reads the secret that drivers show each other.
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
	var all errgroup.Group
	for _, ln := range s.listeners {
		token := s.token
		if ln.Addr().Network() == "unix" {
			token = "" // its file mode says who may call
		}
		all.Go(func() error {
			if err := control.Serve(ctx, ln, s, token); err != nil {
				s.service.log.Error("control_failed", "error", err)
			}
			return nil
		})
	}
	all.Go(func() error { every(ctx, switchoverInterval, s.observePrimaries); return nil })
	return all.Wait()
}

// HandleHook takes a hook of the topology manager, and returns it with its epoch. Peers are notified after that.
func (s *switchovers) HandleHook(notification switchover.Notification) (switchover.Notification, error) {
	if !s.service.decider.servesGroup(notification.Group) {
		return notification, fmt.Errorf("group %d is not known here", notification.Group)
	}
	primary := s.service.decider.primaries()[notification.Group]
	if err := s.checkPartition(notification); err != nil {
		return notification, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	notification, out, err := s.tracker.HandleHook(s.service.decider.clock.now(), notification, primary)
	if err == nil {
		s.apply(out)
	}
	return notification, err
}

// checkPartition says whether a hook may be taken in this driver's partition.
func (s *switchovers) checkPartition(notification switchover.Notification) error {
	if s.service.fleet.mesh == nil {
		return nil
	}
	action := membership.EndWritePause
	if notification.Stage <= switchover.StageHeld {
		action = membership.BeginWritePause
		for _, c := range s.Status() {
			sameChange := c.Group == notification.Group && (notification.Epoch == 0 || notification.Epoch == c.Epoch)
			if sameChange && c.Stage == switchover.StageHeld && !c.Finished {
				action = membership.RenewWritePause
			}
		}
	}
	status, why := s.service.fleet.mesh.PartitionStatus()
	allowed, reason := membership.Allowed(status, action)
	if allowed {
		return nil
	}
	s.service.log.Warn("switch", "reason", reason, "group", notification.Group, "standing", status.String(), "why", why)
	return fmt.Errorf("%w (it is %s %s)", control.ErrNotInMajority, status, why)
}

// Membership is the drivers' own membership; nil where there is none.
func (s *switchovers) Membership() control.Membership {
	if s.service.fleet.mesh == nil {
		return nil
	}
	return s.service.fleet.mesh
}

// Zones is this driver's part in decisions on zones; nil where there is none.
func (s *switchovers) Zones() control.Zones {
	if s.service.zones == nil {
		return nil
	}
	return s.service.zones
}

// HandlePeer takes a notification of a peer.
func (s *switchovers) HandlePeer(notification switchover.Notification) error {
	_, err := s.handleNotification(notification)
	return err
}

// handleNotification takes a notification of a peer, and says whether it was new.
func (s *switchovers) handleNotification(notification switchover.Notification) (isNew bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, err := s.tracker.HandleNotification(s.service.decider.clock.now(), notification)
	s.apply(out)
	return out.LogText != "", err
}

// Status is what is known of all changes.
func (s *switchovers) Status() []switchover.ChangeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Status(s.service.decider.clock.now())
}

// observeRole takes the role that a member reported at a health check.
func (s *switchovers) observeRole(member string, role logic.Role) {
	if role == logic.RoleUnknown {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.tracker.ObserveRole(s.service.decider.clock.now(), member, role == logic.Primary))
}

// observePrimaries tells the tracker who is primary, while a change is active, and that time passes.
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

// apply carries out what was decided. The caller holds the lock.
func (s *switchovers) apply(out switchover.Outcome) {
	for _, m := range out.Marks {
		s.service.decider.setDraining(m.Member, drainSwitchover, m.Draining)
	}
	for _, member := range out.QueryRoles {
		s.service.checkHealth(member)
	}
	if out.LogText != "" {
		s.service.log.Info("switch", "text", out.LogText)
		s.service.fleet.notifyPeers()
	}
}
