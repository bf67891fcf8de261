// Package quota is the proxy's side of tenants' quotas: it decides which operations wait, requests tokens for them from
// a core machine, and processes the answers.
//
// A Client does no I/O and reads no clock: times are in milliseconds on any monotonic clock. Its caller sends the
// requests that it returns, passes the answers to it, and calls it again at the time that WakeAt returns.
//
// # Tokens
//
// One token admits one operation. Tokens are not bound to the operation that they were requested for: those of an
// answer go to the oldest operations of their tenant, and surplus tokens are kept for the next operations. A token must
// be used within controlmsg.QuotaTokenLifetimeMs of the sending of its request, so that the number of tokens that core
// machines hand out in a window bounds what proxies admit in a window that is longer by only that time.
//
// # Waiting operations
//
// Operations of a tenant wait in order of arrival, for a bounded time and in a bounded queue. Each is part of at most
// one outstanding request (waiter.request). A token is requested again for it if a request got no answer in time, or if
// the answer had too few tokens and stated that more are due soon. If they are due later, the operation is refused with
// the time after which to retry.
package quota
