// Package membershipsim simulates the drivers' membership protocol in virtual time, over a network that partitions,
// drops, duplicates and delays datagrams, with drivers that pause, are slow, fail and restart.
//
// A Simulation (simulation.go) owns the scheduler, the network (network.go) and the lifecycle of drivers; tests of
// package membership run their scenarios on it. measure.go measures the time until all drivers have detected a failure,
// the time until they agree after a partition, and the cost of the protocol.
package membershipsim
