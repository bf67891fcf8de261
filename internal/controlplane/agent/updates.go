package agent

// This file owns what the agent knows: it takes updates from the core and from peers, and passes on what is new.

import (
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/util/transport"
)

func (a *Agent) digest() controlmsg.StateDigest {
	d := controlmsg.StateDigest{ConfigVersion: a.gen, MembersHash: a.members.Digest(), DriversHash: directory.DriversDigest(a.drivers), Isolated: !a.coreServes()}
	if a.shards != nil {
		d.ShardMapVersion = a.shards.Version
	}
	return d
}

// takeFromPeer takes what a peer says.
func (a *Agent) takeFromPeer(l *link, f *controlmsg.Frame) {
	a.do(func() {
		if f.Hello != nil {
			controlmsg.HandleHello(l, f.Hello)
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
func (a *Agent) update(n *controlmsg.StateUpdate) {
	on := &controlmsg.StateUpdate{}
	if n.ConfigVersion > a.gen {
		a.gen, a.config = n.ConfigVersion, n.Config
		on.ConfigVersion, on.Config = n.ConfigVersion, n.Config
	}
	if n.Members != nil {
		on.Members = a.members.Merge(n.Members, a.now())
	}
	if n.ShardMap != nil && (a.shards == nil || n.ShardMap.Version > a.shards.Version) {
		a.shards, on.ShardMap = n.ShardMap, n.ShardMap
	}
	if n.CoreAddrs != nil {
		a.cores = n.CoreAddrs
	}
	drivers := n.Drivers
	if n.DriversAdded != nil || n.DriversRemoved != nil {
		drivers = directory.ApplyDiff(a.drivers, n.DriversAdded, n.DriversRemoved)
	}
	if drivers != nil {
		a.drivers = drivers
		a.choose()
	}
	if on.ConfigVersion > 0 || on.Members != nil || on.ShardMap != nil {
		f := &controlmsg.Frame{}
		if on.Members != nil {
			f.Update = &controlmsg.StateUpdate{Members: on.Members}
		}
		if on.ConfigVersion > 0 || on.ShardMap != nil { // a configuration is long, and most have it from the core by now: who lacks it asks
			d := a.digest()
			f.Digest = &d
		}
		a.sendToPeers(f)
	}
	if on.ConfigVersion > 0 || on.Members != nil || on.ShardMap != nil || drivers != nil {
		on.DriverCount = max(len(a.drivers), 1)
		raw := transport.Encode(&controlmsg.Frame{Update: on})
		for p := range a.proxies {
			p.SendEncoded(raw)
		}
	}
}

// proxyUp tells a proxy that has just come all that is known.
func (a *Agent) proxyUp(l *link) {
	a.proxies[l] = true
	l.Send(&controlmsg.Frame{Update: &controlmsg.StateUpdate{ConfigVersion: a.gen, Config: a.config, Members: a.members.Snapshot(), ShardMap: a.shards, DriverCount: max(len(a.drivers), 1)}})
}

// fromProxy passes on what a proxy sees of primaries.
func (a *Agent) fromProxy(_ *link, f *controlmsg.Frame) {
	a.do(func() {
		if f.PrimaryReport != nil && a.core != nil {
			f.PrimaryReport.Driver = a.self.Name
			a.core.l.Send(f)
		}
	})
}
