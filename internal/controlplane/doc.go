// Package controlplane implements a core machine, which is a server of the control plane: it serves the HTTP calls of
// members and operators, takes part in the consensus of the core, keeps the tables of members and drivers, and, while
// it is the leader, carries out failovers, moves of shards and leases of sites.
//
// The decisions are made in other packages, which do no I/O and read no clock: consensus (who leads, what is
// committed), orders (how each request is answered), directory (members and drivers), config, failover, shardmap and
// sites. This package has their sockets, disk, clocks and goroutines.
//
// # Ownership
//
// Two goroutines own nearly all mutable state. Each has a queue of commands (package commandqueue), so that no lock
// order is needed, and a hanging disk does not delay heartbeats:
//
//   - consensusLoop.run owns the consensus node, its disk and the queue of orders.
//   - softState.run owns the rest: membership, driverLeases, agentLinks, peerExchange, and the leader's failovers,
//     rosterTracker, shardMoves and siteLeases, each a type in the file of its name.
//
// Neither waits for the other's reply: each sends the other commands and continues. A full queue of the soft state
// blocks its sender, but a full queue of the loop drops the command: if both blocked, the two owners could deadlock.
// Both queues are far longer than what arrives during a sync. HTTP handlers run in goroutines of their own and wait
// for both owners; no owner waits for a handler. Three types are shared under locks of their own, which are held
// briefly, and never while another lock than a link's is acquired: coreLinks (links to other core machines),
// pendingCalls (forwarded requests) and memberClient (idle connections to members). contactClock is a single atomic
// number.
//
// Slow operations, such as a statement to a member or a call to the platform, run in goroutines of their own that are
// bounded by a timeout; their results come back as commands. A result from an earlier leadership reaches the controller
// of that leadership, which takes no more steps, or is dropped.
//
// All goroutines end with the context that Run is given. The loop ends last: the node first transfers its leadership.
//
// # How a configuration change is processed
//
// An operator may send a change to any machine. Each step can fail, and the caller retries: a change that was applied
// before is recognized.
//
//  1. Request: configResource.change reads it and calls Server.submit. A machine without contact with a quorum answers
//     503 at once.
//  2. Forwarded: Server.route runs in the loop. If this machine leads, the request goes to its own orders; otherwise it
//     goes over a link to the leader as a controlmsg.Request, and pendingCalls records the caller that waits for the
//     response. If no leader is known, the attempt is repeated for leaderTimeout.
//  3. Queued: consensusLoop.submit passes it to package orders at the leader.
//  4. Proposed: consensusLoop.decideOrders has it evaluated against the committed state. A rejected change is answered
//     once a quorum has confirmed the leader; an accepted one is proposed as the next entry.
//  5. Committed: the loop syncs the entry to its disk, then sends it to the voters (flush). It is committed once a
//     quorum has synced it.
//  6. Notified: on each machine that learns of the commit, takeCommitted reads the new state, and
//     softState.applyCommitted stores it and notifies the agents that are linked there, which notify their proxies.
//     Agents that miss the update are found by the digest in their next lease renewal.
//  7. Acknowledged: at the leader, orders answers the request after the commit. The response is returned the same way,
//     and the operator gets 200. The answer waits for the commit only, not for agents.
//
// # Contact
//
// A machine is in contact while a quorum has confirmed within consensus.ContactLease that the machine takes part,
// directly or through the leader. Without contact it continues to accept heartbeats and renewals, but it answers
// members 503, decides and forwards no request of its own callers, notifies its agents, which look for another
// machine, and expires neither members nor drivers (contact.go). Views that are served without contact either carry
// the contact's age in a header (/sites, /shards) or describe this machine only (/status, /events).
//
// # Errors
//
// errors.go maps the errors of calls to HTTP statuses; packages orders and config define the leader's own errors. After
// 503 and 408 the outcome is unknown, and the caller retries, after 503 at another machine. Between core machines, 421
// means that a request was not decided where it was sent.
package controlplane
