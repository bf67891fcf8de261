package controlplane

import (
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/orders"
	"weirwind/internal/util/events"
)

// submit queues a request at the leader. reply is called once, with an HTTP status and a body, or with statusNotLeader.
func (c *consensusLoop) submit(request controlmsg.Request, reply func(status int, body []byte)) {
	order := &orders.Order{Request: request, Reply: func(result orders.Answer) {
		c.logAnswer(&request, &result)
		if request.SiteLease != nil && result.Outcome == orders.OutcomeRead {
			s := c.server.state
			s.do(func() { s.siteLeases.renewed(request.SiteLease.Site, c.server.now()) })
		}
		reply(statusOfOrder(&result), result.Body)
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
