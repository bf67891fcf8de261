package agent

// This file has the loopback link to the proxy beside the agent: updates to it, and reports and requests from it.

import (
	"net"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/transport"
)

// serveProxies accepts links from this machine's proxy, including its successor while it restarts.
func (a *Agent) serveProxies(listener net.Listener) {
	up := func(link *controlLink) {
		link.SetCounters(&ProxyTraffic)
		a.enqueue(func() { a.proxyUp(link) })
	}
	down := func(link *controlLink) { a.enqueue(func() { delete(a.proxies, link) }) }
	transport.Serve(listener, 0, up, a.handleProxyFrame, down)
}

// proxyUp sends the whole state to a proxy that has just connected.
func (a *Agent) proxyUp(link *controlLink) {
	a.proxies[link] = true
	link.Send(&controlmsg.Frame{Update: &controlmsg.StateUpdate{
		ConfigVersion: a.configVersion, Config: a.config, Members: a.members.Snapshot(), ShardMap: a.shardMap,
		DriverCount: a.driverCount(), Writers: a.writers.List(), WriterLeases: a.leaseSupport,
	}})
}

func (a *Agent) sendChangesToProxies(changes *controlmsg.StateUpdate) {
	changes.DriverCount = a.driverCount()
	a.sendToProxies(&controlmsg.Frame{Update: changes})
}

// sendToProxies sends a frame to the proxies on this machine.
func (a *Agent) sendToProxies(frame *controlmsg.Frame) {
	encoded := transport.Encode(frame)
	for link := range a.proxies {
		link.SendEncoded(encoded)
	}
}

// driverCount returns the number of drivers, at least 1: the core may not have listed this driver yet.
func (a *Agent) driverCount() int { return max(len(a.drivers), 1) }

// handleProxyFrame handles a frame of the proxy.
func (a *Agent) handleProxyFrame(_ *controlLink, frame *controlmsg.Frame) {
	a.enqueue(func() { a.forwardToCore(frame) })
}

// forwardToCore forwards the proxy's reports about primaries to the core machine in use, and its requests for quota
// tokens by the current route. Without a core machine a report is dropped: the proxy reports again.
func (a *Agent) forwardToCore(frame *controlmsg.Frame) {
	switch {
	case frame.PrimaryReport != nil && a.core != nil:
		frame.PrimaryReport.Driver = a.self.Name
		a.core.link.Send(frame)
	case frame.WriterLeaseRequest != nil:
		a.sendWriterLeaseRequest(frame.WriterLeaseRequest)
	case frame.QuotaRequest != nil:
		a.sendQuotaRequest(frame)
	}
}
