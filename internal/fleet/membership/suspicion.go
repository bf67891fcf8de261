package membership

import (
	"math"
	"slices"
)

// suspicion is the state of a suspected peer.
type suspicion struct {
	beganAt  float64
	scale    float64         // factor of the timeout: 1 at good health of this driver, otherwise more
	accusers map[string]bool // names of the drivers that reported it, at least one
}

// confirm adds an accuser, and returns false if it is known or enough are.
func (s *suspicion) confirm(accuser string) bool {
	if s.accusers[accuser] || len(s.accusers) > maxConfirmations {
		return false
	}
	s.accusers[accuser] = true
	return true
}

// beginSuspicion starts a peer's suspicion, or restarts it for a higher incarnation. Some of the drivers that learn of
// the suspicion recheck the peer themselves.
func (f *Fleet) beginSuspicion(suspect *peer, before State) {
	if before != Suspect {
		f.suspects = append(f.suspects, suspect)
	}
	accuser := suspect.ReportedBy
	suspect.suspicion = suspicion{beganAt: f.now, scale: 1 + float64(f.health)/2, accusers: map[string]bool{accuser: true}}
	if accuser == f.self.Name || len(f.recheck) >= maxRechecks {
		return
	}
	if f.random.Float64()*float64(f.aliveCount()) < suspicionCheckers {
		f.recheck = append(f.recheck, suspect.Name)
	}
}

// advanceSuspicions marks suspects as failed after their timeout, and pings them again shortly before.
func (f *Fleet) advanceSuspicions() {
	for _, suspect := range slices.Clone(f.suspects) {
		if suspect.State != Suspect {
			continue
		}
		deadline := f.suspicionDeadline(suspect)
		if f.now >= deadline {
			r := suspect.Record
			r.State, r.ReportedBy = Failed, f.self.Name
			f.applyRecord(r)
			continue
		}
		fewAccusers := len(suspect.suspicion.accusers) <= maxConfirmations
		nearDeadline := f.now >= deadline-lastProbeBefore*f.options.Period
		if fewAccusers && nearDeadline && f.now >= suspect.nextReprobe { // its refutation may have been lost
			suspect.nextReprobe = f.now + f.options.Period/2
			f.send(suspect.Address, Message{Kind: Ping, Target: suspect.Name, Records: []Record{suspect.Record}})
		}
	}
	f.suspects = slices.DeleteFunc(f.suspects, func(p *peer) bool { return p.State != Suspect })
}

// suspicionDeadline returns when a suspect is marked as failed: sooner with more confirmations, and later the worse
// this driver's health was (Lifeguard, section 4).
func (f *Fleet) suspicionDeadline(suspect *peer) float64 {
	shortest, longest := minSuspicion*f.options.Period, maxSuspicion*f.options.Period
	confirmers := 0 // possible confirmers, up to maxConfirmations
	for _, p := range f.peers {
		if p.State == Alive && p != suspect {
			if confirmers++; confirmers == maxConfirmations {
				break
			}
		}
	}
	s, length := &suspect.suspicion, shortest
	if confirmers > 0 {
		span, confirmed := longest-shortest, math.Log(float64(len(s.accusers)))
		length = max(shortest, longest-span*confirmed/math.Log(float64(confirmers+1)))
	}
	return s.beganAt + length*s.scale
}
