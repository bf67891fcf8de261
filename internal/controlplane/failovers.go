package controlplane

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/controlplane/failover"
	"weirwind/internal/util/events"
)

// Times of failovers.
const (
	// minDirectoryAge, and four heartbeat intervals, are how long a process runs before it decides anything about
	// failovers: all members have sent a heartbeat by then. One that it lacks may alone hold a commit, or be the
	// primary.
	minDirectoryAge       = 2 * time.Second
	minDirectoryIntervals = 4
	reportMaxAgeMs        = 1500.0 // of what drivers report of a primary
	voterSilentMs         = 1000.0 // after which another machine of the core counts as silent
	// uncertainForMs is for how long members may be unknown after a silent machine sends again, or after this one
	// began to lead.
	uncertainForMs = 3000.0
	// forgetIntervalMs is the time between two looks for members and services that are gone.
	forgetIntervalMs = 1000.0
)

// fenceCallBits is how many of a fencing token's bits number the leader's calls to the platform. The higher bits are
// its term.
const (
	fenceCallBits    = 16
	maxPlatformCalls = 1<<fenceCallBits - 1
)

// failovers carries out what package failover decides, for each service, while this machine leads. It belongs to
// softState.
type failovers struct {
	owner *softState

	controllers  map[string]*failover.Controller     // by service
	reports      map[string]map[string]primaryReport // by service and driver
	nextForgetAt float64                             // of what belongs to members and services that are gone

	// platformCalls counts the calls of this lead, for their fencing tokens.
	platformCalls uint64

	// voterSilent is whether another machine of the core is silent: members may send their heartbeats to it.
	voterSilent          bool
	voterSilentChangedAt float64
}

// primaryReport is what a driver reported last of a service's primary.
type primaryReport struct {
	report     controlmsg.PrimaryReport
	receivedAt float64
}

func newFailovers(owner *softState) failovers {
	return failovers{owner: owner, controllers: map[string]*failover.Controller{},
		reports: map[string]map[string]primaryReport{}}
}

// reset forgets what an earlier lead knew.
func (f *failovers) reset() {
	f.controllers, f.reports = map[string]*failover.Controller{}, map[string]map[string]primaryReport{}
	f.platformCalls = 0
}

// setVoterSilent notes that another machine of the core fell silent, or that none is silent any more.
func (f *failovers) setVoterSilent(silent bool, now float64) {
	f.voterSilent, f.voterSilentChangedAt = silent, now
}

// membershipUncertain reports whether there may be live members that this leader does not know.
func (f *failovers) membershipUncertain(now float64) bool {
	return f.voterSilent || now-max(f.voterSilentChangedAt, f.owner.leadership.since) < uncertainForMs
}

// nextFence gives a fencing token higher than that of every call before it, of this leader and of earlier ones: a
// call that arrives late is refused by the platform once a later one was seen. After 65,535 calls there is none left
// in this term, as the next would reach into the following one: ok is false.
func (f *failovers) nextFence() (fence uint64, ok bool) {
	if f.platformCalls == maxPlatformCalls {
		return 0, false
	}
	f.platformCalls++
	return f.owner.leadership.term<<fenceCallBits | f.platformCalls, true
}

// promoteWithFence calls the platform. Where this term has no fencing token left, nothing is called, which is as a
// rejected call to the controller, and another machine is to lead: its term has tokens of its own.
func (f *failovers) promoteWithFence(controller *failover.Controller, service string, action failover.Action) {
	fence, ok := f.nextFence()
	if ok {
		go f.promote(controller, service, action.ID, fence)
		return
	}
	server := f.owner.server
	server.log.Event(events.FailoverStatus, "svc", service, "member", action.ID,
		"what", "this term's fencing tokens are used up: another machine is to lead")
	controller.HandlePromoteResult(action.ID, http.StatusConflict, server.now())
	server.loop.offer(func() { server.loop.node.TransferLeadership(server.now()) })
}

// handlePrimaryReport takes what a driver reports of a primary. A machine that does not lead forwards it to the one
// that does.
func (s *softState) handlePrimaryReport(r *controlmsg.PrimaryReport, now float64) {
	if !s.leadership.active {
		s.sendToLeader(&controlmsg.Frame{PrimaryReport: r})
		return
	}
	byDriver := s.failovers.reports[r.Service]
	if byDriver == nil {
		byDriver = map[string]primaryReport{}
		s.failovers.reports[r.Service] = byDriver
	}
	byDriver[r.Driver] = primaryReport{report: *r, receivedAt: now}
}

// stepFailovers steps each service's controller with what is known now, and then the roster.
func (s *softState) stepFailovers(now float64) {
	heartbeatInterval := ms(s.server.settings.HeartbeatInterval)
	if s.config == nil || now < max(ms(minDirectoryAge), minDirectoryIntervals*heartbeatInterval) {
		return
	}
	live := s.members.live()
	drivers := len(s.drivers.table.Drivers())
	for i := range s.config.Services {
		service := &s.config.Services[i]
		c := s.failovers.controllers[service.Name]
		if c == nil {
			c = failover.New(now)
			s.failovers.controllers[service.Name] = c
		}
		view := s.failoverView(service, live[service.Name], drivers, now)
		for _, action := range c.Step(view, now) {
			s.failovers.perform(c, service.Name, action)
		}
	}
	s.roster.step(live, now)
	s.forgetGone(live, now)
}

