package roster

// Peers counts the drivers and detects silent ones. Times are milliseconds.
type Peers struct {
	Self           string
	ShrinkAfter    float64 // a lower count applies only after it has lasted for this time
	MessageTimeout float64 // a listed peer without messages for this time is silent

	count       int
	fewerSince  float64 // 0 if the count is not lower
	maxSince    int     // the highest count since fewerSince
	lastMessage map[string]float64
	silent      map[string]bool
}

// Count returns the number of drivers in the registry's list, including this one. A higher number applies at once, as
// it makes every driver more careful. A lower one applies after it has lasted for ShrinkAfter, with a connected
// registry.
func (p *Peers) Count(now float64, listed []Entry, connected bool) int {
	n := 1
	for _, e := range listed {
		if e.ID != p.Self && e.Phase == PhaseUp {
			n++
		}
	}
	switch {
	case n >= p.count:
		p.count, p.fewerSince, p.maxSince = n, 0, 0
	case !connected:
		p.fewerSince, p.maxSince = 0, 0
	case p.fewerSince == 0:
		p.fewerSince, p.maxSince = now, n
	default:
		if p.maxSince = max(p.maxSince, n); now-p.fewerSince >= p.ShrinkAfter {
			p.count, p.fewerSince, p.maxSince = p.maxSince, 0, 0
		}
	}
	return p.count
}

// Observe records a message from a peer.
func (p *Peers) Observe(now float64, name string) {
	p.ensureMaps()
	p.lastMessage[name] = now
}

func (p *Peers) ensureMaps() {
	if p.lastMessage == nil {
		p.lastMessage, p.silent = map[string]float64{}, map[string]bool{}
	}
}

// CheckTimeouts returns the listed peers that became silent since the last call, and those that recovered. Silent peers
// still count as drivers: they may serve clients and only fail to reach this driver.
func (p *Peers) CheckTimeouts(now float64, listed []Entry) (silent, recovered []string) {
	p.ensureMaps()
	isListed := map[string]bool{}
	for _, e := range listed {
		if e.ID == p.Self || e.Phase != PhaseUp {
			continue
		}
		isListed[e.ID] = true
		last, known := p.lastMessage[e.ID]
		if !known {
			p.lastMessage[e.ID] = now // the timeout starts when the peer is first listed
			continue
		}
		isSilent := now-last > p.MessageTimeout
		switch {
		case isSilent && !p.silent[e.ID]:
			p.silent[e.ID] = true
			silent = append(silent, e.ID)
		case !isSilent && p.silent[e.ID]:
			delete(p.silent, e.ID)
			recovered = append(recovered, e.ID)
		}
	}
	p.forgetAbsent(isListed)
	return silent, recovered
}

func (p *Peers) forgetAbsent(present map[string]bool) {
	for name := range p.lastMessage {
		if !present[name] {
			delete(p.lastMessage, name)
			delete(p.silent, name)
		}
	}
}
