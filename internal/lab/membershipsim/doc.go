// Package membershipsim simulates many views of the drivers' membership in virtual time, over a network that
// partitions, loses, duplicates and delays datagrams, with drivers that pause, are slow, end and start again.
//
// A Simulation (simulation.go) owns the scheduler, the network (network.go) and the drivers' lives; tests of package
// membership use it for their histories. measure.go measures how soon all drivers know of a failure, how soon they
// agree after a partition, and what that costs.
package membershipsim
