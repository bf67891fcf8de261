package controlplane

import (
	"maps"
	"net/http"
	"slices"
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
	// A process begins no failover until it has run for minDirectoryAge and for minDirectoryIntervals heartbeat intervals:
	// by then all members have sent a heartbeat. A member that is still unknown may be the only one with a commit, or the
	// primary.
	minDirectoryAge       = 2 * time.Second
	minDirectoryIntervals = 4
	reportMaxAgeMs        = 1500.0 // age beyond which a driver's report on a primary is ignored
	voterSilenceTimeoutMs = 1000.0 // after which another core machine counts as silent
	// membershipUncertaintyMs is how long live members may still be unknown after a silent machine sends again, or after
	// this machine became the leader.
	membershipUncertaintyMs = 3000.0
	// cleanupIntervalMs is the time between two removals of the state of departed members and services.
	cleanupIntervalMs = 1000.0
)

// fenceCallBits is the number of low bits of a fencing token that count the leader's calls to the platform. The higher
// bits are its term.
const (
	fenceCallBits    = 16
	maxPlatformCalls = 1<<fenceCallBits - 1
)

// failovers carries out the decisions of package failover for each service while this machine leads. It belongs to
// softState.
type failovers struct {
	owner *softState

	controllers   map[string]*failover.Controller     // by service
	reports       map[string]map[string]primaryReport // by service and driver
	nextCleanupAt float64                             // next removal of the state of departed members and services

	// platformCalls counts the calls to the platform in this leadership, for their fencing tokens.
	platformCalls uint64

	// voterSilent reports whether another core machine is silent. Members may be sending their heartbeats to it.
	voterSilent          bool
	voterSilentChangedAt float64
}

// primaryReport is a driver's last report on a service's primary.
type primaryReport struct {
	report     controlmsg.PrimaryReport
	receivedAt float64
}

func newFailovers(owner *softState) failovers {
	return failovers{owner: owner, controllers: map[string]*failover.Controller{},
		reports: map[string]map[string]primaryReport{}}
}

// reset drops the state of an earlier leadership.
func (f *failovers) reset() {
	f.controllers, f.reports = map[string]*failover.Controller{}, map[string]map[string]primaryReport{}
	f.platformCalls = 0
}

// setVoterSilent records that another core machine became silent, or that none is silent any more.
func (f *failovers) setVoterSilent(silent bool, now float64) {
	f.voterSilent, f.voterSilentChangedAt = silent, now
}

// membershipUncertain reports whether there may be live members that this leader does not know.
func (f *failovers) membershipUncertain(now float64) bool {
	return f.voterSilent || now-max(f.voterSilentChangedAt, f.owner.leadership.since) < membershipUncertaintyMs
}

// nextFencingToken returns a fencing token higher than that of every earlier call of this leader and its predecessors.
// The platform rejects a call that arrives after one with a higher token. After 65,535 calls in a term ok is false, as
// the next token would fall into the range of the following term.
func (f *failovers) nextFencingToken() (fence uint64, ok bool) {
	if f.platformCalls == maxPlatformCalls {
		return 0, false
	}
	f.platformCalls++
	return f.owner.leadership.term<<fenceCallBits | f.platformCalls, true
}

// promoteWithFence calls the platform with the next fencing token. If this term has none left, it makes no call,
// reports a rejected call to the controller, and transfers the leadership, as the next term has tokens of its own.
func (f *failovers) promoteWithFence(controller *failover.Controller, service string, action failover.Action) {
	fence, ok := f.nextFencingToken()
	if ok {
		go f.promote(controller, service, action.ID, fence)
		return
	}
	server := f.owner.server
	server.log.Event(events.FailoverStatus, "svc", service, "member", action.ID,
		"what", "this term's fencing tokens are exhausted; transferring leadership")
	controller.HandlePromoteResult(action.ID, http.StatusConflict, server.now())
	server.loop.offer(func() { server.loop.node.TransferLeadership(server.now()) })
}

// handlePrimaryReport records a driver's report on a primary. A machine that does not lead forwards it to the leader.
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

// stepFailovers steps each service's controller with the current state, and then the roster.
func (s *softState) stepFailovers(now float64) {
	if s.config == nil {
		return
	}
	live := s.members.live()
	drivers := len(s.drivers.table.Drivers())
	for i := range s.config.Services {
		service := &s.config.Services[i]
		controller := s.failovers.controllers[service.Name]
		if controller == nil {
			controller = failover.New(now)
			s.failovers.controllers[service.Name] = controller
		}
		view := s.failoverView(service, live[service.Name], drivers, now)
		for _, action := range controller.Step(view, now) {
			s.failovers.perform(controller, service.Name, action)
		}
	}
	if s.directoryYoung(now) {
		return
	}
	s.roster.step(live, now)
	s.removeStale(live, now)
}

