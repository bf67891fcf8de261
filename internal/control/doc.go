// Package control is a driver's control interface, beside the operations that it serves: HTTP over a Unix socket for
// the topology manager's hooks and for operators of the same machine and, where it is switched on, over TCP with a
// shared secret for the driver's peers.
//
// It owns the form of calls and of their responses, for the server (Serve) and for the Client. What a call means is
// decided behind the interfaces that the driver implements: Switcher for changes of primaries, and Membership and
// Zones, which a Switcher returns where it is also a membershipProvider and a zonesProvider.
//
//	GET  /switch                 the changes of primaries that are known
//	POST /switch                 a hook's notification; the response is the notification, complete
//	POST /switch/told            peers' notifications
//	GET  /membership             the driver's view of its peers
//	GET  /membership/compare     the views of all drivers
//	POST /membership/leave       leave the fleet
//	POST /membership/forget      remove a failed driver from the roster
//	GET  /zones                  the driver's part in deciding on zones
//	GET  /zones/plan?without=Z   what would be planned without a zone
//	POST /zones/order            an operator's command
//
// Calls on membership and zones are served on the Unix socket alone: who may open it is an operator. Errors are mapped
// to statuses in errors.go, and their text is the body.
//
// A caller that is slow or sends too much costs nobody else anything: requests are limited in time and size, and
// connections in number.
package control
