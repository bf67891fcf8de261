package controlplane

// This file owns what a leader does about successions: it gives failover its view and carries out what it says.

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/controlplane/failover"
	"weirwind/internal/dataplane/memberconn"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/idempotency"
)

const (
	statTime = 700 * time.Millisecond
	callTime = 2 * time.Second

	fenceCallBits = 16 // of a fence, for the number of the call; the others are the term

	tableKnows = 2 * time.Second // and four beats: all members have told of themselves by then
)

// lead begins or ends this machine's lead.
func (t *tables) lead(leads bool, term uint64) {
	t.leading, t.term = leads, term
	t.successions, t.reports = map[string]*failover.Controller{}, map[string]map[string]report{}
	t.asker.forget()
	t.mover = nil
	t.calls, t.covered, t.rosterAt = 0, map[config.RosterMember]bool{}, 0
	t.granted, t.ledAt = map[string]float64{}, t.h.now()
}

func (t *tables) step(now float64) {
	if t.config == nil || now < max(ms(tableKnows), 4*ms(t.h.set.HeartbeatInterval)) {
		return // a process that has just begun doesn't know all members yet: one that it lacks may alone hold a commit, or lead
	}
	bySvc := t.present()
	drivers := len(t.leases.Drivers())
	for i := range t.config.Services {
		cs := &t.config.Services[i]
		s := t.successions[cs.Name]
		if s == nil {
			s = failover.New(now)
			t.successions[cs.Name] = s
		}
		v := &failover.View{Service: cs.Name, SyncReplicas: cs.SyncReplicas, Drivers: drivers, MembershipUncertain: t.doubtful(now)}
		for _, m := range bySvc[cs.Name] {
			v.Members = append(v.Members, failover.Member{ID: m.ID, Generation: m.Generation, Draining: m.Leaving, SinceHeartbeat: t.members.HeartbeatAge(m.ID, now),
				Primary: m.Role == directory.RolePrimary, Replica: m.Role == directory.RoleReplica,
				Unlisted: cs.SyncReplicas > 0 && !t.state.Roster.Contains(cs.Name, m.ID)})
		}
		if cs.SyncReplicas > 0 {
			v.Members = append(v.Members, t.absent(cs.Name, now)...)
		}
		for _, r := range t.reports[cs.Name] {
			if now-r.at < accuseFor {
				if r.r.CommitsStalled {
					v.StallReports++
				} else if r.r.UnresponsiveMs > 0 || r.r.Unreachable {
					v.SuspectReports++
				} else {
					v.HealthyReports++
				}
			}
		}
		t.carry(s, v, now)
	}
	t.tendRoster(bySvc, now)
}

func (t *tables) carry(s *failover.Controller, v *failover.View, now float64) {
	for _, a := range s.Step(v, now) {
		switch a.Kind {
		case failover.Log:
			t.h.log.Event(events.Succession, "svc", v.Service, "member", a.ID, "what", a.Reason)
		case failover.EnforceDrain:
			t.bind(a.ID)
		case failover.Promote:
			t.h.log.Event(events.SuccessStep, "svc", v.Service, "step", "failover", "to", a.ID, "from", a.Reason)
			go t.failover(s, v.Service, a.ID, t.nextFence())
		case failover.AllowRemoval:
			t.covered[config.RosterMember{Service: v.Service, ID: a.ID}] = true
		default:
			if m, ok := t.members.Get(a.ID); ok {
				text := [...]string{failover.QueryStatus: "STAT", failover.PauseReplication: "PAUSE " + strconv.FormatUint(a.Term+1, 10), failover.ResumeReplication: "CONT",
					failover.StepDown: "STEPDOWN " + strconv.FormatUint(a.Term+1, 10)}[a.Kind]
				if a.Kind != failover.QueryStatus {
					t.h.log.Event(events.SuccessStep, "svc", v.Service, "step", text, "member", a.ID)
				}
				go t.question(s, m, a.Kind, text)
			} else {
				s.HandleStatusFailure(a.ID, false)
			}
		}
	}
}

