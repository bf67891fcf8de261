// Package cluster is a deployment of the system on loopback for tests: processes of the built programs, each machine at
// an address of its own in 127/8, with stand-ins for database members, the platform, the operator and clients.
//
// Deployment owns the processes. They are the test binary started again: Main, which a package's TestMain calls, runs
// the role that the environment names. Service is a replication group on sockets, which counts how often each statement
// ran, so that tests can hold what ran against what clients were answered; a Service with Shards is a node. Client is a
// session with a proxy.
//
// The members, heartbeats and the platform run in the test's own process, so that a test can change them at any time.
package cluster
