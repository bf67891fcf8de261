package membership

import "slices"

// checkReachability pings peers that did not answer directly again, and marks them as unreachable if they still do not.
// It retries because unreachability is gossiped to all drivers, and a single lost datagram is no evidence.
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

// unreachableAfter returns how long, in milliseconds, a peer may go unheard directly before it is unreachable.
func (f *Fleet) unreachableAfter() float64 {
	periods := min(max(minUnreachableAfter, float64(2*len(f.peers))), maxUnreachableAfter)
	return f.options.Period * (1 + float64(f.health)/2) * periods
}

// setReachable records whether a peer is heard directly.
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

// broadcastReachability gossips the peers that this driver does not hear.
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

// queueReachability queues a driver's reachability and drops queued earlier ones of it.
func (f *Fleet) queueReachability(reported Reachability) {
	added := &broadcast{reachability: &reported}
	for _, old := range slices.Clone(f.broadcastsBySubject[added.subject()]) {
		f.dropBroadcast(old)
	}
	f.addBroadcast(added)
}

// receiveReachability stores a peer's reachability, and gossips it if it is newer.
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
