package controlplane

import (
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/orders"
	"weirwind/internal/util/events"
)

// submit queues a request at the leader. reply is called once, with an HTTP status and a body, or with statusNotLeader.
func (c *consensusLoop) submit(request controlmsg.Request, reply func(status int, body []byte)) {
	order := &orders.Order{Request: request, Reply: func(a orders.Answer) {
		c.logAnswer(&request, &a)
		if request.SiteLease != nil && a.Outcome == orders.OutcomeRead {
			s := c.server.state
			s.do(func() { s.siteLeases.renewed(request.SiteLease.Site, c.server.now()) })
		}
		reply(statusOfOrder(&a), a.Body)
	}}
	c.orders.Submit(order, c.server.now())
}

// decideOrders decides the orders that can be decided, and has the next change proposed. What that has to ask of
// other machines is sent at once, where nothing must be synced before it.
func (c *consensusLoop) decideOrders() {
	c.orders.Step(c.node, c.committed, c.server.now(), time.Now().UnixMilli())
	if !c.node.Dirty() {
		c.sendMessages()
	}
}

// logAnswer logs what was applied or rejected.
func (c *consensusLoop) logAnswer(r *controlmsg.Request, a *orders.Answer) {
	log := c.server.log
	switch {
	case a.Outcome == orders.OutcomeRejected && r.SiteLease == nil:
		log.Event(events.ConfigNot, "reason", a.Reason, "why", string(a.Body), "from", r.Origin)
	case a.Outcome != orders.OutcomeApplied:
	case r.ForgetMember != "":
		log.Event(events.RosterChange, "forgotten", r.ForgetMember, "from", r.Origin)
	case r.SiteChange != nil:
		change := r.SiteChange
		log.Event(events.SiteMap, "kind", change.Kind, "site", change.Name, "version", a.State.Sites.Version)
	case r.ShardChange != nil:
		change := r.ShardChange
		log.Event(events.ShardMap, "kind", change.Kind, "shard", change.Shard, "node", change.Node,
			"version", a.State.Shards.Version)
	default:
		log.Event(events.ConfigTaken, "gen", a.State.Version, "base", r.BaseVersion, "from", r.Origin)
	}
}
