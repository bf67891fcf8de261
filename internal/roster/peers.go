package roster

// Peers counts the drivers and sees which of them are silent. Times are milliseconds.
type Peers struct {
	Self           string
	ShrinkAfter    float64 // fewer drivers count only once they have been fewer for so long
	MessageTimeout float64 // a listed peer without a message for so long is silent

	count       int
	fewerSince  float64 // 0: they are not fewer
	maxSince    int     // the highest number since fewerSince
	lastMessage map[string]float64
	silent      map[string]bool
}

// Count gives how many drivers there are by the registry's list, this one included. A higher number counts at once,
// as it makes every driver more careful; a lower one only once it has lasted for ShrinkAfter, with a registry that
// is connected.
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

// Observe notes a message of a peer.
func (p *Peers) Observe(now float64, name string) {
	p.init()
	p.lastMessage[name] = now
}

func (p *Peers) init() {
	if p.lastMessage == nil {
		p.lastMessage, p.silent = map[string]float64{}, map[string]bool{}
	}
}

// CheckTimeouts gives the listed peers that have newly become silent, and those that no longer are. They are counted
// all the same: a listed driver may well serve clients, and only fail to reach this one.
func (p *Peers) CheckTimeouts(now float64, listed []Entry) (silent, recovered []string) {
	p.init()
	present := map[string]bool{}
	for _, e := range listed {
		if e.ID == p.Self || e.Phase != PhaseUp {
			continue
		}
		present[e.ID] = true
		last, known := p.lastMessage[e.ID]
		if !known {
			p.lastMessage[e.ID] = now // its time begins when it is first listed
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
	p.forgetAbsent(present)
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
