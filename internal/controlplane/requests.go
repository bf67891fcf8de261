package controlplane

// This file owns operators' requests at the machine that leads: they are queued and decided by package orders; here
// their answers go out and into the log.

import (
	"errors"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/orders"
	"weirwind/internal/util/events"
)

// take queues a call at the leader.
func (c *consensusLoop) take(r controlmsg.Request, reply func(status int, body []byte)) {
	c.orders.Submit(&orders.Order{Request: r, Reply: func(a orders.Answer) {
		c.logAnswer(&r, &a)
		if r.SiteLease != nil && a.Outcome == orders.OutcomeRead {
			c.h.tables.do(func() { c.h.tables.granted[r.SiteLease.Site] = c.h.now() })
		}
		if errors.Is(a.Err, orders.ErrNotLeader) {
			a.Status = statusNotLeading
		}
		reply(a.Status, a.Body)
	}}, c.h.now())
}

// answer decides what can be decided. What that has to ask of others goes out at once, where nothing must be synced
// before it.
func (c *consensusLoop) answer() {
	c.orders.Step(c.node, c.state, c.h.now(), time.Now().UnixMilli())
	if !c.node.Dirty() {
		c.send()
	}
}

func (c *consensusLoop) logAnswer(r *controlmsg.Request, a *orders.Answer) {
	switch {
	case a.Outcome == orders.OutcomeRejected && r.SiteLease == nil:
		c.h.log.Event(events.ConfigNot, "reason", a.Reason, "why", string(a.Body), "from", r.Origin)
	case a.Outcome != orders.OutcomeApplied:
	case r.ForgetMember != "":
		c.h.log.Event(events.RosterChange, "forgotten", r.ForgetMember, "from", r.Origin)
	case r.SiteChange != nil:
		s := r.SiteChange
		c.h.log.Event(events.SiteMap, "kind", s.Kind, "site", s.Name, "version", a.State.Sites.Version)
	case r.ShardChange != nil:
		s := r.ShardChange
		c.h.log.Event(events.ShardMap, "kind", s.Kind, "shard", s.Shard, "node", s.Node, "version", a.State.Shards.Version)
	default:
		c.h.log.Event(events.ConfigTaken, "gen", a.State.Version, "base", r.BaseVersion, "from", r.Origin)
	}
}
