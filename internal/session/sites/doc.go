// Package sites defines the map of the sites that serve sessions: their addresses, states and locations. The core, a
// Raft group, commits each change of the map. The package does no I/O and reads no clock.
//
// # Incarnations and epochs
//
// Each process of a site chooses a unique incarnation number, and the map assigns it the next epoch of the site's name
// when it joins. The epoch is a fencing token: messages from an ended epoch are ignored. A site serves under a lease.
// Once the lease has expired the core ends the site's epoch, and the process has to join again with a new incarnation
// and without the sessions that it held.
package sites
