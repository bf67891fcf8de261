package membership

import (
	"math"
	"slices"
)

// suspicion is a peer's, while it has the state Suspect.
type suspicion struct {
	beganAt  float64
	scale    float64         // of its duration: 1 at good health of this driver, more otherwise
	accusers map[string]bool // names of those that reported it, at least one
}

// confirm counts another accuser; false: it is counted, or enough are.
func (s *suspicion) confirm(accuser string) bool {
	if s.accusers[accuser] || len(s.accusers) > maxConfirmations {
		return false
	}
	s.accusers[accuser] = true
	return true
}

// beginSuspicion begins a peer's suspicion, or begins it anew for a higher incarnation. Some of the drivers
// that hear of it probe the peer themselves.
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

// advanceSuspicions takes suspects for failed whose time is over, and pings others a last time.
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
		few := len(suspect.suspicion.accusers) <= maxConfirmations
		late := f.now >= deadline-lastProbeBefore*f.options.Period
		if few && late && f.now >= suspect.nextReprobe { // its refutation may be lost
			suspect.nextReprobe = f.now + f.options.Period/2
			f.send(suspect.Address, Message{Kind: Ping, Target: suspect.Name, Records: []Record{suspect.Record}})
		}
	}
	f.suspects = slices.DeleteFunc(f.suspects, func(p *peer) bool { return p.State != Suspect })
}

// suspicionDeadline is when a suspicion becomes certain: the more confirm it the sooner, the worse this
// driver's health was the later (Lifeguard, section 4).
func (f *Fleet) suspicionDeadline(suspect *peer) float64 {
	shortest, longest := minSuspicion*f.options.Period, maxSuspicion*f.options.Period
	confirmers := 0 // that there can be
	for _, p := range f.peers {
		if p.State == Alive && p != suspect {
			if confirmers++; confirmers == maxConfirmations {
				break
			}
		}
	}
	s, length := &suspect.suspicion, shortest
	if confirmers > 0 {
		spread, confirmed := longest-shortest, math.Log(float64(len(s.accusers)))
		length = max(shortest, longest-spread*confirmed/math.Log(float64(confirmers+1)))
	}
	return s.beganAt + length*s.scale
}
