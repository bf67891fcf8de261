package soak

// This file generates and executes pairs of cuts between primaries and the core. Those between the two halves of a pair
// are meant to meet evidence that is late: the role in an old heartbeat, a reply to an earlier leader of the core.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"weirwind/internal/standin/replicaset"
)

// Parameters of schedules with core cuts.
const (
	firstCoreCut          = 4 * time.Second // before, a core that has just started decides nothing
	minCoreCut            = 3 * time.Second // long enough for a failover
	maxCoreCut            = 6 * time.Second
	maxCoreCutGap         = 4 * time.Second // between the cuts of a pair
	leaderKillProbability = 0.5             // of pairs
	restartProbability    = 0.5             // of pairs, where replicas restart
	maxReplicaDowntime    = 1500 * time.Millisecond

	heartbeatPeriod   = 1200 * time.Millisecond
	lateHeartbeats    = 0.2 // share of heartbeats
	maxHeartbeatDelay = 1500 * time.Millisecond
	maxPromoteDelay   = 600 * time.Millisecond
	maxLateEffect     = 8 * time.Second
	joinProbability   = 0.5 // of pairs, where promotes take effect late

	agentAnswerLoss        = 0.25 // share of agents' statements that reach a member, of which the answer is lost
	primaryFaultRate       = 0.5  // of pairs with lost agents' statements: the primary freezes, or crashes and returns
	frontFreezeProbability = 0.5
	maxReturnTime          = 1200 * time.Millisecond
)

// coreCutEvents returns the events that begin at a time: a pair of core cuts with what happens between them, or an
// event of processes.
func (d *generator) coreCutEvents(at time.Duration) (events []Event) {
	if at < max(firstCoreCut, d.memberFreeAt) {
		return []Event{d.plannedEvent(at)}
	}
	pair := Event{At: at, Kind: KindCoreCut, Targets: []string{targetPrimary},
		Interval: d.randomDuration(minFault, maxCoreCutGap), Duration: d.randomDuration(minCoreCut, maxCoreCut)}
	d.memberFreeAt = at + pair.Interval + pair.Duration + memberFaultGap
	events = append(events, pair)
	between := func() time.Duration { return at + d.randomDuration(0, pair.Interval+time.Second) }
	if d.random.Float64() < leaderKillProbability && at >= d.coreFreeAt {
		kill := Event{At: between(), Kind: KindKill, Targets: []string{targetLeader},
			Duration: d.randomDuration(minFault, maxPause)}
		d.coreFreeAt = kill.At + kill.Duration + maxRestartTime + catchupTime
		events = append(events, kill)
	}
	if d.schedule.Shape.Restarts && d.random.Float64() < restartProbability {
		events = append(events, Event{At: between(), Kind: KindCrash, Targets: []string{targetReplica},
			Duration: d.randomDuration(minFault, maxReplicaDowntime)})
	}
	if d.schedule.Shape.AgentLoss > 0 {
		events = append(events, d.unreachableEvents(between)...)
	}
	if d.schedule.Shape.LateEffects && d.random.Float64() < joinProbability {
		events = append(events,
			Event{At: between(), Kind: KindRelease, Targets: []string{targetReplica}, Duration: drainTime},
			Event{At: between(), Kind: KindLostAnswers, Times: 1 + d.random.IntN(maxLostAnswers)})
	}
	return events
}

// unreachableEvents returns faults of the primary and of fronts beside a pair of core cuts.
func (d *generator) unreachableEvents(between func() time.Duration) (events []Event) {
	if d.random.Float64() < primaryFaultRate {
		kind, most := KindReturn, maxReturnTime
		if d.random.IntN(2) == 0 {
			kind, most = KindMemberFreeze, maxMemberFault
		}
		events = append(events, Event{At: between(), Kind: kind, Targets: []string{targetPrimary},
			Duration: d.randomDuration(minFault, most)})
	}
	if d.random.Float64() < frontFreezeProbability {
		events = append(events, Event{At: between(), Kind: KindFreeze, Targets: d.fronts(),
			Duration: d.randomDuration(minFault, maxFreeze)})
	}
	return events
}

// plannedEvent returns a restart of fronts, a series of SIGHUP or a change of the configuration.
func (d *generator) plannedEvent(at time.Duration) Event {
	kinds := []Kind{KindRestart, KindHangup, KindChange, KindChange}
	e := Event{At: at, Kind: kinds[d.random.IntN(len(kinds))]}
	switch e.Kind {
	case KindChange:
		e.Change = d.change()
	case KindHangup:
		d.setHangups(&e)
	default:
		e.Targets, e.Duration = d.fronts(), d.randomDuration(minFault, maxPause)
	}
	return e
}

// cutPrimaries executes a pair of core cuts.
func (r *run) cutPrimaries(pair Event) {
	var cuts sync.WaitGroup
	defer cuts.Wait()
	cuts.Go(func() { r.cutPrimary(pair.Duration) })
	time.Sleep(pair.Interval)
	cuts.Go(func() { r.cutPrimary(pair.Duration) })
}

// cutPrimary cuts the member that is the primary now off from the core for a while.
func (r *run) cutPrimary(lasts time.Duration) {
	id := r.findMember(targetPrimary)
	if id == "" {
		r.logf("%s: there is no %s", KindCoreCut, targetPrimary)
		return
	}
	r.logf("%s is cut off from the core for %v", id, lasts)
	defer r.journal.begin(id, KindCoreCut)()
	service := r.deployment.Service
	service.With(func(*replicaset.Group) { service.CutFromCore[id]++ })
	defer service.With(func(*replicaset.Group) { service.CutFromCore[id]-- })
	time.Sleep(lasts)
}

// makeLate makes heartbeats late, and promotes take a while.
func (r *run) makeLate() {
	service := r.deployment.Service
	service.With(func(*replicaset.Group) {
		service.LateHeartbeats, service.MaxHeartbeatDelay = lateHeartbeats, maxHeartbeatDelay
		if r.shape.AgentLoss > 0 {
			service.AgentLossRate, service.AgentAnswerLossRate = r.shape.AgentLoss, agentAnswerLoss
		}
	})
	if r.shape.LateEffects {
		r.setPromoteDelay(maxLateEffect)
	} else {
		r.setPromoteDelay(maxPromoteDelay)
	}
}

// setPromoteDelay bounds the time from the platform's answer to later promotes until these take effect.
func (r *run) setPromoteDelay(most time.Duration) {
	service := r.deployment.Service
	service.With(func(*replicaset.Group) { service.MaxPromoteDelay = most })
}

// resolveTarget returns the name of an event's target process: for targetLeader that of the core machine that leads
// now, "" if none does.
func (r *run) resolveTarget(ctx context.Context, name string) string {
	if name != targetLeader {
		return name
	}
	for n, core := range r.deployment.Cores {
		if ctx.Err() != nil {
			return ""
		}
		code, body := r.deployment.Call(http.MethodGet, core, "/status?brief=1", "", nil)
		var status struct {
			Leading bool `json:"leads"`
		}
		if code == http.StatusOK && json.Unmarshal([]byte(body), &status) == nil && status.Leading {
			return fmt.Sprint(prefixCore, n)
		}
	}
	return ""
}
