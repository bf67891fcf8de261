// Package cluster runs a deployment of the system on loopback for tests: real processes, each machine at an address of
// its own in 127/8, with stand-ins for database members, the platform, the operator and clients.
//
// Deployment manages the processes. Each runs the test binary: Main, which a package's TestMain calls, runs the role
// that the environment names. Service is a replication group on sockets, which counts how often each statement ran, so
// that tests can compare that with the answers to clients; a Service with Shards is a node. Client is a session with a
// proxy.
//
// The members, heartbeats and the platform run in the test's own process, so that a test can change them at any time.
package cluster