func (t *tables) question(s *failover.Controller, m directory.Member, k failover.ActionKind, text string) {
	sent := t.h.now()
	st, refused, err := t.asker.ask(m, text)
	t.do(func() {
		if err != nil {
			s.HandleStatusFailure(m.ID, refused)
			return
		}
		s.HandleStatus(m.ID, k, sent, st)
	})
}

// platformClient puts each call over a connection of its own: one that was kept may have ended unseen, and whether a call over it has
// arrived would not be known. A call without an answer is not put again here; failover decides what follows.
var platformClient = &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}

// nextFence is higher than that of every call before it, of this leader and of earlier ones: a call that is carried out late is
// refused once a later one was seen.
func (t *tables) nextFence() uint64 {
	t.calls++
	return t.term<<fenceCallBits | min(t.calls, 1<<fenceCallBits-1)
}

// failover calls the platform, with this machine as holder.
func (t *tables) failover(s *failover.Controller, svc, id string, fence uint64) {
	body, _ := json.Marshal(map[string]string{"svc": svc, "id": id})
	status := 0
	req, err := http.NewRequestWithContext(t.h.ctx, http.MethodPost, "http://"+t.h.set.PlatformAddr+"/failover", bytes.NewReader(body))
	if err == nil {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("Weirwind-Holder", t.h.set.Hostname)
		req.Header.Set("Weirwind-Fence", strconv.FormatUint(fence, 10))
		var resp *http.Response
		if resp, err = platformClient.Do(req); err == nil {
			io.Copy(io.Discard, io.LimitReader(resp.Body, 4<<10))
			resp.Body.Close()
			status = resp.StatusCode
		}
	}
	if err != nil {
		t.h.log.Error(events.PlatformCall, oops.In("failover").With("peer", t.h.set.PlatformAddr).Wrap(err), "svc", svc, "member", id)
	} else {
		t.h.log.Event(events.PlatformCall, "svc", svc, "member", id, "fence", fence, "status", status)
	}
	t.do(func() { s.HandlePromoteResult(id, status, t.h.now()) })
}

// asker keeps a connection to each member that is asked.
type asker struct {
	conns chan map[string]*memberconn.Conn
}

func newAsker() *asker {
	a := &asker{conns: make(chan map[string]*memberconn.Conn, 1)}
	a.conns <- map[string]*memberconn.Conn{}
	return a
}

func (a *asker) forget() {
	all := <-a.conns
	a.conns <- map[string]*memberconn.Conn{}
	for _, c := range all {
		c.Close()
	}
}

func (a *asker) get(id string) *memberconn.Conn {
	all := <-a.conns
	defer func() { a.conns <- all }()
	c := all[id]
	delete(all, id)
	return c
}

func (a *asker) put(id string, c *memberconn.Conn) {
	all := <-a.conns
	defer func() { a.conns <- all }()
	if old := all[id]; old != nil {
		old.Close()
	}
	all[id] = c
}

// ask puts one question of state; refused: the member takes no connection. A second run of one is the same again: STAT changes
// nothing, PAUSE and STEPDOWN name their term, CONT lets go what may be let go.
func (a *asker) ask(m directory.Member, text string) (st wire.MemberStatus, refused bool, err error) {
	until := time.Now().Add(statTime)
	refused, err = a.with(m, until, idempotency.Idempotent, func(c *memberconn.Conn) (wrong error) {
		st, wrong = c.QueryStatus(text, until)
		return wrong
	})
	if err != nil {
		err = oops.In("stat").With("peer", m.Addr).Wrap(err)
	}
	return st, refused, err
}

// with puts a question over a kept connection, or a new one where that has ended as it rested and the question may be put again.
func (a *asker) with(m directory.Member, until time.Time, kind idempotency.Kind, put func(*memberconn.Conn) error) (refused bool, err error) {
	c := a.get(m.ID)
	for kept := c != nil; ; kept = false {
		if c == nil {
			if c, refused, err = memberconn.Dial(m, until); err != nil {
				return refused, err
			}
		}
		err = put(c)
		var said *memberconn.MemberError
		switch {
		case err == nil, errors.As(err, &said):
			a.put(m.ID, c)
			return false, err
		case !kept || !kind.MayRetry(err) || !time.Now().Before(until):
			c.Close()
			return false, err
		}
		c.Close()
		c = nil
	}
}
