// Package soak runs seeded schedules of overlapping signals, restarts, faults and configuration changes on a whole
// deployment (package cluster), while clients use it.
//
// Generate returns the schedule of a seed; it reads no clock and starts nothing. Run executes a schedule, with clients
// (client.go), operators (operators.go) and a monitor (monitor.go), and returns the invariants that were violated. The
// ledger (ledger.go) records what was sent, acknowledged and executed; the journal (journal.go) records which machine
// was disturbed when.
//
// Invariants with time bounds apply to machines that, like the core, have not been disturbed for a while, as in
// production; the others apply always. A seed's schedule is the same in each run, but its execution is not, as
// processes run in real time.
package soak
