package driver

import (
	"time"

	"weirwind/logic"
)

// maxHealthChecks are open at a time; the module decides on more anew, later.
const maxHealthChecks = 64

// The methods of this file make Service the decider's performer. They are called under the decider's lock.

// checkHealth sends a health check to a member; its result goes to the decider.
func (v *Service) checkHealth(member string) {
	if v.openHealthChecks.Add(1) > maxHealthChecks {
		v.openHealthChecks.Add(-1)
		return
	}
	v.counters.Probes.Add(1)
	v.healthChecks.Go(func() error {
		defer v.openHealthChecks.Add(-1)
		began := time.Now()
		r := v.pool.newAttempt(member, nil, v.pool.connectTimeout).run()
		v.decider.healthChecked(member, r, time.Since(began))
		if v.switchovers != nil && r.outcome == logic.OK {
			v.switchovers.observeRole(member, r.reportRole)
		}
		return nil
	})
}

func (v *Service) logDecision(text string) { v.log.Info("decided", "text", text) }

func (v *Service) sendToPeers(data []byte) { v.fleet.datagrams.send(data) }

// requestList has the watch of discovery go on after a failure.
func (v *Service) requestList() {
	select {
	case v.listRequested <- struct{}{}:
	default:
	}
}
