package soak

// This file executes events.

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"weirwind/internal/standin/cluster"
	"weirwind/internal/standin/replicaset"
)

// minHangupAge is the minimum age of a process that is sent SIGHUP: a process that does not handle the signal yet is
// killed by it.
const minHangupAge = 2 * time.Second

// execute executes an event to its end, even if the context is done meanwhile: afterwards all that it disturbed is
// restored.
func (r *run) execute(ctx context.Context, e Event) {
	r.logf("event %v", e)
	switch e.Kind {
	case KindChange:
		r.operators.makeChange(ctx, e.Change)
	case KindRelease:
		r.release(e.Targets[0], e.Duration)
	case KindCrash, KindLag, KindPartition, KindMemberFreeze, KindReturn:
		r.disturbMember(e)
	case KindCoreCut:
		r.cutPrimaries(e)
	case KindLostAnswers:
		defer r.journal.begin("", e.Kind)()
		r.deployment.Service.With(func(*replicaset.Group) { r.deployment.Service.LoseAnswers += e.Times })
	case KindHangup:
		r.hangUp(e)
	default:
		r.disturbProcesses(ctx, e)
	}
}

// disturbProcesses applies an event to its targets, all at once or at intervals.
func (r *run) disturbProcesses(ctx context.Context, e Event) {
	var all sync.WaitGroup
	for _, target := range e.Targets {
		name := r.resolveTarget(ctx, target)
		if name == "" {
			r.logf("%s: there is no %s", e.Kind, target)
			continue
		}
		all.Go(func() { r.disturbProcess(name, e) })
		time.Sleep(e.Interval)
	}
	all.Wait()
}

// disturbProcess restarts or freezes a process. A process that another event has ended is left to that event.
func (r *run) disturbProcess(name string, e Event) {
	if e.Kind == KindFreeze {
		r.freeze(name, e.Duration)
		return
	}
	end := r.journal.begin(name, e.Kind)
	defer end()
	if !r.processes.claimEnd(name) {
		r.logf("%s %s: it is being restarted", e.Kind, name)
		if e.Kind == KindKill && r.processes.isEnding(name) {
			r.deployment.Signal(name, syscall.SIGKILL) // during its graceful shutdown
		}
		return
	}
	if e.Kind == KindKill {
		r.deployment.Kill(name)
	} else {
		r.terminate(name)
	}
	r.processes.recordEnd(name)
	time.Sleep(e.Duration)
	r.deployment.Start(name, false)
	r.processes.recordStart(name)
}

// terminate ends a process as the platform does.
func (r *run) terminate(name string) {
	began := time.Now()
	if r.deployment.Terminate(name, graceTime) {
		return
	}
	if time.Since(began) > graceTime+cluster.DumpTime+killTime {
		r.starved.record(name, began, time.Now())
	}
	r.reportLateEnd(name, began)
}

// reportLateEnd records a process that was still running after the grace period, and logs what it was waiting for. A
// process that was frozen since its SIGTERM is not recorded.
func (r *run) reportLateEnd(name string, terminatedAt time.Time) {
	if r.journal.disturbed(name, terminatedAt, time.Now(), KindFreeze) {
		return
	}
	r.recordMissed(name, terminatedAt, "late end", "%s was still running %v after SIGTERM", name, graceTime)
	r.logf("%s was late:\n%s", name, lastState(r.deployment.Log(name)))
}

func (r *run) freeze(name string, lasts time.Duration) {
	defer r.journal.begin(name, KindFreeze)()
	r.deployment.Signal(name, syscall.SIGSTOP)
	time.Sleep(lasts)
	r.deployment.Signal(name, syscall.SIGCONT)
}

// hangUp sends a series of SIGHUPs to each target.
func (r *run) hangUp(e Event) {
	for range e.Times {
		for _, name := range e.Targets {
			if r.processes.age(name) < minHangupAge && !r.processes.isEnding(name) {
				continue
			}
			end := r.journal.begin(name, KindHangup)
			r.deployment.Signal(name, syscall.SIGHUP)
			end()
		}
		time.Sleep(e.Interval)
	}
}

// findMember returns the id of a member that matches an event's target, "" if there is none.
func (r *run) findMember(target string) (id string) {
	r.deployment.Service.With(func(group *replicaset.Group) {
		primary := group.Leader()
		for _, m := range group.Members {
			if m.Up && !m.Draining && (m == primary) == (target == targetPrimary) {
				id = m.ID
			}
		}
	})
	return id
}

// disturbMember crashes a member for a while, keeps a replica from receiving, or cuts the primary off from the others.
func (r *run) disturbMember(e Event) {
	id := r.findMember(e.Targets[0])
	if id == "" {
		r.logf("%s: there is no %s", e.Kind, e.Targets[0])
		return
	}
	defer r.journal.begin(id, e.Kind)()
	service := r.deployment.Service
	update := func(change func(*replicaset.Member)) {
		service.With(func(group *replicaset.Group) { change(group.Member(id)) })
	}
	switch e.Kind {
	case KindLag:
		update(func(m *replicaset.Member) { m.NotReceiving = true })
		defer update(func(m *replicaset.Member) { m.NotReceiving = false })
	case KindPartition:
		update(func(m *replicaset.Member) { m.Partitioned = true })
		defer update(func(m *replicaset.Member) { m.Partitioned = false })
	case KindMemberFreeze:
		service.Freeze(id)
		defer service.Thaw(id)
	case KindReturn:
		next := fmt.Sprint("m", r.members.Add(1))
		service.Crash(id)
		defer func() {
			r.deployment.ReturnAs(id, next)
			r.logf("%s is back as %s", id, next)
		}()
	default:
		service.Crash(id)
		defer update((*replicaset.Member).Restart)
	}
	time.Sleep(e.Duration)
}

// release replaces a member: a new one joins, and the old one drains and leaves.
func (r *run) release(target string, lasts time.Duration) {
	id := r.findMember(target)
	if id == "" {
		r.logf("release: there is no %s", target)
		return
	}
	defer r.journal.begin(id, KindRelease)()
	n := int(r.members.Add(1))
	joined := fmt.Sprint("m", n)
	if err := r.deployment.AddMember(joined, n); err != nil {
		r.logf("release: %v", err)
		return
	}
	time.Sleep(joinTime)
	r.deployment.Service.With(func(group *replicaset.Group) { group.Member(id).Draining = true })
	time.Sleep(lasts)
	acknowledged := r.deployment.RemoveMember(id)
	r.logf("release: %s left for %s, acknowledged: %v", id, joined, acknowledged)
}
