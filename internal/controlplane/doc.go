// Package controlplane is a machine of the core at work: it serves the calls of members and operators, takes part in
// the consensus of the core, keeps the tables of members and drivers, and carries out failovers, moves of shards and
// leases of sites while it leads.
//
// Decisions are made elsewhere, in packages that do no I/O and read no clock: consensus (who leads, what is
// committed), orders (what each request is answered), directory (members and drivers), config, failover, shardmap and
// sites. Here are their sockets, disk, clocks and goroutines.
//
// # Ownership
//
// Two goroutines own nearly all that changes, each with a queue of commands (package commandqueue), so that there is
// no lock to take in order, and a disk that hangs holds up no heartbeat:
//
//   - consensusLoop.run owns the consensus node, its disk and the queue of orders.
//   - softState.run owns the rest: membership, driverLeases, agentLinks, peerExchange, and the leader's failovers,
//     rosterTracker, shardMoves and siteLeases, each a type in the file of its name.
//
// Neither waits for the other's reply: each sends the other commands and goes on. (A full queue does make its sender
// wait, so that the queues are far longer than what arrives within a sync; two full ones would wait for each other.)
// HTTP handlers, in goroutines of their own, wait for both owners, and no owner waits for a handler. Three things are
// shared under locks of their own, which are held shortly, and never while another but a link's is taken: coreLinks
// (links to other core machines), pendingCalls (requests that were forwarded) and memberClient (idle connections to
// members). contactClock is a single atomic number.
//
// Whatever takes time, as a question to a member or a call to the platform, runs in a goroutine of its own that is
// bounded by a timeout; its result comes back as a command. A result of an earlier lead reaches the controller of
// that lead, which takes no more steps, or is dropped.
//
// All of them end with the context that Run is given. The loop ends last: the node first transfers its leadership.
//
// # The way of a change of the configuration
//
// An operator may put a change to any machine. Each step can fail, and whoever asked retries: a change is recognized
// where it was applied before.
//
//  1. Request: configResource.change reads it, and Server.submit begins. A machine without contact with a quorum
//     answers 503 at once.
//  2. Forwarded: Server.route runs in the loop. Where this machine leads the request goes to its own orders; else
//     over a link to the leader, as a controlmsg.Request, and pendingCalls keeps the caller that waits for the
//     response. Without a known leader the attempt is repeated for leaderTimeout.
//  3. Queued: consensusLoop.submit gives it to package orders at the leader.
//  4. Proposed: consensusLoop.decideOrders has it evaluated on the committed state. One that is rejected is answered
//     once a quorum has confirmed the leader; one that applies is proposed as the next entry.
//  5. Committed: the loop syncs the entry to its disk, then sends it to the voters (flush). It is committed once a
//     quorum has synced it.
//  6. Notified: on each machine that learns of the commit, takeCommitted reads the new state and
//     softState.applyCommitted takes it and notifies the agents that are linked there, which notify their proxies.
//     Agents that miss it are found by the digest in their next lease renewal.
//  7. Acknowledged: at the leader, orders answers the request after the commit. The response goes back the way the
//     request came, and the operator is answered 200. The answer waits for the commit only, not for agents.
//
// # Contact
//
// A machine is in contact while a quorum has confirmed within consensus.ContactLease that it takes part, directly or
// through the leader. Without contact it goes on accepting heartbeats and renewals, but answers members 503, decides
// and forwards no request of its own callers, notifies its agents, which look for another machine, and lets neither
// members nor drivers expire (contact.go). Views that it gives all the same bear the contact's age in a header
// (/sites, /shards), or describe the machine alone (/status, /events).
//
// # Errors
//
// errors.go maps the errors of calls to HTTP statuses; packages orders and config have the leader's own. On 503 and
// 408 nothing is known, and the caller retries, on 503 at another machine. Between core machines, 421 says that a
// request was not decided where it was sent.
package controlplane