// forgetGone drops the connections to members that are gone, and the controllers and reports of services that are no
// longer configured. A service that comes back begins as under a new leader.
func (s *softState) forgetGone(live map[string][]directory.Member, now float64) {
	f := &s.failovers
	if now < f.nextForgetAt {
		return
	}
	f.nextForgetAt = now + forgetIntervalMs
	ids, services := map[string]bool{}, map[string]bool{}
	for _, members := range live {
		for _, member := range members {
			ids[member.ID] = true
		}
	}
	for i := range s.config.Services {
		services[s.config.Services[i].Name] = true
	}
	s.memberClient.retain(ids)
	maps.DeleteFunc(f.controllers, func(name string, _ *failover.Controller) bool { return !services[name] })
	maps.DeleteFunc(f.reports, func(name string, _ map[string]primaryReport) bool { return !services[name] })
}

// failoverView is what a service's controller decides by.
func (s *softState) failoverView(service *config.Service, live []directory.Member, drivers int,
	now float64) *failover.View {
	view := &failover.View{Service: service.Name, SyncReplicas: service.SyncReplicas, Drivers: drivers,
		MembershipUncertain: s.failovers.membershipUncertain(now)}
	for _, m := range live {
		view.Members = append(view.Members, failover.Member{
			ID: m.ID, Generation: m.Generation, Draining: m.Leaving,
			SinceHeartbeat: s.members.table.HeartbeatAge(m.ID, now),
			Primary:        m.Role == directory.RolePrimary,
			Replica:        m.Role == directory.RoleReplica,
			Unlisted:       service.SyncReplicas > 0 && !s.committed.Roster.Contains(service.Name, m.ID),
		})
	}
	if service.SyncReplicas > 0 {
		view.Members = append(view.Members, s.roster.absent(service.Name, now)...)
	}
	for _, r := range s.failovers.reports[service.Name] {
		if now-r.receivedAt < reportMaxAgeMs {
			countReport(view, &r.report)
		}
	}
	return view
}

func countReport(view *failover.View, r *controlmsg.PrimaryReport) {
	switch {
	case r.CommitsStalled:
		view.StallReports++
	case r.UnresponsiveMs > 0 || r.Unreachable:
		view.SuspectReports++
	default:
		view.HealthyReports++
	}
}

// perform carries out an action of a service's controller. What waits for others runs in a goroutine of its own,
// whose result is a command to the owner; it ends by its own timeout.
func (f *failovers) perform(controller *failover.Controller, service string, action failover.Action) {
	s := f.owner
	log := s.server.log
	switch action.Kind {
	case failover.Log:
		log.Event(events.FailoverStatus, "svc", service, "member", action.ID, "what", action.Reason)
	case failover.EnforceDrain:
		s.members.enforceDrain(action.ID)
	case failover.Promote:
		log.Event(events.FailoverStep, "svc", service, "step", "failover", "to", action.ID, "from", action.Reason)
		f.promoteWithFence(controller, service, action)
	case failover.AllowRemoval:
		s.roster.removable[config.RosterMember{Service: service, ID: action.ID}] = true
	default:
		member, ok := s.members.table.Get(action.ID)
		if !ok {
			controller.HandleStatusFailure(action.ID, false, s.server.now())
			return
		}
		statement := statusStatement(action)
		if action.Kind != failover.QueryStatus {
			log.Event(events.FailoverStep, "svc", service, "step", statement, "member", action.ID)
		}
		go f.queryStatus(controller, member, action.Kind, statement)
	}
}

// statusStatement is the statement to a member that carries out an action and is answered with the member's status.
// PAUSE and STEPDOWN name the next term, so that a second run of one changes nothing more.
func statusStatement(action failover.Action) string {
	nextTerm := strconv.FormatUint(action.Term+1, 10)
	switch action.Kind {
	case failover.PauseReplication:
		return "PAUSE " + nextTerm
	case failover.ResumeReplication:
		return "CONT"
	case failover.StepDown:
		return "STEPDOWN " + nextTerm
	}
	return "STAT"
}

// queryStatus sends a member a statement, and its controller the result.
func (f *failovers) queryStatus(controller *failover.Controller, member directory.Member, kind failover.ActionKind,
	statement string) {
	s := f.owner
	sentAt := s.server.now()
	status, refused, err := s.memberClient.queryStatus(member, statement)
	s.do(func() {
		if err != nil {
			controller.HandleStatusFailure(member.ID, refused, s.server.now())
			return
		}
		controller.HandleStatus(member.ID, kind, sentAt, status)
	})
}

// promote has the platform make a member the primary, and gives the controller the result.
func (f *failovers) promote(controller *failover.Controller, service, id string, fence uint64) {
	s := f.owner
	h := s.server
	call := platformCall{addr: h.settings.PlatformAddr, caller: h.settings.Hostname, fence: fence,
		service: service, member: id}
	status, err := call.do(h.ctx)
	if err != nil {
		h.log.Error(events.PlatformCall, err, "svc", service, "member", id)
	} else {
		h.log.Event(events.PlatformCall, "svc", service, "member", id, "fence", fence, "status", status)
	}
	s.do(func() { controller.HandlePromoteResult(id, status, h.now()) })
}
