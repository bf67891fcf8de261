// Package lab is the project's laboratory on sockets: a stand-in cluster with faults on command, an open-loop load, and
// an audit of what came of every op. It is no part of the driver and shares no decision with it.
//
// A Cluster (cluster.go, member.go, faults.go, discovery.go) has members that speak PostgreSQL's protocol, with roles,
// replication lag, a limited number of cores, elections, and the list of members over HTTP. Drivers run in front of it
// in this process (drivers.go), with control sockets for planned changes where hooks are to notify them (switch.go). A
// Load (load.go, client.go) sends ops at their intended times, whatever became of those before; Audit (audit.go)
// compares what members ran with what clients were answered. RegistryRestart (registryrestart.go) restarts a stand-in
// registry while many clients watch it.
package lab
