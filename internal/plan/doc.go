// Package plan schedules planned changes of primaries and replacements of members over many groups, so that enough
// capacity remains at any time, members that warm up are not overloaded, and writes are interrupted only briefly. It
// does no I/O and reads no clock.
//
// # The problem
//
// Members form groups, each with one primary. A Step either switches a group's primary (Switch) or replaces a member
// (Replace): the member is away, then it warms up and counts for a part of its capacity. Replacing a primary switches
// the primary first. The limits must hold at any time during the plan.
//
// # The search
//
// Steps are scheduled one after the other, each at the earliest start that all limits allow (serial schedule
// generation). A scheduled step is never moved. The first order is by priority: groups with the least spare capacity
// first. The caller can have more orders, shuffled by a seeded generator, tried for a shorter plan. Capacity and limits
// change only when a step begins or ends, so those are the only starts to try.
//
// The alternative, a linear program, was rejected: starts are disjunctions (this group first, or that one), so it would
// need integer variables, for which no maintained library was available, and a binding limit is easier to name here.
//
// # Invariants
//
// A plan keeps every limit. If no order gives a plan, Solve returns an InfeasibleError that names the binding limit of
// the first order that failed. The same problem, number of attempts and seed give the same plan.
package plan
