package failover

import (
	"fmt"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/member/wire"
	"weirwind/internal/standin/replicaset"
	"weirwind/internal/writerlease"
)

// Parameters of simulated proxies. Times are in milliseconds.
const (
	proxyCount           = 6
	leaseRequestInterval = 1000.0
	assignmentInterval   = 250.0 // between repetitions of an assignment that is not confirmed
	confirmAttempts      = 4     // queries to replicas for a commit that was acknowledged without a lease
	confirmInterval      = 50.0
)

// unleasedPolicy is what a proxy without a lease does with writes.
type unleasedPolicy uint8

const (
	confirmAtReplicas unleasedPolicy = iota // passes acknowledgements on that a replica confirms
	refuseWrites                            // neither sends writes nor passes acknowledgements on
	ignoreLeases                            // passes all acknowledgements on, with and without a lease
)

// simulatedProxy is a proxy through which clients write.
type simulatedProxy struct {
	name        string
	holder      *writerlease.Holder
	knownSince  map[string]float64 // by member ID: since when it is known without a restart
	requestAt   float64            // time of the next lease request
	cutUntil    float64            // the control plane and the proxy can't reach each other
	unheardTill float64            // the proxy's messages are lost, and it receives others'
	deafUntil   float64            // messages to the proxy are lost
	frozenUntil float64
}

// clientWrites counts the attempts to write through proxies.
type clientWrites struct{ tried, sent, acknowledged, unknown int }

func (w *clientWrites) add(other clientWrites) {
	w.tried += other.tried
	w.sent += other.sent
	w.acknowledged += other.acknowledged
	w.unknown += other.unknown
}

func newProxies() (list []*simulatedProxy) {
	for n := range proxyCount {
		list = append(list, &simulatedProxy{name: fmt.Sprint("p", n), holder: writerlease.NewHolder(uint64(n)),
			knownSince: map[string]float64{}})
	}
	return list
}

// takeOver makes another machine the leader of the control plane. It knows what was committed.
func (sim *simulation) takeOver() {
	sim.controller = New(sim.now)
	sim.granter = writerlease.NewGranter(sim.control.term, sim.now)
	if sim.control.record != nil {
		sim.assignWriter(sim.control.record.Candidate)
	}
}

// assignWriter assigns the writer at the leader, and sends the assignment to all proxies.
func (sim *simulation) assignWriter(id string) {
	assignment, _ := sim.granter.Assign("s", id)
	sim.sendAssignment(assignment)
}

func (sim *simulation) sendAssignment(assignment controlmsg.WriterAssignment) {
	sim.assignmentAt = sim.now + assignmentInterval
	for _, p := range sim.proxies {
		sim.toProxy(p, func() {
			if p.holder.Merge([]controlmsg.WriterAssignment{assignment}) {
				sim.requestLease(p)
			}
		})
	}
}

// writerOf returns the leader's view of the assignment.
func (sim *simulation) writerOf() Writer {
	assignment, assigned := sim.granter.Assignment("s")
	holders, _ := sim.granter.Unconfirmed("s", sim.now)
	return Writer{Assigned: assigned, ID: assignment.Member, Confirmed: sim.granter.Confirmed("s", sim.now),
		Unconfirmed: len(holders)}
}

// toProxy delivers a message of the control plane to a proxy: late while the proxy is frozen, and not at all while it
// can't be reached.
func (sim *simulation) toProxy(p *simulatedProxy, receive func()) {
	if sim.random.Float64() < sim.lossRate {
		return
	}
	sim.after(5+25*sim.random.Float64(), func() {
		if sim.now >= max(p.cutUntil, p.deafUntil, sim.coreDownUntil) {
			sim.whenThawed(p, receive)
		}
	})
}

// whenThawed runs what a proxy does as soon as it is not frozen.
func (sim *simulation) whenThawed(p *simulatedProxy, do func()) {
	if sim.now >= p.frozenUntil {
		do()
		return
	}
	sim.after(p.frozenUntil-sim.now, func() { sim.whenThawed(p, do) })
}

// requestLease sends a proxy's request to the leader at its arrival.
func (sim *simulation) requestLease(p *simulatedProxy) {
	p.requestAt = sim.now + leaseRequestInterval
	request := p.holder.Request(sim.now)
	request.Driver = p.name
	if sim.random.Float64() < sim.lossRate {
		return
	}
	sim.after(5+25*sim.random.Float64(), func() {
		if sim.now < max(p.cutUntil, p.unheardTill, sim.coreDownUntil) {
			return
		}
		grant := sim.granter.Handle(request, 400*sim.random.Float64(), sim.now)
		if grant == nil {
			return
		}
		sim.toProxy(p, func() {
			if p.holder.HandleGrant(grant) {
				sim.requestLease(p)
			}
		})
	})
}

