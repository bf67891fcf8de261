package proxy

import (
	"io"
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
	refusing          // nothing new goes to members; sessions end with the answer that they wait for
)

const (
	readinessDelay = 2300 * time.Millisecond // until the platform has seen that the process is not ready
	killMargin     = 500 * time.Millisecond  // before the end of the grace period, at which the platform kills
	wakeInterval   = 25 * time.Millisecond
	lingerTime     = 100 * time.Millisecond // for a client that is told of the end to see it
)

// idleTimeouts are how long a session may be idle in each phase before it ends; 0: for ever.
var idleTimeouts = [...]time.Duration{
	serving:     0,
	draining:    300 * time.Millisecond,
	closingIdle: 100 * time.Millisecond,
	closingAll:  40 * time.Millisecond,
	refusing:    40 * time.Millisecond,
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
		last := grace - killMargin
		if !p.awaitSessions(startedAt.Add((grace/2 + last) / 2)) {
			p.enter(refusing)
			p.awaitSessions(startedAt.Add(last))
		}
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

// refuses says whether a statement that would go to a member is refused instead: what is sent so late could be cut by
// the end of the process. A client that asks without a pause is never idle, and its session would last until then.
func (s *session) refuses() bool { return s.proxy.phase() >= refusing }

// endsAfterAnswer ends a session that was answered after the process has begun to refuse. The client may be sending its
// next message: what comes is read and dropped for a while, as a connection that is closed with something unread is
// reset, and the last answer may be lost by that.
func (s *session) endsAfterAnswer() bool {
	if s.tx != nil || !s.refuses() {
		return false
	}
	if half, ok := s.client.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_ = s.client.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.Copy(io.Discard, s.client) // until the client is gone or the time is over
	}
	return true
}
