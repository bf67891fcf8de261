// Package emulator simulates drivers in front of members in virtual time. A driver runs the unmodified decision module
// or a baseline policy in its place; faults are injected by a schedule, and an auditor that shares no code with the
// module checks the outcome.
//
// It is a parallel discrete-event simulation. Each driver with its clients, and each group with its members, is a
// process: it has its own event queue, random number generator and state, which no other process accesses. Processes
// interact only by messages, which take a network latency of at least the lookahead. Workers therefore run all
// processes in parallel, in windows of the lookahead's length, and exchange messages between two windows. Events are
// ordered by time, sending process and serial number, so the same seed gives the same run on every machine and with any
// number of workers.
//
// The layers, from the bottom:
//
//   - scheduler.go: processes, workers and windows.
//   - network.go, member.go, group.go: latencies and network faults, servers with their queues, roles and elections.
//   - driver.go, attempt.go, clients.go: the driver that hosts a policy and carries out its actions, and its clients.
//   - baseline.go, restart.go, switchover.go: baseline policies, restarts with learned state, planned switchovers.
//   - faults.go, driverfaults.go, memberfaults.go: the schedule of faults.
//   - auditor.go, stats.go, run.go: checks, statistics, and a run from its setup to its result.
//
// The auditor checks five rules by what clients, members and the network observe:
//
//  1. Each op gets exactly one answer before its deadline, and an acknowledged write was executed.
//  2. A non-retryable write is executed at most once, and a refused write is not executed.
//  3. No op is sent to a member once a grace period has passed since its drain was announced.
//  4. A member that is warming up is not sent far more ops than it can serve.
//  5. A read is answered from data that is as fresh as its op type requires.
package emulator
