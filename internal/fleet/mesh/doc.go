// Package mesh is the transport between the drivers of a fleet: it carries the messages of internal/fleet/membership
// over UDP, and snapshots, gossip and requests of other packages over TCP, both at one address.
//
// # Traffic
//
//   - Datagrams (datagrams.go): probes with piggybacked gossip, one membership.Message each, at most 1400 bytes.
//   - Calls (client.go, server.go): one frame and its answer on their own TCP connection, within two seconds. A call
//     exchanges full snapshots and gossip (callExchangeState), exchanges only gossip (callGossip), asks for a driver's
//     view (callStatus), or carries the payload of another package (callRequest, by Mesh.Request).
//   - Gossip (gossip.go): changes of primaries, drains and zone plans. A change is sent immediately to eight peers,
//     which forward it. Gossip is also exchanged with one peer every second, in case a message was lost.
//
// Each datagram and frame is CBOR preceded by an authentication code that depends on the fleet's secret (codec.go).
// Datagrams and frames use different keys, so that one cannot be replayed as the other.
//
// Each outgoing socket is bound to the address that it listens at. Answers to datagrams are sent to the address that
// the peer advertises, never to the source address of the datagram.
//
// # Ownership
//
// Run owns all goroutines and ends them: one that receives datagrams, one that accepts calls (each served by its own
// goroutine, at most 32, which ends within the call's timeout), eight that make calls, one that spreads gossip and one
// that ticks. Mesh.mu guards the view, and Mesh.step changes it: decisions are made with the lock held, votes are on
// disk before it is released, and messages are sent after that. The package must never decide which drivers are alive,
// wait for a peer with the lock held, or let an unauthenticated sender affect anything but its own connection.
package mesh
