// Package sessionrun tests sessions under faults with processes of the program: a core, sites and edges on loopback,
// clients with open sessions, and producers that queue messages for them. One site is killed and another one drained,
// and every message is audited: each must be delivered once and in order, on sockets that stay open.
package sessionrun
