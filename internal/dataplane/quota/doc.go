// Package quota decides at a proxy which operations of tenants with a quota wait, what a core machine is asked for on
// their behalf, and what its answers mean.
//
// A Client does no I/O and reads no clock: times are milliseconds on any clock that doesn't go back. Its caller sends
// the requests that it gives out, passes answers in, and calls it again when WakeAt says.
//
// # Tokens
//
// One token admits one operation. Tokens are not bound to the operation that they were asked for: those of an answer go
// to the oldest operations of their tenant, and what is left over is kept for the next ones. A token is used within
// controlmsg.QuotaTokenLifetimeMs of the sending of its request or not at all, so that what core machines give out in
// some time bounds what proxies admit in hardly more than that time.
//
// # Waiting operations
//
// Operations of a tenant wait in order of arrival, for a bounded time and in a bounded queue. Each is asked for in at
// most one request at a time (waiter.request). It is asked for again when a request got no answer in time, or when the
// answer had too few tokens and said that more are due soon. If they are due later, the operation is refused with the
// time after which to come back.
package quota
