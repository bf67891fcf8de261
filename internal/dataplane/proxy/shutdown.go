package proxy

import (
	"net"
	"time"

	"weirwind/internal/util/events"
)

// phase is how far a graceful shutdown has come. Phases follow each other in order and never go back.
type phase int32

const (
	serving     phase = iota
	draining          // not ready any more; idle sessions end, others after the answers that they wait for
	closingIdle       // the same, with less patience
	closingAll        // transactions that are still open are rolled back
)

const (
	readinessDelay = 2300 * time.Millisecond // until the platform has seen that the process is not ready
	killMargin     = 500 * time.Millisecond  // before the end of the grace period, at which the platform kills
	wakeInterval   = 25 * time.Millisecond
)

// idleTimeouts are how long a session may be idle in each phase before it ends; 0: for ever.
var idleTimeouts = [...]time.Duration{
	serving:     0,
	draining:    300 * time.Millisecond,
	closingIdle: 100 * time.Millisecond,
	closingAll:  40 * time.Millisecond,
}

func (p *Proxy) phase() phase { return phase(p.shutdownPhase.Load()) }

func (p *Proxy) enter(next phase) { p.shutdownPhase.Store(int32(next)) }

func (p *Proxy) idleTimeout() time.Duration { return idleTimeouts[p.phase()] }

// shutDown disconnects the clients, phase by phase, within the grace period. New clients are served in all of them:
// they still come for as long as the platform hasn't seen that the process is not ready, or has no other in their
// zone.
func (p *Proxy) shutDown(front net.Listener) {
	p.log.Event(events.Stopping, "sessions", p.clientConns.Load())
	startedAt, grace := time.Now(), p.settings.GracePeriod
	p.enter(draining)
	p.awaitSessions(startedAt.Add(min(readinessDelay, grace/2)))
	p.enter(closingIdle)
	if !p.awaitSessions(startedAt.Add(grace / 2)) {
		p.enter(closingAll)
		p.awaitSessions(startedAt.Add(grace - killMargin))
	}
	_ = front.Close()
}

// awaitSessions waits until the time until. true: the phase is closingIdle or later, and no session was left before.
func (p *Proxy) awaitSessions(until time.Time) bool {
	for time.Now().Before(until) {
		p.wakeSessions()
		time.Sleep(wakeInterval)
		if p.phase() >= closingIdle && p.clientConns.Load() == 0 {
			return true
		}
	}
	return false
}

// wakeSessions has all sessions that wait for their clients look at the phase.
func (p *Proxy) wakeSessions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.wake()
	}
}
