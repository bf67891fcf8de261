package proxy

import (
	"io"
	"net"
	"time"

	"weirwind/internal/util/events"
)

// phase is a phase of the graceful shutdown. The phases follow each other in ascending order.
type phase int32

const (
	serving     phase = iota
	draining          // the process is not ready; sessions end when they are idle
	closingIdle       // like draining, with a shorter idle timeout
	closingAll        // open transactions are rolled back as well
	refusing          // new statements are refused; sessions end after their current answer
)

const (
	readinessDelay = 2300 * time.Millisecond // until the platform has noticed that the process is not ready
	killMargin     = 500 * time.Millisecond  // before the end of the grace period, when the platform kills the process
	wakeInterval   = 25 * time.Millisecond
	lingerTimeout  = 100 * time.Millisecond // for a client to notice the end of the connection
)

// idleTimeouts are the idle timeouts of sessions in each phase; 0 means no limit.
var idleTimeouts = [...]time.Duration{
	serving:     0,
	draining:    300 * time.Millisecond,
	closingIdle: 100 * time.Millisecond,
	closingAll:  40 * time.Millisecond,
	refusing:    40 * time.Millisecond,
}

func (p *Proxy) phase() phase { return phase(p.shutdownPhase.Load()) }

func (p *Proxy) enterPhase(next phase) { p.shutdownPhase.Store(int32(next)) }

func (p *Proxy) idleTimeout() time.Duration { return idleTimeouts[p.phase()] }

// shutDown disconnects the clients, phase by phase, within the grace period. New clients are accepted in all phases:
// the platform sends them here until it has noticed that the process is not ready, and for as long as their zone has no
// other process.
func (p *Proxy) shutDown(listener net.Listener) {
	p.log.Event(events.Stopping, "sessions", p.clientConns.Load())
	startedAt, grace := time.Now(), p.settings.GracePeriod
	p.enterPhase(draining)
	p.awaitSessions(startedAt.Add(min(readinessDelay, grace/2)))
	p.enterPhase(closingIdle)
	if !p.awaitSessions(startedAt.Add(grace / 2)) {
		p.enterPhase(closingAll)
		killDeadline := grace - killMargin
		if !p.awaitSessions(startedAt.Add((grace/2 + killDeadline) / 2)) {
			p.enterPhase(refusing)
			p.awaitSessions(startedAt.Add(killDeadline))
		}
	}
	_ = listener.Close()
}

// awaitSessions waits until the given time while it wakes the sessions. From phase closingIdle on it returns true as
// soon as no session is left.
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

// wakeSessions makes all sessions that wait for their clients check the phase.
func (p *Proxy) wakeSessions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.wake()
	}
}

// refusesStatements reports whether new statements are refused instead of sent to a member: the end of the process
// could interrupt a statement that is sent so late. The session of a client that sends without pauses is never idle and
// would otherwise last until then.
func (s *session) refusesStatements() bool { return s.proxy.phase() >= refusing }

// closeIfRefusing ends the session after an answer if the process refuses statements, and reports whether it did. It
// closes the sending half of the connection, and reads and discards input for lingerTimeout: the client may be sending
// its next message, and closing a connection with unread input resets it, which may lose the last answer.
func (s *session) closeIfRefusing() bool {
	if s.tx != nil || !s.refusesStatements() {
		return false
	}
	if halfCloser, ok := s.client.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		_ = s.client.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, s.client) // until the client disconnects or lingerTimeout ends
	}
	return true
}
