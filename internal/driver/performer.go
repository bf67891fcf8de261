package driver

import (
	"time"

	"weirwind/logic"
)

// maxHealthChecks limits concurrent health checks; the module decides again later on those beyond the limit.
const maxHealthChecks = 64

// The methods of this file make Service the decider's performer. They are called under the decider's lock.

// checkHealth sends a health check to a member and passes its result to the decider.
func (s *Service) checkHealth(member string) {
	if s.openHealthChecks.Add(1) > maxHealthChecks {
		s.openHealthChecks.Add(-1)
		return
	}
	s.counters.Probes.Add(1)
	s.healthChecks.Go(func() error {
		defer s.openHealthChecks.Add(-1)
		beganAt := time.Now()
		r := s.pool.newAttempt(member, nil, s.pool.connectTimeout).run()
		s.decider.healthChecked(member, r, time.Since(beganAt))
		if s.switchovers != nil && r.outcome == logic.OK {
			s.switchovers.observeRole(member, r.reportRole)
		}
		return nil
	})
}

func (s *Service) logDecision(text string) { s.log.Info("decided", "text", text) }

func (s *Service) sendToPeers(data []byte) { s.fleet.datagrams.send(data) }

// requestList resumes the watch of discovery after a failure.
func (s *Service) requestList() {
	select {
	case s.listRequested <- struct{}{}:
	default:
	}
}
