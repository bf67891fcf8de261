// Package emulator simulates drivers in front of members in virtual time: the decision module as it is, or a baseline
// policy in its place, with faults by schedule and an auditor that shares no code with the module.
//
// It is a parallel discrete-event simulation. Each driver with its clients, and each group with its members, is a
// process: it has its own event queue, its own random numbers and its own state, which nobody else touches. Processes
// interact by messages alone, which take a network latency of at least the lookahead. Workers therefore run all
// processes side by side in windows of the lookahead's length, and exchange messages between two windows. Events are
// ordered by time, sending process and serial number, so the same seed gives the same run on every machine and on any
// number of workers.
//
// The layers, from the bottom:
//
//   - scheduler.go: processes, workers and windows.
//   - network.go, member.go, group.go: latencies and network faults, servers with their queues, roles and elections.
//   - driver.go, attempt.go, clients.go: a policy's host, which carries out its actions, and its clients.
//   - baseline.go, restart.go, switchover.go: policies to compare with, restarts with learned state, planned changes.
//   - faults.go, driverfaults.go, memberfaults.go: the schedule of faults.
//   - auditor.go, stats.go, run.go: what is checked and counted, and a run from its setup to its result.
//
// The auditor checks five rules on what clients, members and the network see:
//
//  1. Each op gets exactly one answer, in time, and an acknowledged write ran.
//  2. A write that must not run twice does not, and one that was refused did not run.
//  3. Nothing is sent to a member longer than a grace period after its drain was announced.
//  4. A member that warms up is not sent far more than it can do.
//  5. A read is answered from data as fresh as its op type needs.
package emulator
