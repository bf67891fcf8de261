// Package hollow measures the cost of the control plane at several sizes, with real core machines and real agents, but
// hollow drivers and members, over loopback. Hollow nodes, a term of Kubernetes' scale tests, have almost no cost of
// their own: agents run without proxies, many in a process, and members only send heartbeats and answer the leader's
// status queries.
//
// Run (run.go) starts this binary again as all processes (process.go, drivers.go, members.go) and goes through phases:
// the start, steady state, a configuration change, changes of members, restarts of drivers. Before and after each phase
// it samples the processes' traffic by link and purpose, their processor time and memory, and it returns the
// differences as rows (results.go). Every printed figure is counted by a process.
package hollow
