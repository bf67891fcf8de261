package agent

// This file owns what the agent knows: it takes updates from the core and from peers, and passes on what is new.

import (
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/util/transport"
)

func (a *Agent) digest() controlmsg.Digest {
	d := controlmsg.Digest{Gen: a.gen, Members: a.members.Digest(), Drivers: directory.DriversDigest(a.drivers), Apart: !a.coreServes()}
	if a.shards != nil {
		d.Shards = a.shards.Version
	}
	return d
}

// takeFromPeer takes what a peer says.
func (a *Agent) takeFromPeer(l *link, f *controlmsg.Frame) {
	a.do(func() {
		if f.Hello != nil {
			controlmsg.TakeHello(l, f.Hello)
		}
		if f.Update != nil {
			a.update(f.Update)
		}
		if f.Digest != nil {
			a.compare(l, f.Digest)
		}
	})
}

// update takes what is new and passes it on: to the proxy, and to a few peers.
func (a *Agent) update(n *controlmsg.Update) {
	on := &controlmsg.Update{}
	if n.Gen > a.gen {
		a.gen, a.config = n.Gen, n.Config
		on.Gen, on.Config = n.Gen, n.Config
	}
	if n.Members != nil {
		on.Members = a.members.Merge(n.Members, a.now())
	}
	if n.Shards != nil && (a.shards == nil || n.Shards.Version > a.shards.Version) {
		a.shards, on.Shards = n.Shards, n.Shards
	}
	if n.Cores != nil {
		a.cores = n.Cores
	}
	drivers := n.Drivers
	if n.Joined != nil || n.Left != nil {
		drivers = directory.ApplyDiff(a.drivers, n.Joined, n.Left)
	}
	if drivers != nil {
		a.drivers = drivers
		a.choose()
	}
	if on.Gen > 0 || on.Members != nil || on.Shards != nil {
		f := &controlmsg.Frame{}
		if on.Members != nil {
			f.Update = &controlmsg.Update{Members: on.Members}
		}
		if on.Gen > 0 || on.Shards != nil { // a configuration is long, and most have it from the core by now: who lacks it asks
			d := a.digest()
			f.Digest = &d
		}
		a.sendToPeers(f)
	}
	if on.Gen > 0 || on.Members != nil || on.Shards != nil || drivers != nil {
		on.Count = max(len(a.drivers), 1)
		raw := transport.Encode(&controlmsg.Frame{Update: on})
		for p := range a.proxies {
			p.SendRaw(raw)
		}
	}
}

// proxyUp tells a proxy that has just come all that is known.
func (a *Agent) proxyUp(l *link) {
	a.proxies[l] = true
	l.Send(&controlmsg.Frame{Update: &controlmsg.Update{Gen: a.gen, Config: a.config, Members: a.members.Snapshot(), Shards: a.shards, Count: max(len(a.drivers), 1)}})
}

// fromProxy passes on what a proxy sees of primaries.
func (a *Agent) fromProxy(_ *link, f *controlmsg.Frame) {
	a.do(func() {
		if f.Report != nil && a.core != nil {
			f.Report.Driver = a.self.Name
			a.core.l.Send(f)
		}
	})
}
