// Package control is a driver's control interface, separate from the operations that the driver serves: HTTP over a
// Unix socket for the topology manager's hooks and for operators on the same machine and, if enabled, over TCP with a
// shared secret for the driver's peers.
//
// It defines the requests and responses for the server (Serve) and for the Client. The driver implements the calls
// behind interfaces: Switcher for changes of primaries, and Membership and Zones, which a Switcher returns if it is
// also a membershipProvider and a zonesProvider.
//
//	GET  /switch                 status of the known changes of primaries
//	POST /switch                 a hook's notification; the response is the complete notification
//	POST /switch/told            peers' notifications
//	GET  /membership             the driver's view of its peers
//	GET  /membership/compare     the views of all drivers
//	POST /membership/leave       leave the fleet
//	POST /membership/forget      remove a failed driver from the roster
//	GET  /zones                  the driver's status in the decisions on zones
//	GET  /zones/plan?without=Z   preview of the plan without a zone
//	POST /zones/order            an operator's command
//
// Calls on membership and zones are served on the Unix socket only: whoever may open it is taken for an operator.
// Errors are mapped to HTTP statuses in errors.go, and their text is the body.
//
// Requests are limited in time and size, and connections in number, so that slow callers and large requests don't
// affect others.
package control
