// Package hollow measures what the control plane costs by size: real core machines and real agents, but hollow drivers
// and members, over loopback. Hollow nodes, a term of Kubernetes' scale tests, cost next to nothing themselves: agents
// run without proxies, many in a process, and members only send heartbeats and answer the leader's status queries.
//
// Run (run.go) starts this binary again as all processes (process.go, drivers.go, members.go) and goes through phases:
// the start, steady state, a configuration, changes of members, restarts of drivers. In each it samples the processes'
// traffic by link and purpose, processor time and memory before and after, and gives the differences as rows
// (results.go). No figure is printed that no process counted.
package hollow
