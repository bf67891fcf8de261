// Package lab is a test bed on sockets: a stand-in cluster with fault injection, an open-loop load, and an audit of
// every op's outcome. It is not part of the driver and shares no decision code with it.
//
// A Cluster (cluster.go, member.go, faults.go, discovery.go) has members that speak PostgreSQL's protocol, with roles,
// replication lag, a limited number of cores, elections, and the list of members over HTTP. Drivers run in front of it
// in this process (drivers.go), optionally with control sockets for the hooks of planned switchovers (switch.go). A
// Load (load.go, client.go) sends ops at their intended times, independently of earlier ones; Audit (audit.go)
// compares what members ran with what clients were answered. RegistryRestart (registryrestart.go) restarts a stand-in
// registry while many clients watch it.
package lab
