// Package soak plays seeded series of overlapping signals, restarts, faults and configuration changes on a whole
// deployment (package cluster), while clients use their connections until these break.
//
// Draw makes the schedule of a seed; it reads no clock and starts nothing. Run carries a schedule out, with clients
// (client.go), operators (operators.go) and a monitor (monitor.go), and gives what broke an invariant. What was sent,
// acknowledged and run is kept by the ledger (ledger.go), when which machine was disturbed by the journal (journal.go).
//
// Timed invariants hold for machines and cores that no event has disturbed for a while, as in production; the others
// always. The schedule of a seed is the same on each run, its course is not: processes run in real time.
package soak
