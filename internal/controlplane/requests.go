package controlplane

import (
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/orders"
	"weirwind/internal/util/events"
)

// submit queues a request at the leader. reply is called once, with the HTTP status and body of the answer, or with
// statusNotLeader if this machine does not lead.
func (c *consensusLoop) submit(request controlmsg.Request, reply func(status int, body []byte)) {
	order := &orders.Order{Request: request, Reply: func(result orders.Answer) {
		c.logAnswer(&request, &result)
		if request.SiteLease != nil && result.Outcome == orders.OutcomeRead {
			s := c.server.state
			s.enqueue(func() { s.siteLeases.recordGrant(request.SiteLease.Site, c.server.now()) })
		}
		reply(statusOfOrder(&result), result.Body)
	}}
	c.orders.Submit(order, c.server.now())
}

// decideOrders answers the orders that can be decided, and proposes the next change. The messages that this produces
// are sent at once, unless a sync must precede them.
func (c *consensusLoop) decideOrders() {
	c.orders.Step(c.node, c.committed, c.server.now(), time.Now().UnixMilli())
	if !c.node.Dirty() {
		c.sendMessages()
	}
}

// logAnswer logs a change that was applied or rejected.
func (c *consensusLoop) logAnswer(r *controlmsg.Request, result *orders.Answer) {
	log := c.server.log
	switch {
	case result.Outcome == orders.OutcomeRejected && r.SiteLease == nil:
		log.Event(events.ConfigRejected, "reason", result.Reason, "why", string(result.Body), "from", r.Origin)
	case result.Outcome != orders.OutcomeApplied:
	case r.ForgetMember != "":
		log.Event(events.RosterChange, "forgotten", r.ForgetMember, "from", r.Origin)
	case r.SiteChange != nil:
		change := r.SiteChange
		log.Event(events.SiteMapChanged, "kind", change.Kind, "site", change.Name, "version", result.State.Sites.Version)
	case r.ShardChange != nil:
		change := r.ShardChange
		log.Event(events.ShardMapChanged, "kind", change.Kind, "shard", change.Shard, "node", change.Node,
			"version", result.State.Shards.Version)
	default:
		log.Event(events.ConfigAcknowledged, "gen", result.State.Version, "base", r.BaseVersion, "from", r.Origin)
	}
}
