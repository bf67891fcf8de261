package membership

import "slices"

// checkReachability pings again who did not answer directly, and notes who is not reachable. One lost datagram
// says nothing, and that somebody is unreachable is gossiped to all.
func (f *Fleet) checkReachability() {
	for _, p := range f.peers {
		switch {
		case p.State.ended() || p.unreachable || !p.unanswered || f.now < p.nextReprobe:
		case p.reprobes < maxReprobes:
			p.reprobes, p.nextReprobe = p.reprobes+1, f.now+f.options.Period
			f.send(p.Address, Message{Kind: Ping, Target: p.Name})
		case f.now-max(p.lastDirect, p.aliveSince) > f.unreachableAfter():
			f.setReachable(p, false)
		}
	}
}

// unreachableAfter is for how many milliseconds a peer may not be heard directly before it is unreachable.
func (f *Fleet) unreachableAfter() float64 {
	periods := min(max(minUnreachableAfter, float64(2*len(f.peers))), maxUnreachableAfter)
	return f.options.Period * (1 + float64(f.health)/2) * periods
}

// setReachable notes whether a peer is heard directly.
func (f *Fleet) setReachable(target *peer, reachable bool) {
	if reachable {
		target.unanswered = false
	}
	if target.unreachable == !reachable {
		return
	}
	target.unreachable = !reachable
	f.stateVersion++
	f.broadcastReachability()
	if reachable {
		f.emit("fellow_heard", target.Name, "")
	} else {
		f.emit("fellow_unheard", target.Name, "others hear it")
	}
}

// broadcastReachability gossips which peers this driver doesn't hear.
func (f *Fleet) broadcastReachability() {
	own := Reachability{Name: f.self.Name, Run: f.self.Run, Sequence: f.reachability.Sequence + 1}
	for _, p := range f.peers {
		if p.unreachable && len(own.Unreachable) < maxUnreachable {
			own.Unreachable = append(own.Unreachable, p.Name)
		}
	}
	f.reachability = own
	f.queueReachability(own)
}

// queueReachability gossips which peers a driver doesn't hear, in place of what was gossiped of that before.
func (f *Fleet) queueReachability(reported Reachability) {
	added := &broadcast{reachability: &reported}
	for _, old := range slices.Clone(f.broadcastsAbout[added.about()]) {
		f.dropBroadcast(old)
	}
	f.addBroadcast(added)
}

// receiveReachability takes which peers another doesn't hear.
func (f *Fleet) receiveReachability(reported Reachability) {
	from := f.peersByName[reported.Name]
	if from == nil || from.Run != reported.Run || len(reported.Unreachable) > maxUnreachable {
		return
	}
	if reported.Sequence <= from.reachability.Sequence {
		return
	}
	from.reachability = reported
	f.stateVersion++
	f.queueReachability(reported)
}
