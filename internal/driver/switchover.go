package driver

// This file owns what the driver does with words on changes of primaries: it puts them before internal/switchover,
// carries out what that decides, and has peers told. It must never judge a message itself, or keep a hook waiting for a
// peer.

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
	switchoverInterval  = 20 * time.Millisecond // between looks at who is primary, while a change is open
	maxSwitchoverGroups = 64
)

type switchovers struct {
	service   *Service
	listeners []net.Listener
	token     string

	mu      sync.Mutex
	tracker *switchover.Tracker
}

// openControl opens the sockets that the operators' file names.
func (v *Service) openControl(o operator.Control, origin int) error {
	s := &switchovers{service: v, tracker: switchover.New(switchover.Config{
		DefaultLease: milliseconds(o.HoldLease), MaxHold: milliseconds(o.MaxHold), ReleaseTimeout: milliseconds(o.ReleaseTimeout),
		RoleQueryInterval: milliseconds(peerPollInterval), Retention: 4 * milliseconds(o.MaxHold),
		MaxGroups: maxSwitchoverGroups, Origin: uint64(origin)})}
	if o.TokenFile != "" {
		var err error
		if s.token, err = readToken(o.TokenFile); err != nil {
			return fmt.Errorf("control: token: %w", err)
		}
	}
	if c, err := net.Dial("unix", o.Socket); err == nil {
		c.Close()
		return fmt.Errorf("control: another driver serves %s", o.Socket)
	}
	_ = os.Remove(o.Socket) // of a driver that was killed: nobody answers there
	for _, at := range []struct{ network, address string }{{"unix", o.Socket}, {"tcp", o.Listen}} {
		if at.address == "" {
			continue
		}
		ln, err := net.Listen(at.network, at.address)
		if err == nil && at.network == "unix" {
			err = os.Chmod(o.Socket, 0o600)
		}
		if err != nil {
			s.close()
			return fmt.Errorf("control: %w", err)
		}
		s.listeners = append(s.listeners, ln)
	}
	v.fleet.setPeers(o.Peers, s.token)
	v.switchovers = s
	return nil
}

// secret reads the one that drivers show each other.
func readToken(file string) (string, error) {
	text, err := os.ReadFile(file)
	s := strings.TrimSpace(string(text))
	if err == nil && s == "" {
		err = fmt.Errorf("%s is empty", file)
	}
	return s, err
}

func (s *switchovers) close() {
	for _, ln := range s.listeners {
		ln.Close()
	}
}

// run serves calls, and looks at primaries while a change is open.
func (s *switchovers) run(ctx context.Context) error {
	defer s.close()
	var all errgroup.Group
	for _, ln := range s.listeners {
		token := s.token
		if ln.Addr().Network() == "unix" {
			token = "" // who may open the socket may speak
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

// HandleHook takes a message of a hook; peers are told behind its back.
func (s *switchovers) HandleHook(w switchover.Notification) (switchover.Notification, error) {
	if !s.service.decider.servesGroup(w.Group) {
		return w, fmt.Errorf("group %d is not known here", w.Group)
	}
	primary := s.service.decider.primaries()[w.Group]
	if err := s.checkStanding(w); err != nil {
		return w, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w, out, err := s.tracker.HandleHook(s.service.decider.clock.now(), w, primary)
	if err == nil {
		s.apply(out)
	}
	return w, err
}

// allowed says whether a hook's word may be taken in this driver's standing among its peers.
func (s *switchovers) checkStanding(w switchover.Notification) error {
	if s.service.fleet.mesh == nil {
		return nil
	}
	act := membership.EndWritePause
	if w.Stage <= switchover.StageHeld {
		act = membership.BeginWritePause
		for _, k := range s.Status() {
			if k.Group == w.Group && k.Stage == switchover.StageHeld && !k.Finished && (w.Epoch == 0 || w.Epoch == k.Epoch) {
				act = membership.RenewWritePause
			}
		}
	}
	standing, why := s.service.fleet.mesh.Standing()
	allowed, reason := membership.Allowed(standing, act)
	if allowed {
		return nil
	}
	s.service.log.Warn("switch", "reason", reason, "group", w.Group, "standing", standing.String(), "why", why)
	return fmt.Errorf("%w (it is %s %s)", control.ErrNotInMajority, standing, why)
}

// Membership is the view of peers, nil where they do not know each other.
func (s *switchovers) Membership() control.Membership {
	if s.service.fleet.mesh == nil {
		return nil
	}
	return s.service.fleet.mesh
}

// Zones is this driver's part in deciding on zones; nil while there is none.
func (s *switchovers) Zones() control.Zones {
	if s.service.zones == nil {
		return nil
	}
	return s.service.zones
}

// HandlePeer takes a message of a peer.
func (s *switchovers) HandlePeer(w switchover.Notification) error {
	_, err := s.handleNotification(w)
	return err
}

// told takes a message of a peer, and says whether it was news.
func (s *switchovers) handleNotification(w switchover.Notification) (news bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, err := s.tracker.HandleNotification(s.service.decider.clock.now(), w)
	s.apply(out)
	return out.LogText != "", err
}

// Status gives what is known of all changes.
func (s *switchovers) Status() []switchover.ChangeStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Status(s.service.decider.clock.now())
}

// role takes what a member said of itself when it was probed.
func (s *switchovers) observeRole(member string, r logic.Role) {
	if r == logic.RoleUnknown {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.tracker.ObserveRole(s.service.decider.clock.now(), member, r == logic.Primary))
}

// look tells the book who is primary, while a change is open.
func (s *switchovers) observePrimaries() {
	s.mu.Lock()
	open := s.tracker.Active()
	s.mu.Unlock()
	var primaries map[int64]string
	if open {
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

// carry does what was decided. The caller holds the lock.
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
