package agent

// This file forwards the proxy's requests for writer leases, the answers, and the leader's support of them.

import "weirwind/internal/controlplane/controlmsg"

// sendWriterLeaseRequest forwards a request of the proxy to the core machine in use. While that one does not serve,
// peers forward it too: the request confirms assignments, though its answer does not get back.
func (a *Agent) sendWriterLeaseRequest(request *controlmsg.WriterLeaseRequest) {
	request.Driver = a.self.Name
	if a.core != nil {
		a.core.link.Send(&controlmsg.Frame{WriterLeaseRequest: request})
	}
	if !a.coreServes() {
		relayed := *request
		relayed.Relayed = true
		a.sendToPeers(&controlmsg.Frame{WriterLeaseRequest: &relayed})
	}
}

// forwardPeerRequest forwards a request that a peer has relayed.
func (a *Agent) forwardPeerRequest(request *controlmsg.WriterLeaseRequest) {
	if request.Relayed && a.core != nil {
		a.core.link.Send(&controlmsg.Frame{WriterLeaseRequest: request})
	}
}

// handleWriterLeaseGrant passes the leader's answer on to the proxy.
func (a *Agent) handleWriterLeaseGrant(grant *controlmsg.WriterLeaseGrant) {
	if grant.Driver != a.self.Name {
		return
	}
	if grant.Assignments != nil {
		a.applyUpdate(&controlmsg.StateUpdate{Writers: grant.Assignments})
	}
	a.sendToProxies(&controlmsg.Frame{WriterLeaseGrant: grant})
}

// setLeaseSupport handles what a core machine says of writer leases: nothing, if its version does not know them. Only
// one that has contact with a majority knows that none are needed.
func (a *Agent) setLeaseSupport(core *coreLink, support controlmsg.LeaseSupport) {
	if support == controlmsg.LeaseSupportAbsent {
		support = controlmsg.LeaseSupportOff
	}
	stale := support == controlmsg.LeaseSupportOff && core.isolated
	if stale || support == controlmsg.LeaseSupportUnknown || support == a.leaseSupport {
		return
	}
	a.leaseSupport = support
	a.sendToProxies(&controlmsg.Frame{Update: &controlmsg.StateUpdate{WriterLeases: support}})
}
