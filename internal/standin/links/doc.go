// Package links simulates the network between processes on loopback. Each process listens at an address of its own in
// 127.0.0.0/8 and advertises another one, at which a relay forwards UDP datagrams and TCP bytes to it. Each direction
// of each pair of processes is a Link that can be blocked, delayed or throttled, and can lose or duplicate datagrams.
//
// Network is the mesh of such relays; ResettingRelay is a single TCP relay that resets connections at random
// bytes. A relay never forwards anything over a blocked link, and never changes what it forwards.
package links
