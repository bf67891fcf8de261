package agent

// This file owns the link to the proxy beside the agent, over loopback: the feed of updates, and its reports.

import (
	"net"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/transport"
)

// serveProxies serves the proxy of this machine, and the next one as it restarts.
func (a *Agent) serveProxies(feed net.Listener) {
	up := func(link *controlLink) {
		link.SetCounters(&ProxyTraffic)
		a.do(func() { a.proxyUp(link) })
	}
	down := func(link *controlLink) { a.do(func() { delete(a.proxies, link) }) }
	transport.Serve(feed, 0, up, a.takeFromProxy, down)
}

// proxyUp sends a proxy that has just connected all that is known.
func (a *Agent) proxyUp(link *controlLink) {
	a.proxies[link] = true
	link.Send(&controlmsg.Frame{Update: &controlmsg.StateUpdate{
		ConfigVersion: a.configVersion, Config: a.config, Members: a.members.Snapshot(), ShardMap: a.shardMap,
		DriverCount: a.driverCount(),
	}})
}

func (a *Agent) sendChangesToProxies(changes *controlmsg.StateUpdate) {
	changes.DriverCount = a.driverCount()
	encoded := transport.Encode(&controlmsg.Frame{Update: changes})
	for link := range a.proxies {
		link.SendEncoded(encoded)
	}
}

// driverCount is how many drivers there are, this one included though the core may not have listed it yet.
func (a *Agent) driverCount() int { return max(len(a.drivers), 1) }

// takeFromProxy takes a frame of the proxy.
func (a *Agent) takeFromProxy(_ *controlLink, frame *controlmsg.Frame) {
	a.do(func() { a.forwardToCore(frame) })
}

// forwardToCore forwards what the proxy observes of primaries to the core machine in use, and its requests for tokens
// of quotas. Without one a report is dropped: the proxy reports again.
func (a *Agent) forwardToCore(frame *controlmsg.Frame) {
	switch {
	case frame.PrimaryReport != nil && a.core != nil:
		frame.PrimaryReport.Driver = a.self.Name
		a.core.link.Send(frame)
	case frame.QuotaRequest != nil:
		a.sendQuotaRequest(frame)
	}
}
