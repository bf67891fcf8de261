// Package sites has the map of the sites that serve sessions: which there are, in which state, and which of them are
// near to each other. The core agrees on each change of the map. It does no I/O and reads no clock.
//
// # Incarnations and epochs
//
// Each process of a site has an incarnation, a number of its own choice, and the map gives it the next epoch of the
// site's name when it joins. The epoch is a fencing token: what a site says by an epoch that is over is ignored. A site
// serves under a lease; once that has expired the core removes it by its epoch, and its process has to join again under
// another incarnation, with nothing of what it held.
package sites
