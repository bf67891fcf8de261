// Package mesh is the transport between the drivers of a fleet: it carries what internal/fleet/membership decides over
// UDP, and whole states, gossip and requests of other packages over TCP, both at one address.
//
// # Traffic
//
//   - Datagrams (datagrams.go): health checks and piggybacked records, one membership.Message each, at most 1400 bytes.
//   - Calls (client.go, server.go): one frame and its answer on a TCP connection of their own, within two seconds. A
//     call exchanges whole states (callExchangeState), gossip alone (callGossip), asks for a view (callStatus), or
//     carries bytes of another package (callRequest, by Mesh.Request).
//   - Gossip (gossip.go): changes of primaries, drains and plans of zones. Changes go to eight peers at once, which
//     pass them on; besides, gossip is exchanged with one peer every second in case a message was lost.
//
// Each datagram and frame is CBOR behind an authentication code that only who has the fleet's secret can make
// (codec.go). The code is keyed apart for datagrams and frames, so that one can't be taken for the other.
//
// Each outgoing socket is bound to the address that it listens at, and answers go to the address that a peer
// advertises, never to where a datagram came from.
//
// # Ownership
//
// Run owns all goroutines and ends them: one that receives datagrams, one that accepts calls (each served by a
// goroutine of its own, at most 32, which ends within the call's timeout), eight that make calls, one that spreads
// gossip and one that ticks. Mesh.mu guards the view; Mesh.step is the way to change it: decisions are made with the
// lock held, votes are on disk before it is released, and messages go out after that. The package must never decide who
// is alive, wait for a peer with the lock held, or let what a stranger sends cost anything but its own connection.
package mesh
