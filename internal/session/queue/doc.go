// Package queue decides what sites and edges do for sessions: durable message queues between a client, whose socket
// ends at an edge, and its server's producers and consumers, who call a site. It does no I/O and reads no clock:
// time comes in as milliseconds, messages to others are taken from TakeOutgoing.
//
// # Roles
//
// A session has one owner, the site that serves it, and replicas at other sites. The owner queues messages for the
// client (the outbox) and from it (the inbox). Each change is an Op; the owner's ops form the session's log, which
// it sends to the replicas in order. An edge attaches a client's socket to the owner, and finds the owner again
// whenever it changes, so that the socket stays open.
//
// # Delivery
//
// Messages of each direction are numbered from 1 without gaps, and no number is given to two messages. A message is
// acknowledged to who sent it only once all replicas have its op (replicatedIndex), and it is delivered no sooner.
// What was not acknowledged is sent again, by the number or by the producer's key, and found to be a repeat. So as
// long as the owner or one replica survives, every acknowledged message arrives, once and in order.
//
// # Epochs and leases
//
// A session's epoch rises with each change of its owner or of the order of its replicas; what is said by an older
// one is ignored. A site's own epoch comes with its incarnation, from the map of sites. A site acknowledges, accepts
// and delivers only while its lease holds. The core removes a site from the map only after its lease has expired, so
// that when a replica takes over the old owner has stopped, and of two sites that both take themselves for the owner
// only the newer delivers.
//
// # How the owner changes
//
//   - Takeover: the map says that the owner's epoch is over. The first of SessionState.Replicas that is alive becomes
//     the owner by the next epoch. Replicas further back don't wait in vain: they ask the one before them (KindTakeOverRequest),
//     which tells if it has nothing of the session, or that it is the owner and they are no replicas any more.
//   - Hand-over: the owner drains. Once its first active replica has the whole log the owner stops changing the session
//     and sends KindHandOver until it is answered; the new owner keeps the old one as a replica until another has all.
//     If the new owner is removed meanwhile the old one goes on, two epochs further: the one between may be used.
//
// Invariant: only a site that has all acknowledged ops becomes the owner. A takeover's new owner was named a replica
// by the owner's newest snapshot, and no op is acknowledged before all replicas that are named have it; a replica
// that has not heard that it is named has acknowledged nothing.
//
// # Files
//
//   - messages.go: what is stored and sent
//   - site.go, receive.go: a site as a whole, its lease, and its messages
//   - session.go: a session and its log
//   - replicate.go, replica.go: replication at the owner and at a replica
//   - replicas.go: which sites hold replicas
//   - takeover.go, handover.go: changes of the owner
//   - enqueue.go: calls of producers and consumers
//   - attach.go: sockets at the owner
//   - edge.go, locate.go, edgereceive.go: an edge
package queue