// directoryYoung reports whether members may be unknown, as this process has run for a short time.
func (s *softState) directoryYoung(now float64) bool {
	heartbeatInterval := ms(s.server.settings.HeartbeatInterval)
	return now < max(ms(minDirectoryAge), minDirectoryIntervals*heartbeatInterval)
}

// removeStale drops the connections to departed members, and the controllers and reports of services that are no longer
// configured. A service that is configured again starts as under a new leader.
func (s *softState) removeStale(live map[string][]directory.Member, now float64) {
	f := &s.failovers
	if now < f.nextCleanupAt {
		return
	}
	f.nextCleanupAt = now + cleanupIntervalMs
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

// failoverView returns the state of a service by which its controller decides.
func (s *softState) failoverView(service *config.Service, live []directory.Member, drivers int,
	now float64) *failover.View {
	view := &failover.View{Service: service.Name, SyncReplicas: service.SyncReplicas, Drivers: drivers,
		MembershipUncertain: s.failovers.membershipUncertain(now), PendingPromote: s.pendingPromote(service.Name),
		Writer: s.writerOf(service.Name, now), DirectoryIncomplete: s.directoryYoung(now)}
	for _, m := range live {
		view.Members = append(view.Members, failover.Member{
			ID: m.ID, Generation: m.Generation, Draining: m.Leaving,
			SinceHeartbeat: s.members.table.HeartbeatAge(m.ID, now),
			Primary:        m.Role == directory.RolePrimary,
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

// countReport counts a driver's report for the member that it is on. After a change of the primary there are reports on
// the former one.
func countReport(view *failover.View, r *controlmsg.PrimaryReport) {
	i := slices.IndexFunc(view.Members, func(m failover.Member) bool { return m.ID == r.MemberID })
	if i < 0 {
		return
	}
	reports := &view.Members[i].Reports
	switch {
	case r.CommitsStalled:
		reports.Stalled++
	case r.UnresponsiveMs > 0 || r.Unreachable:
		reports.Suspect++
	default:
		reports.Healthy++
	}
}

// perform carries out an action of a service's controller. Calls to members and the platform run in goroutines of their
// own, which are bounded by a timeout and return their result as a command to the owner.
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
	case failover.AssignWriter:
		s.assignWriter(service, action.ID)
	case failover.RecordPromote:
		f.recordPromote(service, action.Record)
	case failover.ClearPromote:
		f.clearPromote(service, action.Record)
	case failover.RelayStatus, failover.RelayStepDown:
		statement := statusStatement(action)
		log.Event(events.FailoverStep, "svc", service, "step", statement+" through agents", "member", action.ID)
		s.relayStatement(controller, action.ID, statement)
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

// statusStatement returns the statement that carries out an action at a member and is answered with the member's
// status. PAUSE and STEPDOWN include the next term, so that repeating one has no further effect.
func statusStatement(action failover.Action) string {
	nextTerm := strconv.FormatUint(action.Term+1, 10)
	switch action.Kind {
	case failover.PauseReplication:
		return "PAUSE " + nextTerm
	case failover.ResumeReplication:
		return "CONT"
	case failover.StepDown, failover.RelayStepDown:
		return "STEPDOWN " + nextTerm
	}
	return "STAT"
}

// queryStatus sends a member a statement, and passes the result to the controller.
func (f *failovers) queryStatus(controller *failover.Controller, member directory.Member, kind failover.ActionKind,
	statement string) {
	s := f.owner
	sentAt := s.server.now()
	status, refused, err := s.memberClient.queryStatus(member, statement)
	s.enqueue(func() {
		if err != nil {
			controller.HandleStatusFailure(member.ID, refused, s.server.now())
			return
		}
		controller.HandleStatus(member.ID, kind, sentAt, status)
	})
}

// promote asks the platform to make a member the primary, and passes the result to the controller.
func (f *failovers) promote(controller *failover.Controller, service, id string, fence uint64) {
	s := f.owner
	srv := s.server
	call := platformCall{addr: srv.settings.PlatformAddr, caller: srv.settings.Hostname, fence: fence,
		service: service, member: id}
	status, err := call.do(srv.ctx)
	if err != nil {
		srv.log.Error(events.PlatformCall, err, "svc", service, "member", id)
	} else {
		srv.log.Event(events.PlatformCall, "svc", service, "member", id, "fence", fence, "status", status)
	}
	s.enqueue(func() { controller.HandlePromoteResult(id, status, srv.now()) })
}