// stepProxies sends the lease requests that are due, lets proxies learn of members, and repeats an assignment that is not
// confirmed.
func (sim *simulation) stepProxies() {
	for _, p := range sim.proxies {
		if sim.now < p.frozenUntil {
			continue
		}
		if sim.now >= p.requestAt {
			sim.requestLease(p)
		}
		if sim.now >= max(p.cutUntil, p.deafUntil, sim.coreDownUntil) {
			sim.learnMembers(p)
		}
	}
	if assignment, assigned := sim.granter.Assignment("s"); assigned && sim.now >= sim.assignmentAt {
		if holders, _ := sim.granter.Unconfirmed("s", sim.now); len(holders) > 0 {
			sim.sendAssignment(assignment)
		}
	}
}

func (sim *simulation) learnMembers(p *simulatedProxy) {
	for _, m := range sim.group.Members {
		since, known := p.knownSince[m.ID]
		heartbeat, arrived := sim.heartbeats.arrived[m.ID]
		if arrived && (!known || since <= sim.restarts[m.ID].at && heartbeat.at > sim.restarts[m.ID].at) {
			p.knownSince[m.ID] = sim.now
		}
	}
}

// mayWrite reports whether a proxy sends writes to a member now.
func (sim *simulation) mayWrite(p *simulatedProxy, m *replicaset.Member) bool {
	if sim.now < p.frozenUntil {
		return false
	}
	if sim.policy == ignoreLeases {
		return true
	}
	switch p.holder.Permission("s", m.ID, sim.now) {
	case writerlease.Permitted:
		return true
	case writerlease.Denied:
		return false
	}
	return sim.policy == confirmAtReplicas && sim.confirmations(p, m, writerlease.Receives) >= sim.group.SyncN
}

// confirmations returns the number of replicas, among those that may confirm commits, whose status meets a condition.
func (sim *simulation) confirmations(p *simulatedProxy, primary *replicaset.Member,
	holds func(wire.MemberStatus) bool) (count int) {
	for _, m := range sim.group.Members {
		since, known := p.knownSince[m.ID]
		sameProcess := known && since >= sim.restarts[m.ID].at
		if m != primary && m.Up && sameProcess && p.holder.MayConfirm(since) && holds(m.Status()) {
			count++
		}
	}
	return count
}

// deliver passes a commit's acknowledgement by the primary to the proxy that sent the write.
func (sim *simulation) deliver(entry replicaset.Entry, primary *replicaset.Member) {
	p := sim.writtenBy[entry.ID]
	delete(sim.writtenBy, entry.ID)
	sim.after(10*sim.random.Float64(), func() { sim.whenThawed(p, func() { sim.acknowledge(p, entry, primary, confirmAttempts) }) })
}

// acknowledge has a proxy answer its client.
func (sim *simulation) acknowledge(p *simulatedProxy, entry replicaset.Entry, primary *replicaset.Member, attempts int) {
	permission := p.holder.Permission("s", primary.ID, sim.now)
	if sim.policy == ignoreLeases {
		permission = writerlease.Permitted
	}
	switch {
	case permission == writerlease.Permitted:
		sim.writes.acknowledged++
		sim.group.Acknowledge(entry)
	case permission == writerlease.Denied, sim.policy == refuseWrites, attempts == 0:
		sim.writes.unknown++
	default:
		sim.confirm(p, entry, primary, attempts)
	}
}

// confirm queries replicas for a commit.
func (sim *simulation) confirm(p *simulatedProxy, entry replicaset.Entry, primary *replicaset.Member, attempts int) {
	position := wire.Position{Term: entry.Term, Number: entry.Number}
	confirmed := false
	sim.after(5+15*sim.random.Float64(), func() {
		confirmed = sim.confirmations(p, primary, func(status wire.MemberStatus) bool {
			return writerlease.Confirms(status, position)
		}) >= sim.group.SyncN
	})
	sim.after(confirmInterval, func() {
		sim.whenThawed(p, func() {
			if confirmed {
				sim.writes.acknowledged++
				sim.group.Acknowledge(entry)
				return
			}
			sim.acknowledge(p, entry, primary, attempts-1)
		})
	})
}
