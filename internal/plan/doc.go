// Package plan schedules planned changes of primaries and replacements of members over many groups, so that enough
// capacity is left at every moment, members that warm up get no more than they can take, and little write time is
// lost. It does no I/O and reads no clock.
//
// # The problem
//
// Members form groups, each with one primary. A Step either switches a group's primary (Switch) or replaces a member
// (Replace): the member is away, then it warms up and counts for a part of its capacity. Replacing a primary changes
// the primary first. Limits hold at every moment of the plan.
//
// # The search
//
// Steps are scheduled one after the other, each at the earliest start that all limits allow (serial schedule
// generation). Nothing that is scheduled moves again. The first order is by priority: groups with least spare
// capacity first. A few hundred other orders, drawn from a seed, are tried for a shorter plan. Capacity and limits
// change only where a step begins or ends, so those are the only starts to try.
//
// A linear program was considered: starts are disjunctions (this group first, or that one), so it would need integer
// variables, for which no library at hand is maintained; and a limit that binds is easier to name here.
//
// # Invariants
//
// A plan keeps every limit. Where there is no plan, Solve returns an InfeasibleError that names the limit that binds
// in the first order. The same problem, number of attempts and seed give the same plan.
package plan
