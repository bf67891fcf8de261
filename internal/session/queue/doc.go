// Package queue implements the protocol of sites and edges for sessions: durable message queues between a client, whose
// socket is connected to an edge, and producers and consumers on the server side, which call a site. It does no I/O and
// reads no clock: callers pass the time in milliseconds and send the envelopes that TakeOutgoing returns.
//
// # Roles
//
// A session has one owner, the site that serves it, and replicas at other sites. The owner queues messages for the
// client (the outbox) and from the client (the inbox). Each change is an Op; the owner's ops form the session's log,
// which it sends to the replicas in order. An edge attaches a client's socket to the owner, and locates the owner again
// whenever it changes, so that the socket stays open.
//
// # Delivery
//
// The messages of each direction are numbered from 1 without gaps, and no number is assigned twice. A message is
// acknowledged to its sender and delivered only once all replicas have its op (replicatedIndex). Messages that were not
// acknowledged are sent again, and duplicates are recognized by the number or by the producer's idempotency key. So as
// long as the owner or one replica survives, every acknowledged message arrives once and in order.
//
// # Epochs and leases
//
// A session's epoch rises with each change of its owner or of the order of its replicas; messages with an older epoch
// are ignored. A site's own epoch belongs to one incarnation (process) of the site and is assigned by the map of sites.
// A site acknowledges, accepts and delivers messages only while its lease is valid. The core removes a site from the
// map only after its lease has expired. So the old owner has stopped when a replica takes over, and if two sites both
// act as the owner only the newer one delivers.
//
// # How the owner changes
//
//   - Takeover: according to the map the owner's epoch has ended. The first live site of SessionState.Replicas becomes
//     the owner, with the next epoch. A later replica asks the live one before it to take over (KindTakeOverRequest).
//     That site answers if it has no data of the session, or if it is the owner already and the sender is no longer a
//     replica.
//   - Hand-over: the owner drains. Once its first active replica has the complete log the owner stops changing the
//     session and sends KindHandOver until it is answered; the new owner keeps the old one as a replica until another
//     site has the complete log. If the new owner is removed before it answers, the old owner continues with the epoch
//     after the next, since the new owner may have used the next one.
//
// Invariant: only a site that has all acknowledged ops becomes the owner. The new owner of a takeover is listed as a
// replica in the owner's newest snapshot, and no op is acknowledged before all listed replicas have it; a replica
// that doesn't know yet that it is listed has not acknowledged anything.
//
// # Files
//
//   - messages.go: stored and sent types
//   - site.go, receive.go: a site, its lease, and the dispatch of its messages
//   - session.go: a session and its log
//   - replicate.go, replica.go: replication at the owner and at a replica
//   - replicas.go: the choice of a session's replicas
//   - takeover.go, handover.go: changes of the owner
//   - enqueue.go: calls of producers and consumers
//   - attach.go: clients' sockets at the owner
//   - edge.go, locate.go, edgereceive.go: an edge
package queue
